import json

import pytest

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import timeline as timeline_command
from bergamotdeal.node import status
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import timeline

ExitCode = exit_codes.ExitCode
SERVER = status.ServerStatus(
    service="kitview",
    slots=50,
    running=12,
    queued=3,
    limit=40,
    thresholds_by_class={"critical": 1.0, "browse": 0.625},
)


def _make_entry(host, order, request="r1", code=300):
    return timeline.Entry(
        host=host,
        stamp=clock.from_wall_ms(1_700_000_000_000) + order,
        code=code,
        request=request,
        fields={"place": host},
    )


def test_status_fits_one_screen(fleet):
    node = fleet.add("kitview-1")
    fleet.add("orderline-1")
    node.members[1] = fleet.nodes_by_id["orderline-1"].member(state="suspect")
    node.status_overrides = {
        "server": SERVER,
        "counters_by_name": {"a.b": 2, "c": 0},
    }
    completed = fleet.run("status")
    assert completed.exit_code == ExitCode.OK
    lines = completed.output.splitlines()
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


def test_status_shows_reason_for_not_ready(fleet):
    node = fleet.add("kitview-1")
    node.status_overrides = {
        "ready": False,
        "not_ready_reason": "no preset yet",
    }
    assert "ready       no: no preset yet" in fleet.run("status").output


def test_status_json_decodes_to_node_status(fleet):
    node = fleet.add("kitview-1")
    completed = fleet.run("status", "--json")
    assert status.decode(completed.output.encode()).unwrap() == node.status()


def test_fleet_status_reports_hosts_without_answer(fleet):
    fleet.add("kitview-1").status_overrides = {"server": SERVER}
    fleet.add("orderline-1").status_overrides = {"epoch": 3}
    fleet.add("stencilhub-1").stop()
    completed = fleet.run("status", "--fleet")
    assert completed.exit_code == ExitCode.INCOMPLETE
    assert "no answer from stencilhub-1: 127.0.0.1:" in completed.stderr
    rows = [line.split() for line in completed.stdout.splitlines()]
    assert [row[0] for row in rows] == ["HOST", "kitview-1", "orderline-1"]
    completed = fleet.run("status", "--fleet", "--json")
    document = json.loads(completed.stdout)
    assert [node["epoch"] for node in document["nodes"]] == [4, 3]
    assert list(document["unreachable"]) == ["stencilhub-1"]


def test_status_falls_back_to_next_named_node(fleet):
    stopped_node = fleet.add("kitview-1")
    node = fleet.add("kitview-2")
    stopped_node.stop()
    completed = fleet.run(
        "status",
        "--node",
        f"127.0.0.1:{stopped_node.port}",
        "--node",
        f"127.0.0.1:{node.port}",
    )
    assert completed.exit_code == ExitCode.OK
    assert "kitview-2" in completed.output


def test_command_without_answer_exits_with_node_unreachable(fleet):
    node = fleet.add("kitview-1")
    node.stop()
    for command in (["status"], ["timeline"], ["drain", "kitview-1"]):
        assert fleet.run(*command).exit_code == ExitCode.NODE_UNREACHABLE


def test_status_with_refused_token_exits_with_unauthorized(fleet, tmp_path):
    fleet.add("kitview-1", token="secret")
    assert fleet.run("status").exit_code == ExitCode.UNAUTHORIZED
    environment = {"BERGAMOTDEAL_TOKEN": "secret"}
    assert fleet.run("status", **environment).exit_code == ExitCode.OK
    path = tmp_path / "token"
    path.write_text("secret\n")
    completed = fleet.run("status", "--token-file", str(path))
    assert completed.exit_code == ExitCode.OK


def test_status_takes_address_and_token_from_settings(fleet, tmp_path):
    node = fleet.add("kitview-1", token="secret")
    path = tmp_path / "node.ini"
    path.write_text(
        "[node]\nhost_id = kitview-1\ndata_centre = prai\n"
        "[peer]\nkey = 0123456789abcdef\n"
        f"[admin]\nport = {node.port}\ntoken = secret\n"
    )
    completed = fleet.run(
        "status", "--settings", str(path), BERGAMOTDEAL_NODE=""
    )
    assert completed.exit_code == ExitCode.OK


@pytest.mark.parametrize("value", ["kitview", "10.0.0.1", "10.0.0.1:0"])
def test_invalid_node_option_exits_with_usage(fleet, value):
    fleet.add("kitview-1")
    assert fleet.run("status", "--node", value).exit_code == ExitCode.USAGE


def test_timeline_merges_entries_in_causal_order(fleet):
    fleet.add("kitview-1").timeline_entries = [
        _make_entry("kitview-1", 0),
        _make_entry("kitview-1", 3),
    ]
    fleet.add("orderline-1").timeline_entries = [
        _make_entry("orderline-1", 1),
        _make_entry("orderline-1", 2, request="r2"),
    ]
    completed = fleet.run("timeline", "--request", "r1")
    assert completed.exit_code == ExitCode.OK
    assert completed.output.splitlines() == [
        "2023-11-14T22:13:20.000Z kitview-1 300 CALL_SHED [r1] "
        "call shed at kitview-1: ?",
        "2023-11-14T22:13:20.000Z orderline-1 300 CALL_SHED [r1] "
        "call shed at orderline-1: ?",
        "2023-11-14T22:13:20.000Z kitview-1 300 CALL_SHED [r1] "
        "call shed at kitview-1: ?",
    ]


def test_timeline_reports_hosts_without_answer(fleet):
    fleet.add("kitview-1").timeline_entries = [_make_entry("kitview-1", 0)]
    fleet.add("orderline-1").stop()
    unreachable_node = fleet.add("stencilhub-1")
    for node in fleet.nodes_by_id.values():
        node.members[2] = unreachable_node.member(admin_port=0)
    completed = fleet.run("timeline", "--json")
    assert completed.exit_code == ExitCode.INCOMPLETE
    assert json.loads(completed.stdout)["name"] == "CALL_SHED"
    assert "no answer from orderline-1" in completed.stderr
    assert "no answer from stencilhub-1: its admin face" in completed.stderr


def test_timeline_passes_filters_to_nodes(fleet):
    node = fleet.add("kitview-1")
    completed = fleet.run(
        "timeline",
        *("--host", "orderline-1", "--event", "call-shed"),
        *("--since", "2023-11-14T22:13:20Z", "--limit", "5"),
    )
    assert completed.exit_code == ExitCode.OK
    stamp = clock.from_wall_ms(1_700_000_000_000)
    assert node.requests[-1][1] == (
        f"/v1/timeline?since={stamp}&host=orderline-1&event=300&limit=5"
    )


def test_timeline_reports_hosts_with_truncated_events(fleet):
    fleet.add("kitview-1").timeline_entries = [_make_entry("kitview-1", 0)] * 3
    fleet.add("orderline-1").timeline_entries = [_make_entry("orderline-1", 0)]
    completed = fleet.run("timeline", "--limit", "3")
    assert completed.exit_code == ExitCode.OK
    assert (
        "only the newest 3 events were taken from kitview-1;"
        in completed.stderr
    )
    assert "orderline-1" not in completed.stderr


def test_timeline_lowers_limit_for_large_fleet(fleet, monkeypatch):
    monkeypatch.setattr(timeline_command, "MAX_EVENTS", 8)
    node = fleet.add("kitview-1")
    fleet.add("orderline-1")
    fleet.run("timeline")
    assert node.requests[-1][1] == "/v1/timeline?since=0&limit=4"


@pytest.mark.parametrize(
    "option", [("--since", "soon"), ("--event", "nope"), ("--limit", "0")]
)
def test_timeline_with_invalid_filter_exits_with_usage(fleet, option):
    fleet.add("kitview-1")
    assert fleet.run("timeline", *option).exit_code == ExitCode.USAGE


def test_drain_sends_request_to_named_host(fleet):
    fleet.add("kitview-1")
    node = fleet.add("orderline-1")
    completed = fleet.run("drain", "orderline-1")
    assert completed.exit_code == ExitCode.OK
    assert ("POST", "/v1/drain", b"") in node.requests


def test_drain_of_unknown_host_exits_with_not_found(fleet):
    fleet.add("kitview-1")
    assert fleet.run("drain", "kitview-9").exit_code == ExitCode.NOT_FOUND


def test_drain_waits_until_node_has_stopped(fleet):
    fleet.add("kitview-1")
    node = fleet.add("orderline-1")
    node.on_drain = lambda: node.status_overrides.update(incarnation="next")
    completed = fleet.run("drain", "orderline-1", "--wait", "30")
    assert completed.exit_code == ExitCode.OK
    assert "orderline-1: stopped" in completed.output


def test_drain_wait_timeout_exits_with_incomplete(fleet):
    fleet.add("kitview-1")
    completed = fleet.run("drain", "kitview-1", "--wait", "0")
    assert completed.exit_code == ExitCode.INCOMPLETE


def test_malformed_answer_exits_with_failed(fleet):
    node = fleet.add("kitview-1")
    node.status = lambda: {"host_id": 7}
    completed = fleet.run("status")
    assert completed.exit_code == ExitCode.FAILED
    assert "host_id" in completed.output


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_writes_script_for_shell(fleet, shell):
    fleet.add("kitview-1")
    completed = fleet.run("completion", shell)
    assert completed.exit_code == ExitCode.OK
    assert "_BERGAMOTDEAL_COMPLETE" in completed.output
