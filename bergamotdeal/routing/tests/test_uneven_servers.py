"""Load of 28 servers that differ in speed and are slowed down at times.

Speeds are 0.5 to 1.6; 15 in 100 servers are 2.5 times slower for 600 ms at a
time. 28 nodes choose servers and know them from answers only.
"""

import functools
import random

import pytest

from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.routing import core
from bergamotdeal.routing import router
from bergamotdeal.rpc import core as rpc
from standins import uneven_servers

DEMANDS = (0.7, 0.95, 1.2)


@functools.cache
def run_model(demand, *, is_omniscient):
    return uneven_servers.Model(
        demand=demand,
        is_omniscient=is_omniscient,
        seed=1,
        duration_s=8.0,
        warmup_s=3.0,
    ).run()


# Guards against calls that wait on slowed servers while fast ones have room.
@pytest.mark.parametrize("demand", DEMANDS)
def test_latency_p99_is_near_that_of_an_omniscient_scheduler(demand):
    routed = run_model(demand, is_omniscient=False)
    best = run_model(demand, is_omniscient=True)
    assert routed.latency_s(0.99) <= 1.25 * best.latency_s(0.99)


# Guards against nodes that all queue at the fastest servers.
@pytest.mark.parametrize("demand", DEMANDS)
def test_no_server_idles_while_a_call_queued_elsewhere_would_end_earlier(
    demand,
):
    routed = run_model(demand, is_omniscient=False)
    assert max(routed.wasted_shares) <= 0.1


@pytest.mark.parametrize("demand", DEMANDS)
def test_as_many_calls_are_served_as_by_an_omniscient_scheduler(demand):
    routed = run_model(demand, is_omniscient=False)
    best = run_model(demand, is_omniscient=True)
    calls = len(best.latencies_s)
    assert len(routed.latencies_s) >= 0.98 * calls


def build_members(count):
    return {
        f"s{number}": membership.Member(
            host_id=f"s{number}",
            incarnation="00" * 16,
            data_centre="prai",
            region="penang",
            address="127.0.0.1",
            peer_port=1,
            server=membership.Server(service="kitview", slots=8, connections=8),
        )
        for number in range(count)
    }


def build_router():
    return router.Router(
        policy=model.RoutingPolicy(weigh_speed=True, slow_start_ms=1000),
        host_id="e0",
        data_centre="prai",
        region="penang",
        rng=random.Random(1),
    )


# Guards against a slow server that nobody calls again, because its last report
# says that it is slow.
def test_reported_work_factor_decays_with_its_age():
    (member,) = build_members(1).values()
    target = core.Target(member=member, locality_tier=0)
    target.load_report = rpc.Load(
        running=0, queued=0, limit=8, run_ms=80.0, work_factor=2.5
    )
    target.reported_at = 10.0
    assert target.work_factor(10.0 + core.SPEED_EXACT_S) == 2.5
    assert 1.0 < target.work_factor(10.5) < 2.5
    assert target.work_factor(10.0 + core.SPEED_UNKNOWN_S) == 1.0


def test_cold_server_gets_its_first_calls_within_two_seconds():
    sender = build_router()
    members_by_id = build_members(15)
    sender.update_members(members_by_id)
    first_call_at = None
    for step in range(400):
        now = 10.0 + 0.02 * step
        if step == 200:
            sender.update_members(build_members(16))
        host_id = sender.select_server("kitview", exclude=frozenset(), now=now)
        sender.record_call_start(host_id, now)
        is_cold = host_id == "s15"
        if is_cold and first_call_at is None:
            first_call_at = now
        sender.record_call_end(
            host_id,
            latency_s=0.01,
            succeeded=True,
            load=rpc.Load(
                running=2,
                queued=0,
                limit=8,
                run_ms=10.0,
                work_factor=2.0 if is_cold else 1.1,
            ),
            now=now,
        )
    assert first_call_at is not None
    assert first_call_at <= 10.0 + 0.02 * 200 + 2.0
