"""Tests of the gossip protocol in simulated fleets under an injected clock."""

import msgspec
import pytest

from bergamotdeal.membership import core
from bergamotdeal.membership import knowledge
from bergamotdeal.membership import messages
from bergamotdeal.membership import rumours
from bergamotdeal.membership import suspicion
from bergamotdeal.membership import timing as timings
from bergamotdeal.telemetry import catalogue
from standins import gossip_fleet as fleets

State = core.MemberState
SEEDS = [1, 2, 3]


def make_joined_fleet(seed: int, size: int = 12, **options) -> fleets.Fleet:
    fleet = fleets.Fleet(seed=seed, size=size, **options)
    fleet.run_until(fleet.is_converged, within_s=10)
    return fleet


@pytest.mark.parametrize("seed", SEEDS)
def test_join_through_one_seed_completes_all_views(seed):
    fleet = fleets.Fleet(seed=seed, size=12)
    assert fleet.run_until(fleet.is_converged, within_s=10) < 3


@pytest.mark.parametrize("seed", SEEDS)
def test_announced_server_reaches_all_members_within_three_seconds(seed):
    fleet = make_joined_fleet(seed)
    server = core.Server(service="kitview", slots=50, connections=400)
    fleet.send_event("host-3", messages.ServerChanged(server=server))

    def is_known() -> bool:
        return all(
            node.members_by_id()["host-3"].server == server
            for node in fleet.cores_by_id.values()
        )

    assert fleet.run_until(is_known, within_s=5) < 3


# Guards against a server that is back at once but refused everywhere until the
# next gossip round, since the news that it stopped has just been sent.
@pytest.mark.parametrize("seed", SEEDS)
def test_change_soon_after_another_is_sent_at_once(seed):
    fleet = make_joined_fleet(seed, size=2)
    server = core.Server(service="kitview", slots=50, connections=400)
    fleet.send_event("host-1", messages.ServerChanged(server=server))
    fleet.run(5)
    fleet.send_event("host-1", messages.ServerChanged(server=None))
    fleet.run(0.002)
    fleet.send_event("host-1", messages.ServerChanged(server=server))
    (other,) = (
        node for host, node in fleet.cores_by_id.items() if host != "host-1"
    )
    state_number = fleet.cores_by_id["host-1"].own_record.state_number

    def is_known() -> bool:
        record = other.members_by_id()["host-1"]
        return record.state_number == state_number

    known_s = fleet.run_until(is_known, within_s=5)
    assert known_s < timings.DEFAULT_TIMING.gossip_interval_s / 4


@pytest.mark.parametrize("seed", SEEDS)
def test_drain_reaches_all_members_within_three_seconds(seed):
    fleet = make_joined_fleet(seed)
    fleet.send_event("host-3", messages.NodeDraining())
    drained = fleet.run_until(
        lambda: fleet.all_agree("host-3", State.DRAINING), within_s=5
    )
    assert drained < 3
    fleet.run(30)
    assert fleet.all_agree("host-3", State.DRAINING)


@pytest.mark.parametrize("seed", SEEDS)
def test_stopped_node_becomes_suspect_then_dead_then_removed(seed):
    bounds = suspicion.Bounds(dead_retention_s=30.0)
    timing = timings.Timing(bounds=bounds)
    fleet = make_joined_fleet(seed, timing=timing)
    fleet.stopped.add("host-3")

    def is_avoided() -> bool:
        states = {fleet.state(viewer, "host-3") for viewer in fleet.running()}
        return states <= {State.SUSPECT, State.DEAD}

    assert fleet.run_until(is_avoided, within_s=10) < 6
    fleet.run_until(lambda: fleet.all_agree("host-3", State.DEAD), within_s=20)
    fleet.run_until(lambda: fleet.all_agree("host-3", None), within_s=60)


@pytest.mark.parametrize("seed", SEEDS)
def test_leave_marks_member_dead_without_suspicion(seed):
    fleet = make_joined_fleet(seed)
    fleet.send_event("host-3", messages.LeaveRequested())
    fleet.stopped.add("host-3")
    dead = fleet.run_until(
        lambda: fleet.all_agree("host-3", State.DEAD), within_s=5
    )
    assert dead < 3


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("state_number", [1, 1000])
def test_restarted_node_replaces_its_old_incarnation(seed, state_number):
    """A wall clock that was set back gives a lower first state number.

    The restarted node has to raise it above that of the old incarnation.
    """
    fleet = make_joined_fleet(seed)
    fleet.send_event("host-3", messages.NodeDraining())
    fleet.run(3)
    fleet.stopped.add("host-3")
    fleet.run(1)
    fleet.add_node("host-3", incarnation="b", state_number=state_number - 1)

    def is_replaced() -> bool:
        return all(
            node.members_by_id()["host-3"].incarnation == "host-3-b"
            for node in fleet.cores_by_id.values()
        )

    fleet.run_until(is_replaced, within_s=10)
    assert fleet.is_converged()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("leaves", [True, False])
def test_restarted_node_without_seeds_rejoins(seed, leaves):
    """Without seeds and registry, other members have to contact the node."""
    fleet = make_joined_fleet(seed)
    if leaves:
        fleet.send_event("host-3", messages.LeaveRequested())
    fleet.stopped.add("host-3")
    fleet.run(8)
    fleet.add_node("host-3", incarnation="b", state_number=10**6, seeds=())
    assert fleet.run_until(fleet.is_converged, within_s=10) < 4


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("pause_s", [3.0, 20.0])
def test_paused_node_marks_no_member_dead_after_resume(seed, pause_s):
    fleet = make_joined_fleet(seed)
    fleet.pause("host-3")
    fleet.run(pause_s)
    fleet.resume("host-3")
    for host_id in fleet.running():
        if host_id != "host-3":
            assert fleet.state("host-3", host_id) is not State.DEAD
    fleet.run_until(fleet.is_converged, within_s=20)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_way_packet_loss_between_two_nodes_evicts_neither(seed):
    fleet = make_joined_fleet(seed)
    fleet.is_reachable = lambda source, target: (
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
def test_node_without_incoming_datagrams_freezes_eviction(seed):
    fleet = make_joined_fleet(seed, size=20)
    fleet.is_reachable = lambda source, target: target != "host-3"
    fleet.run(60)
    states = [
        fleet.state("host-3", host_id)
        for host_id in fleet.running()
        if host_id != "host-3"
    ]
    assert states.count(State.DEAD) <= 1
    assert fleet.cores_by_id["host-3"].is_eviction_frozen
    fleet.is_reachable = lambda source, target: True
    fleet.run_until(fleet.is_converged, within_s=60)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_partitioned_halves_merge_after_healing(seed):
    fleet = make_joined_fleet(seed, size=16)
    side_by_id = {h: int(h.split("-")[1]) % 2 for h in fleet.cores_by_id}
    fleet.is_reachable = lambda a, b: side_by_id[a] == side_by_id[b]
    fleet.run(660)
    for viewer in fleet.running():
        assert len(fleet.cores_by_id[viewer].members_by_id()) == 16
    fleet.is_reachable = lambda source, target: True
    fleet.run_until(fleet.is_converged, within_s=120)


@pytest.mark.parametrize("seed", SEEDS)
def test_partitioned_minority_merges_after_its_removal(seed):
    bounds = suspicion.Bounds(dead_retention_s=20.0)
    fleet = make_joined_fleet(seed, timing=timings.Timing(bounds=bounds))
    minority = {"host-3", "host-4", "host-5"}
    fleet.is_reachable = lambda a, b: (a in minority) == (b in minority)
    fleet.run(120)
    fleet.is_reachable = lambda source, target: True
    fleet.run_until(fleet.is_converged, within_s=120)


@pytest.mark.parametrize("seed", SEEDS)
def test_twenty_percent_datagram_loss_evicts_no_member(seed):
    fleet = make_joined_fleet(seed)
    fleet.is_reachable = lambda source, target: fleet.rng.random() > 0.2
    for _ in range(60):
        fleet.run(1)
        for host_id in fleet.running():
            assert not fleet.all_agree(host_id, State.DEAD)
    fleet.is_reachable = lambda source, target: True
    fleet.run_until(fleet.is_converged, within_s=30)


def test_crash_report_is_received_once_by_each_node():
    fleet = make_joined_fleet(1)
    report = core.CrashReport(fingerprint="f", host_id="host-3", death_id="d")
    fleet.send_event("host-3", messages.CrashReportsCreated(reports=(report,)))
    fleet.run(30)
    for host_id, heard in fleet.effects_by_id.items():
        received = [
            tuple(msgspec.structs.replace(r, age_s=0.0) for r in effect.reports)
            for effect in heard
            if isinstance(effect, messages.CrashReportsReceived)
        ]
        wanted = [] if host_id == "host-3" else [(report,)]
        assert received == wanted


def test_epoch_reaches_all_members_within_three_seconds():
    fleet = make_joined_fleet(1, size=40)
    fleet.send_event("host-3", messages.EpochChanged(epoch=7))
    holders = {"host-3"}

    def is_known_to_all() -> bool:
        for host_id, heard in fleet.effects_by_id.items():
            for effect in heard:
                if isinstance(effect, messages.EpochAdvertised):
                    assert effect.epoch == 7
                    assert effect.host_id in holders
                    holders.add(host_id)
                    fleet.send_event(host_id, messages.EpochChanged(epoch=7))
            heard.clear()
        return len(holders) == 40

    assert fleet.run_until(is_known_to_all, within_s=5) < 3


def test_replayed_datagrams_change_no_state():
    fleet = make_joined_fleet(1)
    recorded = []
    fleet.is_reachable = lambda source, target: True
    send_event = fleet.send_event

    def record_datagram(host_id, event):
        if isinstance(event, messages.DatagramArrived):
            recorded.append((host_id, event))
        send_event(host_id, event)

    fleet.send_event = record_datagram
    fleet.send_event("host-3", messages.NodeDraining())
    fleet.run(20)
    fleet.send_event = send_event
    fleet.send_event("host-4", messages.LeaveRequested())
    fleet.stopped.add("host-4")
    fleet.run(5)
    for host_id, event in recorded:
        fleet.send_event(host_id, event)
    fleet.run(5)
    assert fleet.all_agree("host-3", State.DRAINING)
    assert fleet.all_agree("host-4", State.DEAD)


def test_steady_state_bytes_do_not_grow_with_fleet_size():
    """Counts the datagram bytes of a minute without changes or syncs."""
    rates = []
    for size in (10, 40):
        fleet = make_joined_fleet(1, size=size)
        fleet.run(30)
        before = dict(fleet.bytes_by_id)
        fleet.run(60)
        sent = [fleet.bytes_by_id[h] - before[h] for h in before]
        rates.append(sum(sent) / len(sent) / 60)
    assert rates[1] < 1.2 * rates[0]
    assert rates[1] < 2_000


def test_joining_node_with_dead_first_seed_learns_all_members():
    fleet = make_joined_fleet(1, size=25)
    fleet.stopped.add("host-0")
    fleet.add_node("newcomer", seeds=("host-0", "host-1"))
    known = fleet.run_until(
        lambda: len(fleet.cores_by_id["newcomer"].members_by_id()) == 26,
        within_s=10,
    )
    assert known < 3


def test_duplicate_host_id_is_refuted_at_a_bounded_rate():
    fleet = make_joined_fleet(1, size=8)
    duplicate = fleet.cores_by_id["host-7"].own_record
    duplicate = msgspec.structs.replace(
        duplicate, incarnation="twin", address="twin"
    )
    source = messages.Endpoint(address="twin", port=1)
    raise_count = 0
    for _ in range(60):
        fleet.run(1)
        own = fleet.cores_by_id["host-7"].own_record
        if duplicate.state_number <= own.state_number:
            raised = own.state_number + 1
            duplicate = msgspec.structs.replace(duplicate, state_number=raised)
            raise_count += 1
        datagram = messages.Datagram(
            sender=duplicate, epoch=0, body=messages.EmptyBody()
        )
        arrived = messages.DatagramArrived(datagram=datagram, source=source)
        fleet.send_event("host-0", arrived)
    assert 2 <= raise_count <= 60 / knowledge.HOST_ID_CONFLICT_INTERVAL_S + 2
    recorded_events = [
        effect
        for effect in fleet.effects_by_id["host-7"]
        if isinstance(effect, messages.EmitEvent)
        and effect.code is catalogue.EventCode.PEER_REJECTED
    ]
    assert recorded_events[0].fields["address"] == "twin:1"


def test_partitioned_data_centre_merges_after_healing():
    """A third of the fleet is partitioned from the rest for ten minutes."""
    fleet = make_joined_fleet(1, size=14)
    partitioned = {f"host-{number}" for number in range(5)}
    fleet.is_reachable = lambda a, b: (a in partitioned) == (b in partitioned)
    fleet.run(600)
    for viewer in fleet.running():
        side = (
            partitioned
            if viewer in partitioned
            else set(fleet.running()) - partitioned
        )
        assert all(
            fleet.state(viewer, host_id) is State.ALIVE
            for host_id in side
            if host_id != viewer
        )
    fleet.is_reachable = lambda *_: True
    fleet.run_until(fleet.is_converged, within_s=60)


def test_rumours_reach_all_members_without_anti_entropy():
    """Fifty changes in a row; one that only a sync delivers takes longer."""
    fleet = make_joined_fleet(1, size=25)
    for number in range(50):
        host_id = f"host-{number % 25}"
        server = core.Server(service=f"s-{number}", slots=1, connections=1)
        fleet.send_event(host_id, messages.ServerChanged(server=server))

        def is_known(host_id=host_id, server=server) -> bool:
            return all(
                node.members_by_id()[host_id].server == server
                for node in fleet.cores_by_id.values()
            )

        assert fleet.run_until(is_known, within_s=30) < 3


def test_joining_node_does_not_forward_the_whole_fleet():
    """All members know the entries that are new to the joining node.

    It must not queue them as rumours.
    """
    fleet = make_joined_fleet(1, size=80)
    fleet.run(30)
    fleet.add_node("newcomer")
    fleet.run_until(fleet.is_converged, within_s=10)
    before = fleet.bytes_by_id["newcomer"]
    fleet.run(10)
    assert (fleet.bytes_by_id["newcomer"] - before) / 10 < 2_000


def test_gossip_bytes_stay_bounded_while_all_records_change():
    fleet = make_joined_fleet(1, size=40)
    before = dict(fleet.bytes_by_id)
    for second in range(30):
        for host_id in fleet.running():
            server = core.Server(service="kitview", slots=second, connections=1)
            fleet.send_event(host_id, messages.ServerChanged(server=server))
        fleet.run(1)
    for host_id, sent in before.items():
        assert (fleet.bytes_by_id[host_id] - sent) / 30 < 19_000


def test_stale_rumour_does_not_replace_own_record():
    fleet = make_joined_fleet(1, size=3)
    own = fleet.cores_by_id["host-1"].own_record
    stale = msgspec.structs.replace(own, state_number=0, address="elsewhere")
    datagram = messages.Datagram(
        sender=fleet.cores_by_id["host-0"].own_record,
        epoch=0,
        body=messages.EmptyBody(),
        rumours=(messages.RecordRumour(member=stale),),
    )
    source = messages.Endpoint(address="host-0", port=1)
    fleet.send_event(
        "host-1", messages.DatagramArrived(datagram=datagram, source=source)
    )
    assert fleet.cores_by_id["host-1"].own_record == own


def test_start_and_announcement_of_all_nodes_stay_mostly_in_data_centres():
    """Start of a whole fleet: every record changes at the same time.

    All nodes join, and then announce their servers. Each record of about 200
    bytes has to reach each data centre, but not each node from another one.
    """
    fleet = fleets.Fleet(
        size=0,
        data_centres=("odori", "kotoni", "makomanai", "teine", "hassamu"),
    )
    for index in range(60):
        seeds = (f"host-{max(0, index - 5)}", "host-0")
        fleet.add_node(f"host-{index}", seeds=seeds)
    fleet.run_until(fleet.is_converged, within_s=10)
    server = core.Server(service="kitview", slots=50, connections=400)
    for host_id in fleet.cores_by_id:
        fleet.send_event(host_id, messages.ServerChanged(server=server))
    fleet.run_until(
        lambda: all(
            member.server
            for node in fleet.cores_by_id.values()
            for member in node.members_by_id().values()
        ),
        within_s=20,
    )
    fleet.run(10)
    assert fleet.remote_bytes < 0.25 * sum(fleet.bytes_by_id.values())


def test_rumour_that_others_repeat_is_sent_less_often():
    queue = rumours.RumourQueue()
    rumour = knowledge.make_verdict(
        make_joined_fleet(1, size=2).cores_by_id["host-0"].own_record,
        messages.Health.SUSPECT,
    )
    queue.add(rumour)
    for _ in range(rumours.compute_transmission_limit(100)):
        queue.record_duplicate(rumour)
    assert queue.take(max_bytes=1000, fleet_size=100) == ()
    assert len(queue) == 0
