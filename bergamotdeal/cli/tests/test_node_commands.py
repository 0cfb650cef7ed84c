import json

import pytest

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import timeline as timeline_command
from bergamotdeal.node import status
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import timeline

Exit = exit_codes.ExitCode
SERVER = status.ServerStatus(
    service="kitview",
    slots=50,
    running=12,
    queued=3,
    limit=40,
    thresholds_by_class={"critical": 1.0, "browse": 0.625},
)


def _entry(host, order, request="r1", code=300):
    return timeline.Entry(
        host=host,
        stamp=clock.from_wall_ms(1_700_000_000_000) + order,
        code=code,
        request=request,
        fields={"place": host},
    )


def test_status_is_one_screen(fleet):
    node = fleet.add("kitview-1")
    fleet.add("orderline-1")
    node.members[1] = fleet.nodes_by_id["orderline-1"].member(state="suspect")
    node.changes = {"server": SERVER, "counters_by_name": {"a.b": 2, "c": 0}}
    run = fleet.run("status")
    assert run.exit_code == Exit.OK
    lines = run.output.splitlines()
    assert "ready       yes" in lines
    assert "preset      ordinary, epoch 4" in lines
    assert (
        "server      kitview: 12 running, 3 queued, limit 40 of 50 slots, "
        "thresholds critical 1.00, browse 0.62"
    ) in lines
    assert "fleet       1 alive, 1 suspect" in lines
    assert "  orderline-1: suspect" in lines
    assert "  a.b  2" in lines
    assert len(lines) < 24


def test_status_says_why_a_node_is_not_ready(fleet):
    node = fleet.add("kitview-1")
    node.changes = {"ready": False, "not_ready_reason": "no preset yet"}
    assert "ready       no: no preset yet" in fleet.run("status").output


def test_status_as_json_reads_back(fleet):
    node = fleet.add("kitview-1")
    run = fleet.run("status", "--json")
    assert status.decode(run.output.encode()).unwrap() == node.status()


def test_fleet_status_names_the_hosts_that_did_not_answer(fleet):
    fleet.add("kitview-1").changes = {"server": SERVER}
    fleet.add("orderline-1").changes = {"epoch": 3}
    fleet.add("stencilhub-1").stop()
    run = fleet.run("status", "--fleet")
    assert run.exit_code == Exit.INCOMPLETE
    assert "no answer from stencilhub-1: 127.0.0.1:" in run.stderr
    rows = [line.split() for line in run.stdout.splitlines()]
    assert [row[0] for row in rows] == ["HOST", "kitview-1", "orderline-1"]
    run = fleet.run("status", "--fleet", "--json")
    document = json.loads(run.stdout)
    assert [node["epoch"] for node in document["nodes"]] == [4, 3]
    assert list(document["unreachable"]) == ["stencilhub-1"]


def test_the_first_node_that_answers_is_asked(fleet):
    gone = fleet.add("kitview-1")
    node = fleet.add("kitview-2")
    gone.stop()
    run = fleet.run(
        "status",
        "--node",
        f"127.0.0.1:{gone.port}",
        "--node",
        f"127.0.0.1:{node.port}",
    )
    assert run.exit_code == Exit.OK
    assert "kitview-2" in run.output


def test_no_answer_has_an_exit_code_of_its_own(fleet):
    node = fleet.add("kitview-1")
    node.stop()
    for command in (["status"], ["timeline"], ["drain", "kitview-1"]):
        assert fleet.run(*command).exit_code == Exit.NODE_UNREACHABLE


def test_a_refused_token_has_an_exit_code_of_its_own(fleet, tmp_path):
    fleet.add("kitview-1", token="secret")
    assert fleet.run("status").exit_code == Exit.UNAUTHORIZED
    variables = {"BERGAMOTDEAL_TOKEN": "secret"}
    assert fleet.run("status", **variables).exit_code == Exit.OK
    path = tmp_path / "token"
    path.write_text("secret\n")
    run = fleet.run("status", "--token-file", str(path))
    assert run.exit_code == Exit.OK


def test_the_nodes_own_settings_name_it(fleet, tmp_path):
    node = fleet.add("kitview-1", token="secret")
    path = tmp_path / "node.ini"
    path.write_text(
        "[node]\nhost_id = kitview-1\ndata_centre = prai\n"
        "[peer]\nkey = 0123456789abcdef\n"
        f"[admin]\nport = {node.port}\ntoken = secret\n"
    )
    run = fleet.run("status", "--settings", str(path), BERGAMOTDEAL_NODE="")
    assert run.exit_code == Exit.OK


@pytest.mark.parametrize("value", ["kitview", "10.0.0.1", "10.0.0.1:0"])
def test_a_wrong_node_option_is_a_usage_error(fleet, value):
    fleet.add("kitview-1")
    assert fleet.run("status", "--node", value).exit_code == Exit.USAGE


def test_timeline_is_in_the_order_of_cause_and_effect(fleet):
    fleet.add("kitview-1").entries = [
        _entry("kitview-1", 0),
        _entry("kitview-1", 3),
    ]
    fleet.add("orderline-1").entries = [
        _entry("orderline-1", 1),
        _entry("orderline-1", 2, request="r2"),
    ]
    run = fleet.run("timeline", "--request", "r1")
    assert run.exit_code == Exit.OK
    assert run.output.splitlines() == [
        "2023-11-14T22:13:20.000Z kitview-1 300 CALL_SHED [r1] "
        "call shed at kitview-1: ?",
        "2023-11-14T22:13:20.000Z orderline-1 300 CALL_SHED [r1] "
        "call shed at orderline-1: ?",
        "2023-11-14T22:13:20.000Z kitview-1 300 CALL_SHED [r1] "
        "call shed at kitview-1: ?",
    ]


def test_timeline_names_the_hosts_that_did_not_answer(fleet):
    fleet.add("kitview-1").entries = [_entry("kitview-1", 0)]
    fleet.add("orderline-1").stop()
    hidden = fleet.add("stencilhub-1")
    for node in fleet.nodes_by_id.values():
        node.members[2] = hidden.member(admin_port=0)
    run = fleet.run("timeline", "--json")
    assert run.exit_code == Exit.INCOMPLETE
    assert json.loads(run.stdout)["name"] == "CALL_SHED"
    assert "no answer from orderline-1" in run.stderr
    assert "no answer from stencilhub-1: its admin face" in run.stderr


def test_timeline_hands_its_filters_to_the_nodes(fleet):
    node = fleet.add("kitview-1")
    run = fleet.run(
        "timeline",
        *("--host", "orderline-1", "--event", "call-shed"),
        *("--since", "2023-11-14T22:13:20Z", "--limit", "5"),
    )
    assert run.exit_code == Exit.OK
    stamp = clock.from_wall_ms(1_700_000_000_000)
    assert node.requests[-1][1] == (
        f"/v1/timeline?since={stamp}&host=orderline-1&event=300&limit=5"
    )


def test_timeline_says_what_it_left_out(fleet):
    fleet.add("kitview-1").entries = [_entry("kitview-1", 0)] * 3
    fleet.add("orderline-1").entries = [_entry("orderline-1", 0)]
    run = fleet.run("timeline", "--limit", "3")
    assert run.exit_code == Exit.OK
    assert "only the newest 3 events were taken from kitview-1;" in run.stderr
    assert "orderline-1" not in run.stderr


def test_timeline_asks_a_large_fleet_for_less(fleet, monkeypatch):
    monkeypatch.setattr(timeline_command, "MAX_EVENTS", 8)
    node = fleet.add("kitview-1")
    fleet.add("orderline-1")
    fleet.run("timeline")
    assert node.requests[-1][1] == "/v1/timeline?since=0&limit=4"


@pytest.mark.parametrize(
    "option", [("--since", "soon"), ("--event", "nope"), ("--limit", "0")]
)
def test_a_wrong_filter_is_a_usage_error(fleet, option):
    fleet.add("kitview-1")
    assert fleet.run("timeline", *option).exit_code == Exit.USAGE


def test_drain_reaches_the_named_host(fleet):
    fleet.add("kitview-1")
    node = fleet.add("orderline-1")
    run = fleet.run("drain", "orderline-1")
    assert run.exit_code == Exit.OK
    assert ("POST", "/v1/drain", b"") in node.requests


def test_drain_of_an_unknown_host_is_not_found(fleet):
    fleet.add("kitview-1")
    assert fleet.run("drain", "kitview-9").exit_code == Exit.NOT_FOUND


def test_drain_waits_until_the_node_has_stopped(fleet):
    fleet.add("kitview-1")
    node = fleet.add("orderline-1")
    node.on_drain = lambda: node.changes.update(incarnation="next")
    run = fleet.run("drain", "orderline-1", "--wait", "30")
    assert run.exit_code == Exit.OK
    assert "orderline-1: stopped" in run.output


def test_drain_says_when_the_node_has_not_stopped_in_time(fleet):
    fleet.add("kitview-1")
    run = fleet.run("drain", "kitview-1", "--wait", "0")
    assert run.exit_code == Exit.INCOMPLETE


def test_a_malformed_answer_is_reported(fleet):
    node = fleet.add("kitview-1")
    node.status = lambda: {"host_id": 7}
    run = fleet.run("status")
    assert run.exit_code == Exit.FAILED
    assert "host_id" in run.output


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_scripts(fleet, shell):
    fleet.add("kitview-1")
    run = fleet.run("completion", shell)
    assert run.exit_code == Exit.OK
    assert "_BERGAMOTDEAL_COMPLETE" in run.output
