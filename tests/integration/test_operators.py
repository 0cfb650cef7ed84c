"""Operators' commands against real nodes, all run from the binary."""

from concurrent import futures
import json

import pytest

from bergamotdeal.cli import exit_codes
from bergamotdeal.presets import in_force
from standins import cluster
from tools import build_binary

Exit = exit_codes.ExitCode
EXAMPLES = build_binary.ROOT / "examples" / "lintasan"
HOSTS = ("kitview-1", "kitview-2", "orderline-1", "orderline-2")
BURST = 60


class Fleet:
    """Nodes run from the binary, the store stand-in and an operator."""

    def __init__(self, *, binary):
        self.binary = binary
        self.cluster = cluster.Cluster(
            folder=binary.folder / "cluster",
            with_store=True,
            command=(str(binary.path),),
        )
        for host_id, data_centre in zip(
            HOSTS, ("prai", "batu-kawan", "prai", "batu-kawan"), strict=True
        ):
            service, _, _ = host_id.partition("-")
            is_first = service == "kitview"
            self.cluster.add(
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
        self.wait_for(lambda: len(self.members()) == len(HOSTS), "members")

    def host(self, host_id):
        return self.cluster.hosts_by_id[host_id]

    def members(self):
        status = self.cluster.status(self.host("kitview-1"))
        return [m for m in status.get("members", []) if m["state"] == "alive"]

    def wait_for(self, condition, what):
        cluster.wait_for(condition, what)

    def control_store(self, **behaviour):
        status, _ = cluster.request(
            self.cluster.store_address,
            cluster.STORE_PORT,
            "PUT",
            "/_control",
            body=json.dumps(behaviour).encode(),
        )
        assert status == 200

    def arguments(self, *arguments):
        host = self.host("kitview-1")
        node = f"{host.address}:{cluster.ADMIN_PORT}"
        store = f"{self.cluster.store_address}:{cluster.STORE_PORT}"
        if arguments[0] == "preset":
            arguments += ("--store", store)
            if arguments[1] != "switch":
                return arguments
        return (*arguments, "--node", node)

    def run(self, *arguments):
        return self.binary.run(*self.arguments(*arguments))

    def start_command(self, *arguments):
        return self.binary.start(*self.arguments(*arguments))


@pytest.fixture(scope="module")
def fleet(binary):
    made = Fleet(binary=binary)
    try:
        made.start()
        for name in ("ordinary", "peak", "maintenance"):
            done = made.run("preset", "put", str(EXAMPLES / f"{name}.ini"))
            assert done.returncode == Exit.OK, done.stderr
        yield made
    finally:
        made.cluster.stop()


def _epoch(fleet):
    return fleet.cluster.status(fleet.host("kitview-1"))["epoch"]


def test_switch_reaches_every_host(fleet):
    done = fleet.run("preset", "switch", "ordinary", "--wait", "30", "--json")
    assert done.returncode == Exit.OK, done.stdout + done.stderr
    report = json.loads(done.stdout)
    assert report["in_force"] == sorted(HOSTS)
    done = fleet.run("status", "--fleet", "--json")
    epochs = {node["epoch"] for node in json.loads(done.stdout)["nodes"]}
    assert epochs == {report["epoch"]}


def test_racing_operators_get_one_success_and_one_conflict(fleet):
    base = _epoch(fleet)
    commands = [
        fleet.start_command(
            *("preset", "switch", preset, "--operator", operator),
            *("--operation-id", f"{base}-{operator}"),
        )
        for preset, operator in (("peak", "mei"), ("maintenance", "aisyah"))
    ]
    outputs = [command.communicate(timeout=60)[0] for command in commands]
    codes = [command.returncode for command in commands]
    assert sorted(codes) == [Exit.OK, Exit.CONFLICT], outputs
    winner = ("mei", "aisyah")[codes.index(Exit.OK)]
    loser = outputs[codes.index(Exit.CONFLICT)]
    assert f"{winner} switched to" in loser
    assert f"epoch {base + 1}" in loser


def test_switch_is_accepted_once_when_store_answer_is_lost(fleet):
    before = _epoch(fleet)
    fleet.control_store(lose_writes=1)
    done = fleet.run("preset", "switch", "peak", "--wait", "30", "--json")
    assert done.returncode == Exit.OK, done.stdout + done.stderr
    report = json.loads(done.stdout)
    assert (report["result"], report["epoch"]) == ("accepted", before + 1)
    done = fleet.run("preset", "history", "--json")
    epochs = [switch["epoch"] for switch in json.loads(done.stdout)]
    assert epochs == list(range(before + 1, 0, -1))[: len(epochs)]
    assert len(epochs) <= in_force.HISTORY_LENGTH


def test_switch_is_not_accepted_while_the_store_is_down(fleet):
    before = _epoch(fleet)
    fleet.control_store(down=True)
    try:
        done = fleet.run("preset", "switch", "ordinary")
    finally:
        fleet.control_store(down=False)
    assert done.returncode == Exit.STORE_UNAVAILABLE
    assert _epoch(fleet) == before


def test_timeline_shows_the_events_of_a_shed_request(fleet):
    host = fleet.host("kitview-1")

    def send(number):
        cluster.request(
            host.address,
            cluster.ENTRY_PORT,
            "GET",
            "/kitview/kits/17",
            headers_by_name={"Bergamot-Request-Id": f"line-{number}"},
        )

    with futures.ThreadPoolExecutor(max_workers=BURST) as pool:
        list(pool.map(send, range(BURST)))
    shed = fleet.run("timeline", "--event", "call-shed", "--json")
    assert shed.returncode == Exit.OK, shed.stderr
    request_id = json.loads(shed.stdout.splitlines()[-1])["request"]
    done = fleet.run("timeline", "--request", request_id, "--json")
    events = [json.loads(line) for line in done.stdout.splitlines()]
    assert {event["request"] for event in events} == {request_id}
    names = [event["name"] for event in events]
    assert names[0] == "CALL_ARRIVED"
    assert "CALL_SHED" in names
    assert names[-1] in ("CALL_ANSWERED", "RUN_ENDED")
    stamps = [event["stamp"] for event in events]
    assert stamps == sorted(stamps)


def test_drained_host_stops_and_timeline_reports_it(fleet):
    done = fleet.run("drain", "orderline-2", "--wait", "30")
    assert done.returncode == Exit.OK, done.stderr
    assert fleet.host("orderline-2").node.wait(timeout=30) == 0
    done = fleet.run("timeline", "--host", "orderline-2")
    assert done.returncode == Exit.INCOMPLETE
    assert "no answer from orderline-2" in done.stderr
    assert "host orderline-2 is draining" in done.stdout


def test_switch_wait_excludes_a_drained_host_once_dead(
    fleet,
):
    def is_dead():
        status = fleet.cluster.status(fleet.host("kitview-1"))
        states = {m["host_id"]: m["state"] for m in status["members"]}
        return states.get("orderline-2", "dead") == "dead"

    fleet.wait_for(is_dead, "orderline-2 dead")
    done = fleet.run("preset", "switch", "ordinary", "--wait", "30", "--json")
    assert done.returncode == Exit.OK, done.stdout
    assert json.loads(done.stdout)["in_force"] == sorted(HOSTS)[:3]
