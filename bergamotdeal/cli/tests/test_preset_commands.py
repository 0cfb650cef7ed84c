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

Exit = exit_codes.ExitCode
EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "lintasan"
STORE = {"BERGAMOTDEAL_STORE": "127.0.0.1:9", "USER": "mei"}


class MemoryStore:
    """The object API in memory, with faults on demand."""

    def __init__(self):
        self.objects_by_key = {}
        self.down = False
        self.lose_answers = 0
        self.before_put = None
        self.writes = 0

    def get(self, key):
        return defer.succeed(self._get(key))

    def _get(self, key):
        if self.down:
            return _failed(core.FailureKind.UNAVAILABLE)
        if key not in self.objects_by_key:
            return _failed(core.FailureKind.NOT_FOUND)
        return result.Ok(self.objects_by_key[key])

    def put(self, key, value, *, expected_version):
        if self.before_put and key == in_force.IN_FORCE_KEY:
            act, self.before_put = self.before_put, None
            act()
        if self.down:
            return defer.succeed(_failed(core.FailureKind.UNAVAILABLE))
        stored = self.objects_by_key.get(key)
        version = stored.version if stored else core.NO_VERSION
        if version != expected_version:
            return defer.succeed(_failed(core.FailureKind.CONFLICT))
        self.writes += 1
        self.objects_by_key[key] = core.StoredObject(
            key=key, version=version + 1, value=value
        )
        if self.lose_answers and key == in_force.IN_FORCE_KEY:
            self.lose_answers -= 1
            return defer.succeed(
                _failed(core.FailureKind.UNAVAILABLE, may_have_applied=True)
            )
        return defer.succeed(result.Ok(version + 1))

    def list(self, prefix):
        if self.down:
            return defer.succeed(_failed(core.FailureKind.UNAVAILABLE))
        listed = [
            core.ListingEntry(key=key, version=stored.version)
            for key, stored in self.objects_by_key.items()
            if key.startswith(prefix)
        ]
        return defer.succeed(result.Ok(listed))

    def run(self, _, operation):
        clock = task.Clock()
        outcomes = []
        running = defer.ensureDeferred(operation(self, clock))
        running.addCallback(outcomes.append)
        for _ in range(100):
            clock.advance(1)
        return outcomes[0]


def _failed(kind, **values):
    return result.Err(core.Failure(kind=kind, detail="as told", **values))


@pytest.fixture
def memory(monkeypatch):
    made = MemoryStore()
    monkeypatch.setattr(store_session, "run", made.run)
    return made


@pytest.fixture
def run(fleet, memory):
    node = fleet.add("kitview-1")
    node.changes = {"epoch": 0}

    def run_command(*arguments, **options):
        return fleet.run("preset", *arguments, **(STORE | options))

    for name in ("ordinary", "peak"):
        done = run_command("put", str(EXAMPLES / f"{name}.ini"))
        assert done.exit_code == Exit.OK, done.output
    return run_command


def test_check(run, tmp_path):
    done = run("check", str(EXAMPLES / "peak.ini"))
    assert "valid preset peak, 4 services, 10 routes" in done.output
    path = tmp_path / "broken.ini"
    path.write_text("[preset]\nname = a\n[retries]\nallowance = 101\n")
    done = run("check", str(path))
    assert done.exit_code == Exit.INVALID
    assert done.output == (
        f"{path}: [retries] allowance: '101' is not an integer from 0 to 100\n"
    )


def test_a_broken_preset_is_not_stored(run, memory, tmp_path):
    path = tmp_path / "broken.ini"
    path.write_text("[preset]\nname = b\n[nothing]\n")
    assert run("put", str(path)).exit_code == Exit.INVALID
    assert "presets/b" not in memory.objects_by_key


def test_list_marks_the_preset_in_force(run):
    assert run("list").output == "  ordinary\n  peak\n"
    run("switch", "peak")
    assert run("list").output == "  ordinary\n* peak\n"
    assert json.loads(run("list", "--json").output) == {
        "presets": ["ordinary", "peak"],
        "in_force": "peak",
    }


def test_show_writes_a_preset_that_parses(run):
    shown = run("show", "peak").output
    expected = parser.parse((EXAMPLES / "peak.ini").read_text()).unwrap()
    assert parser.parse(shown).unwrap() == expected
    assert run("show", "in-force").exit_code == Exit.NOT_FOUND
    run("switch", "peak")
    assert run("show", "in-force").output == shown
    assert json.loads(run("show", "peak", "--json").output)["name"] == "peak"
    assert run("show", "none").exit_code == Exit.NOT_FOUND


def test_diff_compares_stored_presets_and_files(run):
    lines = run("diff", "ordinary", "peak").output.splitlines()
    assert lines[:2] == ["--- ordinary", "+++ peak"]
    assert "-allowance = 3" in lines
    assert "+allowance = 1" in lines
    path = str(EXAMPLES / "peak.ini")
    assert run("diff", "peak", path).output == ""


def test_switch_hands_the_preset_to_the_nodes(run, fleet):
    done = run("switch", "peak")
    assert done.exit_code == Exit.OK
    assert done.output.startswith("accepted: epoch 1, operation 0-")
    assert "handed to kitview-1" in done.output
    node = fleet.nodes_by_id["kitview-1"]
    method, target, body = node.requests[-1]
    assert (method, target) == ("PUT", "/v1/in-force")
    handed = in_force.decode(body).unwrap()
    assert (handed.epoch, handed.preset.name) == (1, "peak")
    assert handed.operator == "mei"


def test_a_new_epoch_is_above_what_the_fleet_has(run, fleet):
    fleet.nodes_by_id["kitview-1"].changes = {"epoch": 41}
    assert "epoch 42" in run("switch", "peak").output


def test_switch_without_a_node_needs_the_store_alone(run, fleet):
    done = run("switch", "peak", BERGAMOTDEAL_NODE="")
    assert done.exit_code == Exit.OK
    assert "handed to" not in done.output
    done = run("switch", "peak", "--wait", "1", BERGAMOTDEAL_NODE="")
    assert done.exit_code == Exit.USAGE


def test_switch_goes_on_while_no_named_node_answers(run, fleet):
    fleet.nodes_by_id["kitview-1"].stop()
    done = run("switch", "peak")
    assert done.exit_code == Exit.OK
    assert "no answer: 127.0.0.1:" in done.stderr


def test_a_lost_answer_is_accepted_once(run, memory):
    before = memory.writes
    memory.lose_answers = 1
    done = run("switch", "peak")
    assert done.exit_code == Exit.OK
    assert memory.writes == before + 1


def test_the_loser_of_a_race_is_told_who_won(run, memory):
    memory.before_put = lambda: run(
        "switch", "ordinary", "--operator", "aisyah"
    )
    done = run("switch", "peak")
    assert done.exit_code == Exit.CONFLICT
    assert "aisyah switched to ordinary first, epoch 1" in done.output
    assert "* ordinary" in run("list").output


def test_a_run_with_the_same_operation_id_is_safe(run, memory):
    first = json.loads(run("switch", "peak", "--json").output)
    before = memory.writes
    again = ("switch", "peak", "--operation-id", first["operation_id"])
    assert run(*again).exit_code == Exit.OK
    assert memory.writes == before
    assert run("switch", "ordinary", "--operator", "aisyah").exit_code == 0
    done = run(*again)
    assert done.exit_code == Exit.SUPERSEDED
    assert "superseded since by aisyah: ordinary, epoch 2" in done.output


def test_the_store_down_has_exit_codes_of_its_own(run, memory):
    memory.down = True
    for command in (["list"], ["history"], ["show", "peak"]):
        assert run(*command).exit_code == Exit.STORE_UNAVAILABLE
    assert run("switch", "peak").exit_code == Exit.STORE_UNAVAILABLE
    memory.down = False

    def fall():
        memory.down = True

    memory.before_put = fall
    assert run("switch", "peak").exit_code == Exit.STORE_UNAVAILABLE


def test_a_write_with_an_unknown_fate_names_its_operation(run, memory):
    memory.lose_answers = 1

    def get_down(key):
        if memory.lose_answers == 0:
            return _failed(core.FailureKind.UNAVAILABLE)
        return MemoryStore._get(memory, key)

    memory._get = get_down
    done = run("switch", "peak")
    assert done.exit_code == Exit.UNKNOWN
    assert "run again with --operation-id 0-" in done.output


def test_an_unknown_preset_is_not_found(run):
    done = run("switch", "paek")
    assert done.exit_code == Exit.NOT_FOUND
    assert "preset paek" in done.output


def test_wait_names_the_hosts_that_miss_the_switch(run, fleet):
    node = fleet.nodes_by_id["kitview-1"]
    fleet.add("orderline-1").changes = {"epoch": 0}
    fleet.add("stencilhub-1").stop()
    node.offer_answer = (200, b'{"epoch": 1}')
    done = run("switch", "peak", "--wait", "0", "--json")
    assert done.exit_code == Exit.INCOMPLETE
    report = json.loads(done.stdout)
    assert report["result"] == "accepted"
    assert report["in_force"] == []
    assert report["missing"]["orderline-1"] == "has epoch 0"
    assert "refused" in report["missing"]["stencilhub-1"]


def test_a_host_that_left_during_the_watch_is_not_missing(run, fleet):
    node = fleet.nodes_by_id["kitview-1"]
    gone = fleet.add("orderline-1")
    gone.stop()
    left = [node.member(), gone.member(state="dead")]
    answers = iter([(0, node.members)])

    def leave():
        epoch, node.members = next(answers, (1, left))
        return _status_with(node, epoch)

    node.status = leave
    done = run("switch", "peak", "--wait", "0")
    assert done.exit_code == Exit.OK, done.output
    assert "in force on 1 of 1 hosts" in done.output


def test_wait_ends_when_every_host_has_it(run, fleet):
    node = fleet.nodes_by_id["kitview-1"]
    answers = iter([0, 0, 1])
    node.status = lambda: _status_with(node, next(answers, 1))
    done = run("switch", "peak", "--wait", "30")
    assert done.exit_code == Exit.OK
    assert "in force on 1 of 1 hosts" in done.output


def _status_with(node, epoch):
    node.changes = {"epoch": epoch}
    return type(node).status(node)


def test_history_is_newest_first(run):
    run("switch", "peak")
    run("switch", "ordinary", "--operator", "aisyah")
    rows = [line.split() for line in run("history").output.splitlines()]
    assert [row[:3] for row in rows] == [
        ["2", "ordinary", "aisyah"],
        ["1", "peak", "mei"],
    ]
    switches = json.loads(run("history", "--json").output)
    assert [s["epoch"] for s in switches] == [2, 1]


def test_the_store_must_be_named(run):
    assert run("list", BERGAMOTDEAL_STORE="").exit_code == Exit.USAGE


def test_an_interrupted_switch_is_unknown(run, monkeypatch):
    def interrupt(_, operation):
        raise store_session.InterruptedSessionError

    monkeypatch.setattr(store_session, "run", interrupt)
    assert run("switch", "peak").exit_code == Exit.UNKNOWN
    assert run("list").exit_code == Exit.UNKNOWN
