"""The gossip core under an injected clock, in whole fleets."""

import dataclasses

import pytest

from bergamotdeal.membership import core
from bergamotdeal.membership import gossip
from bergamotdeal.membership import knowledge
from bergamotdeal.membership import messages
from bergamotdeal.membership import suspicion
from bergamotdeal.telemetry import catalogue
from standins import gossip_fleet as fleets

State = core.MemberState
SEEDS = [1, 2, 3]


def joined(seed: int, size: int = 12, **options) -> fleets.Fleet:
    fleet = fleets.Fleet(seed=seed, size=size, **options)
    fleet.run_until(fleet.complete, within_s=10)
    return fleet


@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_find_each_other_through_one_seed(seed):
    fleet = fleets.Fleet(seed=seed, size=12)
    assert fleet.run_until(fleet.complete, within_s=10) < 3


@pytest.mark.parametrize("seed", SEEDS)
def test_announced_server_reaches_everyone(seed):
    fleet = joined(seed)
    server = core.Server(service="kitview", slots=50, connections=400)
    fleet.tell("host-3", messages.ServerChanged(server=server))

    def known() -> bool:
        return all(
            node.members_by_id()["host-3"].server == server
            for node in fleet.cores_by_id.values()
        )

    assert fleet.run_until(known, within_s=5) < 3


@pytest.mark.parametrize("seed", SEEDS)
def test_drain_reaches_everyone_within_three_seconds(seed):
    fleet = joined(seed)
    fleet.tell("host-3", messages.NodeDraining())
    drained = fleet.run_until(
        lambda: fleet.agree("host-3", State.DRAINING), within_s=5
    )
    assert drained < 3
    fleet.run(30)
    assert fleet.agree("host-3", State.DRAINING)


@pytest.mark.parametrize("seed", SEEDS)
def test_stopped_node_is_avoided_then_evicted_then_forgotten(seed):
    bounds = suspicion.Bounds(forget_s=30.0)
    timing = gossip.Timing(bounds=bounds)
    fleet = joined(seed, timing=timing)
    fleet.stopped.add("host-3")

    def avoided() -> bool:
        states = {fleet.state(viewer, "host-3") for viewer in fleet.running()}
        return states <= {State.SUSPECT, State.DEAD}

    assert fleet.run_until(avoided, within_s=10) < 6
    fleet.run_until(lambda: fleet.agree("host-3", State.DEAD), within_s=20)
    fleet.run_until(lambda: fleet.agree("host-3", None), within_s=60)


@pytest.mark.parametrize("seed", SEEDS)
def test_planned_stop_is_known_without_suspicion(seed):
    fleet = joined(seed)
    fleet.tell("host-3", messages.LeaveRequested())
    fleet.stopped.add("host-3")
    dead = fleet.run_until(
        lambda: fleet.agree("host-3", State.DEAD), within_s=5
    )
    assert dead < 3


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("state_number", [1, 1000])
def test_restart_replaces_the_old_incarnation(seed, state_number):
    """A clock set back gives a lower number; the node raises it."""
    fleet = joined(seed)
    fleet.tell("host-3", messages.NodeDraining())
    fleet.run(3)
    fleet.stopped.add("host-3")
    fleet.run(1)
    fleet.add("host-3", incarnation="b", state_number=state_number - 1)

    def replaced() -> bool:
        return all(
            node.members_by_id()["host-3"].incarnation == "host-3-b"
            for node in fleet.cores_by_id.values()
        )

    fleet.run_until(replaced, within_s=10)
    assert fleet.complete()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("leaves", [True, False])
def test_node_that_comes_back_knowing_nobody_is_found(seed, leaves):
    """It has no seeds, and the store is down."""
    fleet = joined(seed)
    if leaves:
        fleet.tell("host-3", messages.LeaveRequested())
    fleet.stopped.add("host-3")
    fleet.run(8)
    fleet.add("host-3", incarnation="b", state_number=10**6, seeds=())
    assert fleet.run_until(fleet.complete, within_s=10) < 4


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("pause_s", [3.0, 20.0])
def test_paused_node_comes_back_and_accuses_nobody(seed, pause_s):
    fleet = joined(seed)
    fleet.pause("host-3")
    fleet.run(pause_s)
    fleet.resume("host-3")
    for host_id in fleet.running():
        if host_id != "host-3":
            assert fleet.state("host-3", host_id) is not State.DEAD
    fleet.run_until(fleet.complete, within_s=20)


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_direction_between_two_nodes_costs_neither(seed):
    fleet = joined(seed)
    fleet.passes = lambda source, target: (
        (source, target)
        != (
            "host-3",
            "host-4",
        )
    )
    for _ in range(60):
        fleet.run(1)
        assert fleet.state("host-4", "host-3") is not State.DEAD
        assert fleet.state("host-3", "host-4") is not State.DEAD


@pytest.mark.parametrize("seed", SEEDS)
def test_node_that_hears_nothing_evicts_nobody(seed):
    fleet = joined(seed, size=20)
    fleet.passes = lambda source, target: target != "host-3"
    fleet.run(60)
    states = [
        fleet.state("host-3", host_id)
        for host_id in fleet.running()
        if host_id != "host-3"
    ]
    assert states.count(State.DEAD) <= 1
    assert fleet.cores_by_id["host-3"].is_eviction_frozen
    fleet.passes = lambda source, target: True
    fleet.run_until(fleet.complete, within_s=60)


@pytest.mark.parametrize("seed", SEEDS)
def test_halves_cut_apart_meet_again(seed):
    fleet = joined(seed, size=16)
    side_by_id = {h: int(h.split("-")[1]) % 2 for h in fleet.cores_by_id}
    fleet.passes = lambda a, b: side_by_id[a] == side_by_id[b]
    fleet.run(660)
    for viewer in fleet.running():
        assert len(fleet.cores_by_id[viewer].members_by_id()) == 16
    fleet.passes = lambda source, target: True
    fleet.run_until(fleet.complete, within_s=120)


@pytest.mark.parametrize("seed", SEEDS)
def test_lone_third_meets_again_after_being_forgotten(seed):
    bounds = suspicion.Bounds(forget_s=20.0)
    fleet = joined(seed, timing=gossip.Timing(bounds=bounds))
    alone = {"host-3", "host-4", "host-5"}
    fleet.passes = lambda a, b: (a in alone) == (b in alone)
    fleet.run(120)
    fleet.passes = lambda source, target: True
    fleet.run_until(fleet.complete, within_s=120)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_lost_datagram_in_five_costs_nobody(seed):
    fleet = joined(seed)
    fleet.passes = lambda source, target: fleet.rng.random() > 0.2
    for _ in range(60):
        fleet.run(1)
        for host_id in fleet.running():
            assert not fleet.agree(host_id, State.DEAD)
    fleet.passes = lambda source, target: True
    fleet.run_until(fleet.complete, within_s=30)


def test_crash_report_is_heard_once_by_each():
    fleet = joined(1)
    report = core.CrashReport(fingerprint="f", host_id="host-3", death_id="d")
    fleet.tell("host-3", messages.CrashReportsCreated(reports=(report,)))
    fleet.run(30)
    for host_id, heard in fleet.heard_by_id.items():
        crashes = [
            e for e in heard if isinstance(e, messages.CrashReportsReceived)
        ]
        wanted = [] if host_id == "host-3" else [(report,)]
        assert [e.reports for e in crashes] == wanted


def test_epoch_reaches_everyone_by_rumour():
    fleet = joined(1, size=40)
    fleet.tell("host-3", messages.EpochChanged(epoch=7))
    holders = {"host-3"}

    def all_hold() -> bool:
        for host_id, heard in fleet.heard_by_id.items():
            for effect in heard:
                if isinstance(effect, messages.EpochAdvertised):
                    assert effect.epoch == 7
                    assert effect.host_id in holders
                    holders.add(host_id)
                    fleet.tell(host_id, messages.EpochChanged(epoch=7))
            heard.clear()
        return len(holders) == 40

    assert fleet.run_until(all_hold, within_s=5) < 3


def test_replayed_datagrams_change_nothing():
    fleet = joined(1)
    old = []
    fleet.passes = lambda source, target: True
    tell = fleet.tell

    def keep(host_id, event):
        if isinstance(event, messages.DatagramArrived):
            old.append((host_id, event))
        tell(host_id, event)

    fleet.tell = keep
    fleet.tell("host-3", messages.NodeDraining())
    fleet.run(20)
    fleet.tell = tell
    fleet.tell("host-4", messages.LeaveRequested())
    fleet.stopped.add("host-4")
    fleet.run(5)
    for host_id, event in old:
        fleet.tell(host_id, event)
    fleet.run(5)
    assert fleet.agree("host-3", State.DRAINING)
    assert fleet.agree("host-4", State.DEAD)


def test_steady_state_costs_the_same_in_a_larger_fleet():
    """Bytes of each node in a quiet minute, without anti-entropy."""
    rates = []
    for size in (10, 40):
        fleet = joined(1, size=size)
        fleet.run(30)
        before = dict(fleet.bytes_by_id)
        fleet.run(60)
        sent = [fleet.bytes_by_id[h] - before[h] for h in before]
        rates.append(sum(sent) / len(sent) / 60)
    assert rates[1] < 1.2 * rates[0]
    assert rates[1] < 2_000


def test_newcomer_whose_first_seed_is_dead_learns_the_fleet():
    fleet = joined(1, size=25)
    fleet.stopped.add("host-0")
    fleet.add("newcomer", seeds=("host-0", "host-1"))
    known = fleet.run_until(
        lambda: len(fleet.cores_by_id["newcomer"].members_by_id()) == 26,
        within_s=10,
    )
    assert known < 3


def test_two_processes_with_one_host_id_cost_little():
    fleet = joined(1, size=8)
    twin = fleet.cores_by_id["host-7"].own_record
    twin = dataclasses.replace(twin, incarnation="twin", address="twin")
    source = messages.Endpoint(address="twin", port=1)
    raises = 0
    for _ in range(60):
        fleet.run(1)
        own = fleet.cores_by_id["host-7"].own_record
        if twin.state_number <= own.state_number:
            raised = own.state_number + 1
            twin = dataclasses.replace(twin, state_number=raised)
            raises += 1
        datagram = messages.Datagram(
            sender=twin, epoch=0, body=messages.EmptyBody()
        )
        arrived = messages.DatagramArrived(datagram=datagram, source=source)
        fleet.tell("host-0", arrived)
    assert 2 <= raises <= 60 / knowledge.DISPUTE_INTERVAL_S + 2
    notes = [
        effect
        for effect in fleet.heard_by_id["host-7"]
        if isinstance(effect, messages.RecordEvent)
        and effect.code is catalogue.EventCode.PEER_REJECTED
    ]
    assert notes[0].fields["address"] == "twin:1"


def test_data_centre_cut_off_meets_the_others_again():
    """A third of the fleet, as one of three data centres, for ten minutes."""
    fleet = joined(1, size=14)
    away = {f"host-{number}" for number in range(5)}
    fleet.passes = lambda a, b: (a in away) == (b in away)
    fleet.run(600)
    for viewer in fleet.running():
        side = away if viewer in away else set(fleet.running()) - away
        assert all(
            fleet.state(viewer, host_id) is State.ALIVE
            for host_id in side
            if host_id != viewer
        )
    fleet.passes = lambda *_: True
    fleet.run_until(fleet.complete, within_s=60)


def test_rumours_miss_hardly_anyone():
    """Fifty changes in a row; none waits for a comparison of views."""
    fleet = joined(1, size=25)
    for number in range(50):
        host_id = f"host-{number % 25}"
        server = core.Server(service=f"s-{number}", slots=1, connections=1)
        fleet.tell(host_id, messages.ServerChanged(server=server))

        def known(host_id=host_id, server=server) -> bool:
            return all(
                node.members_by_id()[host_id].server == server
                for node in fleet.cores_by_id.values()
            )

        assert fleet.run_until(known, within_s=30) < 3


def test_newcomer_does_not_repeat_the_whole_fleet():
    """Old members are news to it alone, and it must not pass them on."""
    fleet = joined(1, size=80)
    fleet.run(30)
    fleet.add("newcomer")
    fleet.run_until(fleet.complete, within_s=10)
    before = fleet.bytes_by_id["newcomer"]
    fleet.run(10)
    assert (fleet.bytes_by_id["newcomer"] - before) / 10 < 2_000


def test_bytes_stay_bounded_while_everything_changes():
    fleet = joined(1, size=40)
    before = dict(fleet.bytes_by_id)
    for second in range(30):
        for host_id in fleet.running():
            server = core.Server(service="kitview", slots=second, connections=1)
            fleet.tell(host_id, messages.ServerChanged(server=server))
        fleet.run(1)
    for host_id, sent in before.items():
        assert (fleet.bytes_by_id[host_id] - sent) / 30 < 19_000


def test_own_record_never_goes_back():
    fleet = joined(1, size=3)
    own = fleet.cores_by_id["host-1"].own_record
    stale = dataclasses.replace(own, state_number=0, address="elsewhere")
    datagram = messages.Datagram(
        sender=fleet.cores_by_id["host-0"].own_record,
        epoch=0,
        body=messages.EmptyBody(),
        rumours=(messages.RecordRumour(member=stale),),
    )
    source = messages.Endpoint(address="host-0", port=1)
    fleet.tell(
        "host-1", messages.DatagramArrived(datagram=datagram, source=source)
    )
    assert fleet.cores_by_id["host-1"].own_record == own
