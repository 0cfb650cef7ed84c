"""Tests of the choice of a server."""

import collections
import heapq
import random

from bergamotdeal.calls import core as calls
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.routing import router


def _member(
    host_id, *, state=membership.MemberState.ALIVE, dc="odori", region="north"
):
    server = membership.Server(service="forecaster", slots=10, connections=100)
    return membership.Member(
        host_id=host_id,
        incarnation="1",
        state=state,
        data_centre=dc,
        region=region,
        address="127.0.0.1",
        peer_port=1,
        server=server,
    )


def _router(*members, **changes):
    arguments = {
        "policy": model.RoutingPolicy(),
        "host_id": "me",
        "data_centre": "odori",
        "region": "north",
        "rng": random.Random(1),
    }
    target = router.Router(**(arguments | changes))
    target.update_members({member.host_id: member for member in members})
    return target


def _picks(target, count=1000, now=0.0):
    return collections.Counter(
        target.select_server("forecaster", exclude=frozenset(), now=now)
        for _ in range(count)
    )


def test_leaving_and_dead_members_are_never_chosen():
    target = _router(
        _member("a"),
        _member("b", state=membership.MemberState.DRAINING),
        _member("c", state=membership.MemberState.DEAD),
        _member("d", state=membership.MemberState.SUSPECT),
    )
    assert set(_picks(target)) == {"a"}


def test_a_suspect_is_chosen_when_nothing_else_is_left():
    target = _router(_member("a", state=membership.MemberState.SUSPECT))
    assert set(_picks(target)) == {"a"}
    none_left = target.select_server(
        "forecaster", exclude=frozenset("a"), now=0.0
    )
    assert none_left is None


def test_calls_stay_near_until_the_near_servers_fill():
    target = _router(_member("near"), _member("far", dc="kotoni"))
    assert set(_picks(target, now=0.0)) == {"near"}
    for _ in range(20):
        target.record_call_start("near", 0.0)
    assert _picks(target)["far"] > 0


def test_the_less_loaded_server_is_chosen():
    target = _router(_member("a"), _member("b"))
    for _ in range(5):
        target.record_call_start("a", 0.0)
    picks = _picks(target)
    assert picks["b"] > 2 * picks["a"] > 0


def test_every_node_chooses_the_same_server_by_hash():
    members = [_member(name) for name in "abcde"]
    first = _router(*members)
    second = _router(*reversed(members), host_id="other")
    for number in range(100):
        chosen = first.select_server_by_hash(
            "forecaster", f"r{number}", exclude=frozenset()
        )
        assert chosen == second.select_server_by_hash(
            "forecaster", f"r{number}", exclude=frozenset()
        )


def test_a_failing_server_gets_fewer_picks_but_some():
    target = _router(*[_member(name) for name in "abcd"])
    for name in "abcd":
        for _ in range(50):
            target.record_call_start(name, 0.0)
            target.record_call_end(
                name,
                latency_s=0.01,
                succeeded=name != "a",
                load=calls.Load(running=0, queued=0, limit=10),
                now=0.0,
            )
    picks = _picks(target, count=4000, now=5.0)
    assert 0 < picks["a"] < 300


def _answer(target, host_id, now, *, latency_s=0.01, **changes):
    load = calls.Load(running=0, queued=0, limit=10)
    arguments = {"succeeded": True, "load": load} | changes
    target.record_call_end(host_id, latency_s=latency_s, now=now, **arguments)


def _simulate(target, latency_by_host, *, rate, seconds, load_by_host=None):
    """Sends calls at a rate; returns picks and the most calls in flight."""
    rng = random.Random(2)
    picks = collections.Counter()
    in_flight = collections.Counter()
    peak = collections.Counter()
    ends = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            ended, host_id = heapq.heappop(ends)
            in_flight[host_id] -= 1
            reported = (load_by_host or {}).get(host_id, in_flight[host_id])
            _answer(
                target,
                host_id,
                ended,
                latency_s=latency_by_host[host_id],
                load=calls.Load(running=reported, queued=0, limit=10),
            )
        host_id = target.select_server(
            "forecaster", exclude=frozenset(), now=now
        )
        target.record_call_start(host_id, now)
        picks[host_id] += 1
        in_flight[host_id] += 1
        peak[host_id] = max(peak[host_id], in_flight[host_id])
        heapq.heappush(ends, (now + latency_by_host[host_id], host_id))
    return picks, peak


def test_equal_servers_get_equal_shares():
    target = _router(*[_member(name) for name in "abcd"])
    latencies = dict.fromkeys("abcd", 0.02)
    picks, peak = _simulate(target, latencies, rate=800.0, seconds=10.0)
    assert max(picks.values()) < 1.15 * min(picks.values())
    assert max(peak.values()) <= 12


def test_a_slow_server_gets_less():
    target = _router(*[_member(name) for name in "abcd"])
    latencies = dict.fromkeys("bcd", 0.02) | {"a": 0.2}
    picks, _ = _simulate(target, latencies, rate=300.0, seconds=20.0)
    assert 0 < picks["a"] < 0.5 * min(picks[name] for name in "bcd")


def test_a_server_that_reports_no_load_is_not_flooded():
    target = _router(*[_member(name) for name in "abcd"])
    latencies = dict.fromkeys("bcd", 0.02) | {"a": 0.1}
    picks, peak = _simulate(
        target, latencies, rate=600.0, seconds=10.0, load_by_host={"a": 0}
    )
    assert picks["a"] < min(picks[name] for name in "bcd")
    assert peak["a"] <= 20


def test_a_server_that_reports_too_much_load_is_still_tried():
    target = _router(*[_member(name) for name in "abcd"])
    latencies = dict.fromkeys("abcd", 0.02)
    picks, _ = _simulate(
        target, latencies, rate=300.0, seconds=20.0, load_by_host={"a": 9999}
    )
    assert picks["a"] > 0


def test_an_outlier_storm_sets_only_a_share_aside():
    names = [f"s{number}" for number in range(10)]
    target = _router(*[_member(name) for name in names])
    for number, name in enumerate(names):
        for _ in range(50):
            target.record_call_start(name, 0.0)
            _answer(target, name, 0.0, succeeded=number >= 4)
    picks = _picks(target, count=5000, now=5.0)
    few = [name for name in names if picks[name] < 250]
    assert 0 < len(few) <= 3
    assert all(picks[name] > 0 for name in names)


def test_trouble_of_all_servers_sets_none_aside():
    names = "abcdef"
    target = _router(*[_member(name) for name in names])
    for name in names:
        for _ in range(50):
            target.record_call_start(name, 0.0)
            _answer(target, name, 0.0, succeeded=False)
    picks = _picks(target, count=6000, now=5.0)
    assert all(picks[name] > 700 for name in names)


def test_calls_spill_to_the_region_before_they_go_beyond():
    target = _router(
        _member("near"),
        _member("region", dc="kotoni"),
        _member("beyond", dc="bayan-lepas", region="south"),
    )
    for _ in range(10):
        target.record_call_start("near", 0.0)
    assert set(_picks(target)) == {"region"}
    for _ in range(10):
        target.record_call_start("region", 0.0)
    assert set(_picks(target)) == {"beyond"}


def test_a_new_server_is_loaded_slowly():
    old = [_member(name) for name in "abc"]
    target = _router(*old)
    _picks(target)
    members = {member.host_id: member for member in [*old, _member("new")]}
    target.update_members(members)
    target.record_call_start("new", 100.0)
    _answer(target, "new", 100.0)
    first = _picks(target, count=4000, now=100.5)["new"]
    later = _picks(target, count=4000, now=111.0)["new"]
    assert 0 < first < 400
    assert later > 700


def test_a_node_keeps_few_servers_and_all_nodes_together_use_all():
    members = [
        _member(f"h{number}", dc=f"dc{number % 8}", region=f"r{number % 2}")
        for number in range(1300)
    ]
    members_by_id = {member.host_id: member for member in members}
    uses = collections.Counter()
    for number in range(0, 1300, 7):
        own = members[number]
        target = _router(
            host_id=own.host_id, data_centre=own.data_centre, region=own.region
        )
        target.update_members(members_by_id)
        used = set(target._targets_by_id)
        assert len(used) == 32
        uses.update(used)
    expected = 32 / 7
    assert len(uses) > 1200
    assert max(uses.values()) < 5 * expected


def test_mass_suspicion_does_not_stop_the_choice():
    suspect = membership.MemberState.SUSPECT
    members = [_member("a")]
    members += [_member(name, state=suspect) for name in "bcd"]
    assert set(_picks(_router(*members))) == set("abcd")


def test_quick_refusals_make_no_outlier_of_a_server_that_works():
    names = "abcd"
    target = _router(*[_member(name) for name in names])
    for name in names:
        for _ in range(50):
            latency_s = 0.06 if name == "a" else None
            target.record_call_start(name, 0.0)
            _answer(target, name, 0.0, latency_s=latency_s)
    picks = _picks(target, count=4000, now=5.0)
    assert picks["a"] > 700


def test_the_near_preference_can_be_switched_off():
    target = _router(_member("near"), _member("far", dc="kotoni"))
    assert set(_picks(target)) == {"near"}
    target.set_policy(model.RoutingPolicy(prefer_near=False))
    assert set(_picks(target)) == {"near", "far"}


def test_calls_in_flight_survive_a_change_of_the_view():
    members = [_member("a"), _member("b")]
    target = _router(*members)
    for _ in range(8):
        target.record_call_start("a", 0.0)
    members.append(_member("c", state=membership.MemberState.DEAD))
    target.update_members({member.host_id: member for member in members})
    picks = _picks(target)
    assert picks["b"] > 2 * picks["a"]
