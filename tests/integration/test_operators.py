"""Operator commands against real nodes, all run from the binary."""

from concurrent import futures
import json

import pytest

from bergamotdeal.cli import exit_codes
from bergamotdeal.presets import in_force
from standins import cluster
from tools import build_binary

ExitCode = exit_codes.ExitCode
EXAMPLE_PRESETS = build_binary.ROOT / "examples" / "lintasan"
HOST_IDS = ("kitview-1", "kitview-2", "orderline-1", "orderline-2")
BURST_REQUESTS = 60


class BinaryFleet:
    """A fleet whose nodes and operator commands run from the binary."""

    def __init__(self, *, binary):
        self.binary = binary
        self.cluster = cluster.Cluster(
            folder=binary.folder / "cluster",
            with_store=True,
            command=(str(binary.path),),
        )
        for host_id, data_centre in zip(
            HOST_IDS, ("prai", "batu-kawan", "prai", "batu-kawan"), strict=True
        ):
            service, _, _ = host_id.partition("-")
            is_first = service == "kitview"
            self.cluster.add_host(
                host_id,
                data_centre,
                service=service,
                next_service="orderline" if is_first else "",
                slots=40 if is_first else 1,
                service_ms=1.0 if is_first else 20.0,
            )

    def start(self):
        self.cluster.start_store()
        for host in self.cluster.hosts_by_id.values():
            self.cluster.start_node(host)
            self.cluster.start_server(host)
        self.wait_for(lambda: len(self.members()) == len(HOST_IDS), "members")

    def host(self, host_id):
        return self.cluster.hosts_by_id[host_id]

    def members(self):
        status = self.cluster.status(self.host("kitview-1"))
        return [m for m in status.get("members", []) if m["state"] == "alive"]

    def wait_for(self, condition, description):
        cluster.wait_for(condition, description)

    def set_store_behaviour(self, **behaviour):
        status, _ = cluster.send_request(
            self.cluster.store_address,
            cluster.STORE_PORT,
            "PUT",
            "/_control",
            body=json.dumps(behaviour).encode(),
        )
        assert status == 200

    def add_connection_options(self, *arguments):
        host = self.host("kitview-1")
        node = f"{host.address}:{cluster.ADMIN_PORT}"
        store = f"{self.cluster.store_address}:{cluster.STORE_PORT}"
        if arguments[0] == "preset":
            arguments += ("--store", store)
            if arguments[1] != "switch":
                return arguments
        return (*arguments, "--node", node)

    def run(self, *arguments):
        return self.binary.run(*self.add_connection_options(*arguments))

    def start_command(self, *arguments):
        return self.binary.start(*self.add_connection_options(*arguments))


@pytest.fixture(scope="module")
def fleet(binary):
    started = BinaryFleet(binary=binary)
    try:
        started.start()
        for name in ("ordinary", "peak", "maintenance"):
            result = started.run(
                "preset", "put", str(EXAMPLE_PRESETS / f"{name}.ini")
            )
            assert result.returncode == ExitCode.OK, result.stderr
        yield started
    finally:
        started.cluster.stop()


def _read_epoch(fleet):
    return fleet.cluster.status(fleet.host("kitview-1"))["epoch"]


def test_switch_reaches_every_host(fleet):
    result = fleet.run("preset", "switch", "ordinary", "--wait", "30", "--json")
    assert result.returncode == ExitCode.OK, result.stdout + result.stderr
    report = json.loads(result.stdout)
    assert report["in_force"] == sorted(HOST_IDS)
    result = fleet.run("status", "--fleet", "--json")
    epochs = {node["epoch"] for node in json.loads(result.stdout)["nodes"]}
    assert epochs == {report["epoch"]}


def test_racing_operators_get_one_success_and_one_conflict(fleet):
    base_epoch = _read_epoch(fleet)
    commands = [
        fleet.start_command(
            *("preset", "switch", preset, "--operator", operator),
            *("--operation-id", f"{base_epoch}-{operator}"),
        )
        for preset, operator in (("peak", "mei"), ("maintenance", "aisyah"))
    ]
    outputs = [command.communicate(timeout=60)[0] for command in commands]
    codes = [command.returncode for command in commands]
    assert sorted(codes) == [ExitCode.OK, ExitCode.CONFLICT], outputs
    winner = ("mei", "aisyah")[codes.index(ExitCode.OK)]
    loser = outputs[codes.index(ExitCode.CONFLICT)]
    assert f"{winner} switched to" in loser
    assert f"epoch {base_epoch + 1}" in loser


def test_switch_is_accepted_once_when_store_answer_is_lost(fleet):
    epoch_before = _read_epoch(fleet)
    fleet.set_store_behaviour(lose_writes=1)
    result = fleet.run("preset", "switch", "peak", "--wait", "30", "--json")
    assert result.returncode == ExitCode.OK, result.stdout + result.stderr
    report = json.loads(result.stdout)
    assert (report["result"], report["epoch"]) == ("accepted", epoch_before + 1)
    result = fleet.run("preset", "history", "--json")
    epochs = [switch["epoch"] for switch in json.loads(result.stdout)]
    assert epochs == list(range(epoch_before + 1, 0, -1))[: len(epochs)]
    assert len(epochs) <= in_force.HISTORY_LENGTH


def test_switch_is_not_accepted_while_the_store_is_down(fleet):
    epoch_before = _read_epoch(fleet)
    fleet.set_store_behaviour(down=True)
    try:
        result = fleet.run("preset", "switch", "ordinary")
    finally:
        fleet.set_store_behaviour(down=False)
    assert result.returncode == ExitCode.STORE_UNAVAILABLE
    assert _read_epoch(fleet) == epoch_before


def test_timeline_shows_the_events_of_a_shed_request(fleet):
    host = fleet.host("kitview-1")

    def send(number):
        cluster.send_request(
            host.address,
            cluster.ENTRY_PORT,
            "GET",
            "/kitview/kits/17",
            headers_by_name={"Bergamot-Request-Id": f"line-{number}"},
        )

    with futures.ThreadPoolExecutor(max_workers=BURST_REQUESTS) as pool:
        list(pool.map(send, range(BURST_REQUESTS)))
    shed_result = fleet.run("timeline", "--event", "call-shed", "--json")
    assert shed_result.returncode == ExitCode.OK, shed_result.stderr
    request_id = json.loads(shed_result.stdout.splitlines()[-1])["request"]
    result = fleet.run("timeline", "--request", request_id, "--json")
    events = [json.loads(line) for line in result.stdout.splitlines()]
    assert {event["request"] for event in events} == {request_id}
    names = [event["name"] for event in events]
    assert names[0] == "CALL_ARRIVED"
    assert "CALL_SHED" in names
    assert names[-1] in ("CALL_ANSWERED", "RUN_ENDED")
    stamps = [event["stamp"] for event in events]
    assert stamps == sorted(stamps)


def test_drained_host_stops_and_timeline_reports_it(fleet):
    result = fleet.run("drain", "orderline-2", "--wait", "30")
    assert result.returncode == ExitCode.OK, result.stderr
    assert fleet.host("orderline-2").node.wait(timeout=30) == 0
    result = fleet.run("timeline", "--host", "orderline-2")
    assert result.returncode == ExitCode.INCOMPLETE
    assert "no answer from orderline-2" in result.stderr
    assert "host orderline-2 is draining" in result.stdout


def test_switch_wait_excludes_a_drained_host_once_dead(
    fleet,
):
    def is_dead():
        status = fleet.cluster.status(fleet.host("kitview-1"))
        states = {m["host_id"]: m["state"] for m in status["members"]}
        return states.get("orderline-2", "dead") == "dead"

    fleet.wait_for(is_dead, "orderline-2 dead")
    result = fleet.run("preset", "switch", "ordinary", "--wait", "30", "--json")
    assert result.returncode == ExitCode.OK, result.stdout
    assert json.loads(result.stdout)["in_force"] == sorted(HOST_IDS)[:3]
