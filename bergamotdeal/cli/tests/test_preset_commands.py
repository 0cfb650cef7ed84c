import json
import pathlib

import pytest
import result
from twisted.internet import defer
from twisted.internet import task

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import store_session
from bergamotdeal.presets import in_force
from bergamotdeal.presets import parser
from bergamotdeal.store import core

ExitCode = exit_codes.ExitCode
EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "lintasan"
ENVIRONMENT = {"BERGAMOTDEAL_STORE": "127.0.0.1:9", "USER": "mei"}


class InMemoryStore:
    """Object store in memory with fault injection."""

    def __init__(self):
        self.objects_by_key = {}
        self.is_down = False
        self.answers_to_lose = 0
        self.on_put_in_force = None
        self.write_count = 0

    def get(self, key):
        return defer.succeed(self._get(key))

    def _get(self, key):
        if self.is_down:
            return _build_failure(core.FailureKind.UNAVAILABLE)
        if key not in self.objects_by_key:
            return _build_failure(core.FailureKind.NOT_FOUND)
        return result.Ok(self.objects_by_key[key])

    def put(self, key, value, *, expected_version):
        if self.on_put_in_force and key == in_force.IN_FORCE_KEY:
            callback, self.on_put_in_force = self.on_put_in_force, None
            callback()
        if self.is_down:
            return defer.succeed(_build_failure(core.FailureKind.UNAVAILABLE))
        stored_object = self.objects_by_key.get(key)
        version = stored_object.version if stored_object else core.NO_VERSION
        if version != expected_version:
            return defer.succeed(_build_failure(core.FailureKind.CONFLICT))
        self.write_count += 1
        self.objects_by_key[key] = core.StoredObject(
            key=key, version=version + 1, value=value
        )
        if self.answers_to_lose and key == in_force.IN_FORCE_KEY:
            self.answers_to_lose -= 1
            return defer.succeed(
                _build_failure(
                    core.FailureKind.UNAVAILABLE, may_have_applied=True
                )
            )
        return defer.succeed(result.Ok(version + 1))

    def list(self, prefix):
        if self.is_down:
            return defer.succeed(_build_failure(core.FailureKind.UNAVAILABLE))
        listing = [
            core.ListingEntry(key=key, version=stored_object.version)
            for key, stored_object in self.objects_by_key.items()
            if key.startswith(prefix)
        ]
        return defer.succeed(result.Ok(listing))

    def run(self, _, operation):
        clock = task.Clock()
        results = []
        pending = defer.ensureDeferred(operation(self, clock))
        pending.addCallback(results.append)
        for _ in range(100):
            clock.advance(1)
        return results[0]


def _build_failure(kind, **attributes):
    return result.Err(core.Failure(kind=kind, detail="as told", **attributes))


@pytest.fixture
def store(monkeypatch):
    store = InMemoryStore()
    monkeypatch.setattr(store_session, "run", store.run)
    return store


@pytest.fixture
def run(fleet, store):
    node = fleet.add("kitview-1")
    node.status_overrides = {"epoch": 0}

    def run_command(*arguments, **variables):
        return fleet.run("preset", *arguments, **(ENVIRONMENT | variables))

    for name in ("ordinary", "peak"):
        completed = run_command("put", str(EXAMPLES / f"{name}.ini"))
        assert completed.exit_code == ExitCode.OK, completed.output
    return run_command


def test_check_reports_valid_and_invalid_presets(run, tmp_path):
    completed = run("check", str(EXAMPLES / "peak.ini"))
    assert "valid preset peak, 4 services, 10 routes" in completed.output
    path = tmp_path / "broken.ini"
    path.write_text("[preset]\nname = a\n[retries]\nallowance = 101\n")
    completed = run("check", str(path))
    assert completed.exit_code == ExitCode.INVALID
    assert completed.output == (
        f"{path}: [retries] allowance: '101' is not an integer from 0 to 100\n"
    )


def test_put_of_invalid_preset_stores_nothing(run, store, tmp_path):
    path = tmp_path / "broken.ini"
    path.write_text("[preset]\nname = b\n[nothing]\n")
    assert run("put", str(path)).exit_code == ExitCode.INVALID
    assert "presets/b" not in store.objects_by_key


def test_list_marks_preset_in_force(run):
    assert run("list").output == "  ordinary\n  peak\n"
    run("switch", "peak")
    assert run("list").output == "  ordinary\n* peak\n"
    assert json.loads(run("list", "--json").output) == {
        "presets": ["ordinary", "peak"],
        "in_force": "peak",
    }


def test_show_writes_preset_that_parses(run):
    shown = run("show", "peak").output
    expected = parser.parse((EXAMPLES / "peak.ini").read_text()).unwrap()
    assert parser.parse(shown).unwrap() == expected
    assert run("show", "in-force").exit_code == ExitCode.NOT_FOUND
    run("switch", "peak")
    assert run("show", "in-force").output == shown
    assert json.loads(run("show", "peak", "--json").output)["name"] == "peak"
    assert run("show", "none").exit_code == ExitCode.NOT_FOUND


def test_diff_compares_stored_presets_and_files(run):
    lines = run("diff", "ordinary", "peak").output.splitlines()
    assert lines[:2] == ["--- ordinary", "+++ peak"]
    assert "-allowance = 3" in lines
    assert "+allowance = 1" in lines
    path = str(EXAMPLES / "peak.ini")
    assert run("diff", "peak", path).output == ""


def test_switch_sends_preset_to_nodes(run, fleet):
    completed = run("switch", "peak")
    assert completed.exit_code == ExitCode.OK
    assert completed.output.startswith("accepted: epoch 1, operation 0-")
    assert "handed to kitview-1" in completed.output
    node = fleet.nodes_by_id["kitview-1"]
    method, target, body = node.requests[-1]
    assert (method, target) == ("PUT", "/v1/in-force")
    received = in_force.decode(body).unwrap()
    assert (received.epoch, received.preset.name) == (1, "peak")
    assert received.operator == "mei"


def test_switch_takes_epoch_above_epoch_of_fleet(run, fleet):
    fleet.nodes_by_id["kitview-1"].status_overrides = {"epoch": 41}
    assert "epoch 42" in run("switch", "peak").output


def test_switch_without_node_uses_only_store(run, fleet):
    completed = run("switch", "peak", BERGAMOTDEAL_NODE="")
    assert completed.exit_code == ExitCode.OK
    assert "handed to" not in completed.output
    completed = run("switch", "peak", "--wait", "1", BERGAMOTDEAL_NODE="")
    assert completed.exit_code == ExitCode.USAGE


def test_switch_succeeds_while_named_node_is_unreachable(run, fleet):
    fleet.nodes_by_id["kitview-1"].stop()
    completed = run("switch", "peak")
    assert completed.exit_code == ExitCode.OK
    assert "no answer: 127.0.0.1:" in completed.stderr


def test_switch_after_lost_answer_writes_once(run, store):
    writes_before = store.write_count
    store.answers_to_lose = 1
    completed = run("switch", "peak")
    assert completed.exit_code == ExitCode.OK
    assert store.write_count == writes_before + 1


def test_switch_after_concurrent_switch_exits_with_conflict(run, store):
    store.on_put_in_force = lambda: run(
        "switch", "ordinary", "--operator", "aisyah"
    )
    completed = run("switch", "peak")
    assert completed.exit_code == ExitCode.CONFLICT
    assert "aisyah switched to ordinary first, epoch 1" in completed.output
    assert "* ordinary" in run("list").output


def test_switch_with_same_operation_id_is_idempotent(run, store):
    first = json.loads(run("switch", "peak", "--json").output)
    writes_before = store.write_count
    repeated_command = (
        "switch",
        "peak",
        "--operation-id",
        first["operation_id"],
    )
    assert run(*repeated_command).exit_code == ExitCode.OK
    assert store.write_count == writes_before
    assert run("switch", "ordinary", "--operator", "aisyah").exit_code == 0
    completed = run(*repeated_command)
    assert completed.exit_code == ExitCode.SUPERSEDED
    assert "superseded since by aisyah: ordinary, epoch 2" in completed.output


def test_unavailable_store_exits_with_store_unavailable(run, store):
    store.is_down = True
    for command in (["list"], ["history"], ["show", "peak"]):
        assert run(*command).exit_code == ExitCode.STORE_UNAVAILABLE
    assert run("switch", "peak").exit_code == ExitCode.STORE_UNAVAILABLE
    store.is_down = False

    def take_store_down():
        store.is_down = True

    store.on_put_in_force = take_store_down
    assert run("switch", "peak").exit_code == ExitCode.STORE_UNAVAILABLE


def test_switch_with_unknown_result_prints_operation_id(run, store):
    store.answers_to_lose = 1

    def get_when_down(key):
        if store.answers_to_lose == 0:
            return _build_failure(core.FailureKind.UNAVAILABLE)
        return InMemoryStore._get(store, key)

    store._get = get_when_down
    completed = run("switch", "peak")
    assert completed.exit_code == ExitCode.UNKNOWN
    assert "run again with --operation-id 0-" in completed.output


def test_switch_to_unknown_preset_exits_with_not_found(run):
    completed = run("switch", "paek")
    assert completed.exit_code == ExitCode.NOT_FOUND
    assert "preset paek" in completed.output


def test_switch_wait_timeout_reports_missing_hosts(run, fleet):
    node = fleet.nodes_by_id["kitview-1"]
    fleet.add("orderline-1").status_overrides = {"epoch": 0}
    fleet.add("stencilhub-1").stop()
    node.put_in_force_answer = (200, b'{"epoch": 1}')
    completed = run("switch", "peak", "--wait", "0", "--json")
    assert completed.exit_code == ExitCode.INCOMPLETE
    report = json.loads(completed.stdout)
    assert report["result"] == "accepted"
    assert report["in_force"] == []
    assert report["missing"]["orderline-1"] == "has epoch 0"
    assert "refused" in report["missing"]["stencilhub-1"]


def test_switch_wait_ignores_host_that_left_fleet(run, fleet):
    node = fleet.nodes_by_id["kitview-1"]
    stopped_node = fleet.add("orderline-1")
    stopped_node.stop()
    members_after_departure = [node.member(), stopped_node.member(state="dead")]
    answers = iter([(0, node.members)])

    def report_departure():
        epoch, node.members = next(answers, (1, members_after_departure))
        return _build_status(node, epoch)

    node.status = report_departure
    completed = run("switch", "peak", "--wait", "0")
    assert completed.exit_code == ExitCode.OK, completed.output
    assert "in force on 1 of 1 hosts" in completed.output


def test_switch_wait_ends_when_all_hosts_have_preset(run, fleet):
    node = fleet.nodes_by_id["kitview-1"]
    answers = iter([0, 0, 1])
    node.status = lambda: _build_status(node, next(answers, 1))
    completed = run("switch", "peak", "--wait", "30")
    assert completed.exit_code == ExitCode.OK
    assert "in force on 1 of 1 hosts" in completed.output


def _build_status(node, epoch):
    node.status_overrides = {"epoch": epoch}
    return type(node).status(node)


def test_history_lists_newest_switch_first(run):
    run("switch", "peak")
    run("switch", "ordinary", "--operator", "aisyah")
    rows = [line.split() for line in run("history").output.splitlines()]
    assert [row[:3] for row in rows] == [
        ["2", "ordinary", "aisyah"],
        ["1", "peak", "mei"],
    ]
    switches = json.loads(run("history", "--json").output)
    assert [s["epoch"] for s in switches] == [2, 1]


def test_list_without_store_exits_with_usage(run):
    assert run("list", BERGAMOTDEAL_STORE="").exit_code == ExitCode.USAGE


def test_interrupted_operation_exits_with_unknown(run, monkeypatch):
    def interrupt(_, operation):
        raise store_session.OperationInterruptedError

    monkeypatch.setattr(store_session, "run", interrupt)
    assert run("switch", "peak").exit_code == ExitCode.UNKNOWN
    assert run("list").exit_code == ExitCode.UNKNOWN
