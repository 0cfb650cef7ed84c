"""Tests of the load balancer."""

import collections
import heapq
import random

import msgspec
import pytest

from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.routing import router
from bergamotdeal.rpc import core as rpc

IDLE_LOAD = rpc.Load(running=0, queued=0, limit=10, run_ms=10.0)


def _make_member(
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


def _make_router(*members, **changes):
    arguments = {
        "policy": model.RoutingPolicy(),
        "host_id": "me",
        "data_centre": "odori",
        "region": "north",
        "rng": random.Random(1),
    }
    balancer = router.Router(**(arguments | changes))
    balancer.update_members({member.host_id: member for member in members})
    return balancer


def _count_selections(balancer, count=1000, now=0.0):
    return collections.Counter(
        balancer.select_server("forecaster", exclude=frozenset(), now=now)
        for _ in range(count)
    )


def test_draining_and_dead_members_are_never_selected():
    balancer = _make_router(
        _make_member("a"),
        _make_member("b", state=membership.MemberState.DRAINING),
        _make_member("c", state=membership.MemberState.DEAD),
        _make_member("d", state=membership.MemberState.SUSPECT),
    )
    assert set(_count_selections(balancer)) == {"a"}


def test_suspect_is_selected_only_as_fallback():
    balancer = _make_router(
        _make_member("a", state=membership.MemberState.SUSPECT)
    )
    assert set(_count_selections(balancer)) == {"a"}
    none_left = balancer.select_server(
        "forecaster", exclude=frozenset("a"), now=0.0
    )
    assert none_left is None


def test_calls_spill_to_a_farther_tier_only_when_near_servers_are_full():
    balancer = _make_router(
        _make_member("near"), _make_member("far", dc="kotoni")
    )
    assert set(_count_selections(balancer, now=0.0)) == {"near"}
    for _ in range(20):
        balancer.record_call_start("near", 0.0)
    assert _count_selections(balancer)["far"] > 0


def test_less_loaded_server_is_preferred():
    balancer = _make_router(_make_member("a"), _make_member("b"))
    for _ in range(5):
        balancer.record_call_start("a", 0.0)
    selections = _count_selections(balancer)
    assert selections["b"] > 2 * selections["a"] > 0


def test_selection_by_hash_is_equal_on_every_node():
    members = [_make_member(name) for name in "abcde"]
    first = _make_router(*members)
    second = _make_router(*reversed(members), host_id="other")
    for number in range(100):
        chosen = first.select_server_by_hash(
            "forecaster", f"r{number}", exclude=frozenset()
        )
        assert chosen == second.select_server_by_hash(
            "forecaster", f"r{number}", exclude=frozenset()
        )


def test_failing_server_keeps_a_small_share_of_calls():
    balancer = _make_router(*[_make_member(name) for name in "abcd"])
    for name in "abcd":
        for _ in range(50):
            balancer.record_call_start(name, 0.0)
            balancer.record_call_end(
                name,
                latency_s=0.01,
                succeeded=name != "a",
                load=rpc.Load(running=0, queued=0, limit=10),
                now=0.0,
            )
    selections = _count_selections(balancer, count=4000, now=5.0)
    assert 0 < selections["a"] < 300


def _record_answer(balancer, host_id, now, **changes):
    arguments = {
        "latency_s": 0.01,
        "succeeded": True,
        "load": IDLE_LOAD,
    } | changes
    balancer.record_call_end(host_id, now=now, **arguments)


def _simulate_calls(
    balancer, latency_by_host, *, rate, seconds, load_by_host=None
):
    """Simulates Poisson calls; returns selections and peak calls in flight."""
    rng = random.Random(2)
    selections = collections.Counter()
    in_flight = collections.Counter()
    peak_in_flight = collections.Counter()
    call_ends = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        while call_ends and call_ends[0][0] <= now:
            ended, host_id = heapq.heappop(call_ends)
            in_flight[host_id] -= 1
            reported = (load_by_host or {}).get(host_id, in_flight[host_id])
            _record_answer(
                balancer,
                host_id,
                ended,
                latency_s=latency_by_host[host_id],
                load=rpc.Load(running=reported, queued=0, limit=10),
            )
        host_id = balancer.select_server(
            "forecaster", exclude=frozenset(), now=now
        )
        balancer.record_call_start(host_id, now)
        selections[host_id] += 1
        in_flight[host_id] += 1
        peak_in_flight[host_id] = max(
            peak_in_flight[host_id], in_flight[host_id]
        )
        heapq.heappush(call_ends, (now + latency_by_host[host_id], host_id))
    return selections, peak_in_flight


def test_equal_servers_get_equal_shares():
    balancer = _make_router(*[_make_member(name) for name in "abcd"])
    latencies = dict.fromkeys("abcd", 0.02)
    selections, peak_in_flight = _simulate_calls(
        balancer, latencies, rate=800.0, seconds=10.0
    )
    assert max(selections.values()) < 1.15 * min(selections.values())
    assert max(peak_in_flight.values()) <= 12


def test_slow_server_gets_fewer_calls():
    balancer = _make_router(*[_make_member(name) for name in "abcd"])
    latencies = dict.fromkeys("bcd", 0.02) | {"a": 0.2}
    selections, _ = _simulate_calls(
        balancer, latencies, rate=300.0, seconds=20.0
    )
    assert 0 < selections["a"] < 0.5 * min(selections[name] for name in "bcd")


def test_server_that_reports_zero_load_is_not_overloaded():
    balancer = _make_router(*[_make_member(name) for name in "abcd"])
    latencies = dict.fromkeys("bcd", 0.02) | {"a": 0.1}
    selections, peak_in_flight = _simulate_calls(
        balancer, latencies, rate=600.0, seconds=10.0, load_by_host={"a": 0}
    )
    assert selections["a"] < min(selections[name] for name in "bcd")
    assert peak_in_flight["a"] <= 20


def test_server_that_reports_excessive_load_still_gets_calls():
    balancer = _make_router(*[_make_member(name) for name in "abcd"])
    latencies = dict.fromkeys("abcd", 0.02)
    selections, _ = _simulate_calls(
        balancer, latencies, rate=300.0, seconds=20.0, load_by_host={"a": 9999}
    )
    assert selections["a"] > 0


def test_number_of_outliers_is_limited_when_many_servers_fail():
    names = [f"s{number}" for number in range(10)]
    balancer = _make_router(*[_make_member(name) for name in names])
    for number, name in enumerate(names):
        for _ in range(50):
            balancer.record_call_start(name, 0.0)
            _record_answer(balancer, name, 0.0, succeeded=number >= 4)
    selections = _count_selections(balancer, count=5000, now=5.0)
    reduced = [name for name in names if selections[name] < 250]
    assert 0 < len(reduced) <= 3
    assert all(selections[name] > 0 for name in names)


def test_no_server_is_an_outlier_when_all_fail():
    names = "abcdef"
    balancer = _make_router(*[_make_member(name) for name in names])
    for name in names:
        for _ in range(50):
            balancer.record_call_start(name, 0.0)
            _record_answer(balancer, name, 0.0, succeeded=False)
    selections = _count_selections(balancer, count=6000, now=5.0)
    assert all(selections[name] > 700 for name in names)


def test_calls_spill_to_the_same_region_before_other_regions():
    balancer = _make_router(
        _make_member("near"),
        _make_member("region", dc="kotoni"),
        _make_member("beyond", dc="bayan-lepas", region="south"),
    )
    for _ in range(10):
        balancer.record_call_start("near", 0.0)
    assert set(_count_selections(balancer)) == {"region"}
    for _ in range(10):
        balancer.record_call_start("region", 0.0)
    assert set(_count_selections(balancer)) == {"beyond"}


def test_new_server_ramps_up_during_slow_start():
    old = [_make_member(name) for name in "abc"]
    balancer = _make_router(*old)
    _count_selections(balancer)
    members = {member.host_id: member for member in [*old, _make_member("new")]}
    balancer.update_members(members)
    balancer.record_call_start("new", 100.0)
    _record_answer(balancer, "new", 100.0)
    first = _count_selections(balancer, count=4000, now=100.5)["new"]
    later = _count_selections(balancer, count=4000, now=111.0)["new"]
    assert 0 < first < 400
    assert later > 700


def test_subsets_are_small_and_together_cover_all_servers():
    members = [
        _make_member(
            f"h{number}", dc=f"dc{number % 8}", region=f"r{number % 2}"
        )
        for number in range(1300)
    ]
    members_by_id = {member.host_id: member for member in members}
    uses = collections.Counter()
    for number in range(0, 1300, 7):
        own = members[number]
        balancer = _make_router(
            host_id=own.host_id, data_centre=own.data_centre, region=own.region
        )
        balancer.update_members(members_by_id)
        used = set(balancer._targets_by_id)
        assert len(used) == 32
        uses.update(used)
    expected = 32 / 7
    assert len(uses) > 1200
    assert max(uses.values()) < 5 * expected


def test_all_members_stay_eligible_under_mass_suspicion():
    suspect = membership.MemberState.SUSPECT
    members = [_make_member("a")]
    members += [_make_member(name, state=suspect) for name in "bcd"]
    assert set(_count_selections(_make_router(*members))) == set("abcd")


def test_fast_refusals_of_peers_do_not_make_a_server_an_outlier():
    names = "abcd"
    balancer = _make_router(*[_make_member(name) for name in names])
    for name in names:
        for _ in range(50):
            latency_s = 0.06 if name == "a" else None
            balancer.record_call_start(name, 0.0)
            _record_answer(balancer, name, 0.0, latency_s=latency_s)
    selections = _count_selections(balancer, count=4000, now=5.0)
    assert selections["a"] > 700


def test_all_tiers_are_used_when_prefer_near_is_disabled():
    balancer = _make_router(
        _make_member("near"), _make_member("far", dc="kotoni")
    )
    assert set(_count_selections(balancer)) == {"near"}
    balancer.set_policy(model.RoutingPolicy(prefer_near=False))
    assert set(_count_selections(balancer)) == {"near", "far"}


def test_calls_in_flight_are_kept_when_the_membership_view_changes():
    members = [_make_member("a"), _make_member("b")]
    balancer = _make_router(*members)
    for _ in range(8):
        balancer.record_call_start("a", 0.0)
    members.append(_make_member("c", state=membership.MemberState.DEAD))
    balancer.update_members({member.host_id: member for member in members})
    selections = _count_selections(balancer)
    assert selections["b"] > 2 * selections["a"]


# Guards against a server that one report or a few results exclude forever,
# because only a further call could correct them.
@pytest.mark.parametrize("weigh_speed", [True, False])
@pytest.mark.parametrize(
    "answer",
    [
        *(
            {"load": msgspec.structs.replace(IDLE_LOAD, **{field.name: value})}
            for field in msgspec.structs.fields(rpc.Load)
            for value in (0, 1, 1000)
        ),
        {"succeeded": False},
        {"latency_s": 60.0},
    ],
    ids=str,
)
def test_nothing_reported_ten_seconds_ago_keeps_calls_away(answer, weigh_speed):
    balancer = _make_router(
        *[_make_member(name) for name in "abcd"],
        policy=model.RoutingPolicy(weigh_speed=weigh_speed),
    )
    for _ in range(20):
        balancer.record_call_start("a", 0.0)
        _record_answer(balancer, "a", 0.0, **answer)
    for now in range(11):
        for name in "bcd":
            balancer.record_call_start(name, now)
            _record_answer(balancer, name, now)
        _count_selections(balancer, count=1, now=now)
    for name in "bcd":
        balancer.record_call_start(name, now)
    assert _count_selections(balancer, now=now)["a"] >= 250
