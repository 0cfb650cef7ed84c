"""Load of three data centres whose demand oscillates by 0.55 in waves of 15 s.

The phases are shifted by a third. In addition 0.6 of the callers of one data
centre move to another, or one data centre loses half of its servers.
"""

import functools
import random

import pytest

from bergamotdeal.membership import core as membership
from bergamotdeal.routing import core
from bergamotdeal.routing import spill
from bergamotdeal.rpc import core as rpc
from standins import uneven_demand

MOVED_SHARE = 0.6
CHANGE_AT_S = 5.0
DURATION_S = 20.0
SLOTS = 8


def move_callers(rates, now):
    if now >= CHANGE_AT_S:
        moved = MOVED_SHARE * rates[0]
        rates[0] -= moved
        rates[1] += moved


ARGUMENTS_BY_LOAD = {
    "waves": {"mean_demand": 0.8},
    "moving-callers": {"mean_demand": 0.7, "change_demand": move_callers},
    "lost-servers": {"mean_demand": 0.7, "fails_at": CHANGE_AT_S},
}


@functools.cache
def run_model(load):
    model = uneven_demand.Model(**ARGUMENTS_BY_LOAD[load])
    model.run(DURATION_S)
    return model


# Guards against a data centre that is full while the others have room.
@pytest.mark.parametrize("load", ARGUMENTS_BY_LOAD)
def test_every_data_centre_is_served_alike(load):
    model = run_model(load)
    mean = model.served.total() / model.calls.total()
    for name in uneven_demand.DATA_CENTRES:
        assert model.served_share(name) >= mean - 0.05
    assert mean >= 0.95


# Guards against calls that leave their data centre although it has room, or
# that stay away after the wave has passed.
@pytest.mark.parametrize("load", ARGUMENTS_BY_LOAD)
def test_few_calls_leave_their_data_centre_beyond_the_least(load):
    model = run_model(load)
    assert model.flows.total() <= 1.3 * model.least_spilled


@pytest.mark.parametrize("load", ARGUMENTS_BY_LOAD)
def test_no_two_data_centres_spill_into_each_other(load):
    assert run_model(load).mutual_flows == 0


def build_target(data_centre, tier):
    member = membership.Member(
        host_id=data_centre,
        incarnation="00" * 16,
        data_centre=data_centre,
        region="penang",
        address="127.0.0.1",
        peer_port=1,
        server=membership.Server(
            service="kitview", slots=SLOTS, connections=SLOTS
        ),
    )
    return core.Target(member=member, locality_tier=tier)


class Harness:
    """Controller of one service with one near and one far server."""

    def __init__(self, *, call_bytes=1000):
        self.near = build_target("prai", 0)
        self.far = build_target("kulim", 1)
        self.controller = spill.SpillController(
            near=[self.near], far=[self.far]
        )
        self._rng = random.Random(1)
        self._now = 10.0
        for _ in range(200):
            self.controller.record_call_size(call_bytes)

    def send_calls(self, *, near_load, far_load, count=200):
        """Returns the share of calls that go to the far server."""
        far_calls = 0
        for _ in range(count):
            self._now += 0.01
            self._report(self.near, near_load)
            self._report(self.far, far_load)
            selected = self.controller.select_targets(
                refusal_bytes=100_000,
                is_resent=False,
                rng=self._rng,
                now=self._now,
            )
            far_calls += selected == [self.far]
        return far_calls / count

    def _report(self, target, load):
        target.load_report = rpc.Load(
            running=min(SLOTS, load),
            queued=max(0, load - SLOTS),
            limit=SLOTS,
        )
        target.reported_at = self._now


def test_calls_spill_only_when_near_servers_are_full_and_return():
    harness = Harness()
    assert harness.send_calls(near_load=SLOTS, far_load=2) == 0.0
    assert harness.send_calls(near_load=SLOTS + 4, far_load=2) > 0.3
    harness.send_calls(near_load=SLOTS - 2, far_load=2)
    assert harness.send_calls(near_load=SLOTS - 2, far_load=2) == 0.0


def test_calls_do_not_spill_into_a_data_centre_without_room():
    harness = Harness()
    assert harness.send_calls(near_load=12, far_load=SLOTS + 1) == 0.0


def test_calls_that_cost_more_than_a_refusal_do_not_spill():
    harness = Harness(call_bytes=200_000)
    assert harness.send_calls(near_load=16, far_load=0) == 0.0


def test_without_near_servers_all_calls_go_to_other_data_centres():
    far = build_target("kulim", 1)
    controller = spill.SpillController(near=[], far=[far])
    selected = controller.select_targets(
        refusal_bytes=1, is_resent=False, rng=random.Random(1), now=1.0
    )
    assert selected == [far]
