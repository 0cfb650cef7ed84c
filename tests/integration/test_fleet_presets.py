"""Switches of the preset in force over real nodes and a store stand-in."""

import signal

import pytest

from bergamotdeal.presets import switch
from standins import cluster as clusters
from tests.integration import fleet as fleets

SIZE = 12


@pytest.fixture
def fleet(tmp_path):
    with fleets.Fleet(folder=tmp_path, size=SIZE, with_store=True) as started:
        started.start_store()
        started.wait_store()
        started.start_nodes()
        yield started
        started.assert_no_epoch_fell()


def test_accepted_switch_reaches_all_nodes_after_store_crash(fleet):
    """All are in force in time, a restarted and a paused node too."""
    hosts = list(fleet.hosts_by_id.values())
    assert fleet.operator("ordinary").switch().epoch == 1
    fleet.wait_epoch(1, hosts, within_s=fleets.SWITCH_DEADLINE_S)
    fleet.wait_watched()
    paused, restarted, *others = hosts
    fleet.signal(paused.node, signal.SIGSTOP)
    fleet.signal(restarted.node, signal.SIGKILL)
    restarted.node.wait()
    assert fleet.operator("peak").switch().epoch == 2
    fleet.kill_store()
    fleet.wait_epoch(2, others, within_s=fleets.SWITCH_DEADLINE_S)
    fleet.start_node(restarted)
    fleet.signal(paused.node, signal.SIGCONT)
    fleet.wait_epoch(2, [paused], within_s=fleets.SWITCH_DEADLINE_S)
    fleet.wait_epoch(2, hosts, within_s=clusters.START_TIMEOUT_S)
    fleet.start_store()
    fleet.wait_store()
    fleet.wait_watched()
    for host in hosts:
        assert fleet.status(host)["epoch"] == 2
        assert fleet.status(host)["preset_name"] == "peak"


def test_operator_hands_switch_to_a_node_when_watches_are_muted(fleet):
    hosts = list(fleet.hosts_by_id.values())
    assert fleet.operator("ordinary").switch().epoch == 1
    fleet.wait_epoch(1, hosts, within_s=fleets.SWITCH_DEADLINE_S)
    fleet.wait_watched()
    fleet.control_store(mute_watches=True)
    outcome = fleet.operator("peak").switch()
    fleet.kill_store()
    status, _ = clusters.request(
        hosts[0].address,
        clusters.ADMIN_PORT,
        "PUT",
        "/v1/in-force",
        body=outcome.document,
    )
    assert status == 200
    fleet.wait_epoch(2, hosts, within_s=fleets.SWITCH_DEADLINE_S)


def test_switch_is_written_once_when_store_answer_is_lost(fleet):
    fleet.control_store(lose_writes=1, write_key="in-force")
    outcome = fleet.operator("peak").switch()
    assert isinstance(outcome, switch.Accepted)
    report = fleet.store_report()
    assert report["writes_by_key"]["in-force"] == 1
    assert report["puts_by_key"]["in-force"] == 1
    again = fleet.operator("peak", operation_id=outcome.operation_id)
    assert again.switch() == outcome
    assert fleet.store_report()["writes_by_key"]["in-force"] == 1
    hosts = fleet.hosts_by_id.values()
    fleet.wait_epoch(1, hosts, within_s=fleets.SWITCH_DEADLINE_S)


def test_racing_switches_accept_one_and_report_conflict(fleet):
    fleet.operator("ordinary").switch()
    fleet.control_store(slow_s=0.2)
    racers = [fleet.operator(name) for name in ("peak", "maintenance")]
    for racer in racers:
        racer.begin()
    outcomes = [racer.finish() for racer in racers]
    (won,) = (o for o in outcomes if isinstance(o, switch.Accepted))
    (lost,) = (o for o in outcomes if isinstance(o, switch.Conflict))
    name = ("peak", "maintenance")[outcomes.index(won)]
    assert lost.winner.operation_id == won.operation_id
    assert lost.winner.preset_name == name
    assert lost.winner.operator == f"operator of {name}"
    hosts = fleet.hosts_by_id.values()
    fleet.wait_epoch(2, hosts, within_s=fleets.SWITCH_DEADLINE_S)
    assert {fleet.status(h)["preset_name"] for h in hosts} == {name}


def test_slow_store_delays_only_acceptance(fleet):
    hosts = fleet.hosts_by_id.values()
    fleet.operator("ordinary").switch()
    fleet.wait_epoch(1, hosts, within_s=fleets.SWITCH_DEADLINE_S)
    fleet.wait_watched()
    fleet.control_store(slow_s=1.5)
    assert isinstance(fleet.operator("peak").switch(), switch.Accepted)
    fleet.wait_epoch(2, hosts, within_s=fleets.SWITCH_DEADLINE_S)


def test_store_calls_are_limited_to_watchers(fleet):
    hosts = fleet.hosts_by_id.values()
    fleet.operator("ordinary").switch()
    fleet.wait_epoch(1, hosts, within_s=fleets.SWITCH_DEADLINE_S)
    fleet.wait_watched()
    fleet.wait_epoch(1, hosts, within_s=fleets.SWITCH_DEADLINE_S)
    before = fleet.store_report()["counts_by_operation"]
    for epoch in range(2, 12):
        fleet.operator(f"preset-{epoch}").switch()
        fleet.wait_epoch(epoch, hosts, within_s=fleets.SWITCH_DEADLINE_S)
    after = fleet.store_report()["counts_by_operation"]
    # Two watchers in each of four data centres, ten switches; the operator
    # reads once a switch, and a late watcher or the roster adds a few calls.
    assert after["watch"] - before["watch"] <= 2 * 4 * 10 + 16
    assert after["get"] - before["get"] <= 10 + 16
