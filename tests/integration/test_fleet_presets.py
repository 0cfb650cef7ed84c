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
        started.wait_for_store()
        started.start_nodes()
        yield started
        started.assert_epochs_never_decreased()


def test_accepted_switch_reaches_all_nodes_after_store_crash(fleet):
    """Guards against nodes that miss a switch because the store is gone.

    The store dies right after it accepted the switch. A node that was paused
    and one that was restarted in the meantime must learn the epoch from peers.
    """
    hosts = list(fleet.hosts_by_id.values())
    assert fleet.operator("ordinary").switch().epoch == 1
    fleet.wait_for_epoch(1, hosts, timeout_s=fleets.SWITCH_DEADLINE_S)
    fleet.wait_for_store_watches()
    paused, restarted, *others = hosts
    fleet.signal_process(paused.node, signal.SIGSTOP)
    fleet.signal_process(restarted.node, signal.SIGKILL)
    restarted.node.wait()
    assert fleet.operator("peak").switch().epoch == 2
    fleet.kill_store()
    fleet.wait_for_epoch(2, others, timeout_s=fleets.SWITCH_DEADLINE_S)
    fleet.start_node(restarted)
    fleet.signal_process(paused.node, signal.SIGCONT)
    fleet.wait_for_epoch(2, [paused], timeout_s=fleets.SWITCH_DEADLINE_S)
    fleet.wait_for_epoch(2, hosts, timeout_s=clusters.START_TIMEOUT_S)
    fleet.start_store()
    fleet.wait_for_store()
    fleet.wait_for_store_watches()
    for host in hosts:
        assert fleet.status(host)["epoch"] == 2
        assert fleet.status(host)["preset_name"] == "peak"


def test_operator_hands_switch_to_a_node_when_watches_are_muted(fleet):
    hosts = list(fleet.hosts_by_id.values())
    assert fleet.operator("ordinary").switch().epoch == 1
    fleet.wait_for_epoch(1, hosts, timeout_s=fleets.SWITCH_DEADLINE_S)
    fleet.wait_for_store_watches()
    fleet.set_store_behaviour(mute_watches=True)
    outcome = fleet.operator("peak").switch()
    fleet.kill_store()
    status, _ = clusters.send_request(
        hosts[0].address,
        clusters.ADMIN_PORT,
        "PUT",
        "/v1/in-force",
        body=outcome.document,
    )
    assert status == 200
    fleet.wait_for_epoch(2, hosts, timeout_s=fleets.SWITCH_DEADLINE_S)


def test_switch_is_written_once_when_store_answer_is_lost(fleet):
    fleet.set_store_behaviour(lose_writes=1, write_key="in-force")
    outcome = fleet.operator("peak").switch()
    assert isinstance(outcome, switch.Accepted)
    report = fleet.fetch_store_report()
    assert report["writes_by_key"]["in-force"] == 1
    assert report["puts_by_key"]["in-force"] == 1
    repeated = fleet.operator("peak", operation_id=outcome.operation_id)
    assert repeated.switch() == outcome
    assert fleet.fetch_store_report()["writes_by_key"]["in-force"] == 1
    hosts = fleet.hosts_by_id.values()
    fleet.wait_for_epoch(1, hosts, timeout_s=fleets.SWITCH_DEADLINE_S)


def test_racing_switches_accept_one_and_report_conflict(fleet):
    fleet.operator("ordinary").switch()
    fleet.set_store_behaviour(slow_s=0.2)
    operators = [fleet.operator(name) for name in ("peak", "maintenance")]
    for operator in operators:
        operator.start_switch()
    outcomes = [operator.wait_for_outcome() for operator in operators]
    (accepted,) = (o for o in outcomes if isinstance(o, switch.Accepted))
    (conflict,) = (o for o in outcomes if isinstance(o, switch.Conflict))
    name = ("peak", "maintenance")[outcomes.index(accepted)]
    assert conflict.winner.operation_id == accepted.operation_id
    assert conflict.winner.preset_name == name
    assert conflict.winner.operator == f"operator of {name}"
    hosts = fleet.hosts_by_id.values()
    fleet.wait_for_epoch(2, hosts, timeout_s=fleets.SWITCH_DEADLINE_S)
    assert {fleet.status(h)["preset_name"] for h in hosts} == {name}


def test_slow_store_delays_only_acceptance(fleet):
    hosts = fleet.hosts_by_id.values()
    fleet.operator("ordinary").switch()
    fleet.wait_for_epoch(1, hosts, timeout_s=fleets.SWITCH_DEADLINE_S)
    fleet.wait_for_store_watches()
    fleet.set_store_behaviour(slow_s=1.5)
    assert isinstance(fleet.operator("peak").switch(), switch.Accepted)
    fleet.wait_for_epoch(2, hosts, timeout_s=fleets.SWITCH_DEADLINE_S)


def test_store_calls_are_limited_to_watchers(fleet):
    hosts = fleet.hosts_by_id.values()
    fleet.operator("ordinary").switch()
    fleet.wait_for_epoch(1, hosts, timeout_s=fleets.SWITCH_DEADLINE_S)
    fleet.wait_for_store_watches()
    fleet.wait_for_epoch(1, hosts, timeout_s=fleets.SWITCH_DEADLINE_S)
    before = fleet.fetch_store_report()["counts_by_operation"]
    for epoch in range(2, 12):
        fleet.operator(f"preset-{epoch}").switch()
        fleet.wait_for_epoch(epoch, hosts, timeout_s=fleets.SWITCH_DEADLINE_S)
    after = fleet.fetch_store_report()["counts_by_operation"]
    # Ten switches, each seen by two watchers in each of four data centres and
    # read once by the operator. 16 more calls are allowed for late watchers and
    # the roster.
    assert after["watch"] - before["watch"] <= 2 * 4 * 10 + 16
    assert after["get"] - before["get"] <= 10 + 16
