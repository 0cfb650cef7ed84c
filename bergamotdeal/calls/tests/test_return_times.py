"""Tests of the return times of refused callers around a burst.

Load: 1.7 times the usual demand for 18 s; two fifths of the callers retry three
times immediately, then like the others up to three times when they are told to.
Target latencies go
from 400 ms to 4 s and deadlines from 1.5 to 8 s.
"""

import collections
import dataclasses
import heapq
import itertools
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from bergamotdeal.admission import returns
from bergamotdeal.calls import messages
from bergamotdeal.calls import returns as drawn_returns
from bergamotdeal.calls.tests import test_host_routes
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.pricing import core
from bergamotdeal.pricing import gate
from bergamotdeal.pricing import origins

_CAPACITY = 100.0
_USUAL = 80.0
_SURGE = 1.7
_BURST_FROM_S = 3.0
_BURST_TO_S = 21.0
_SECONDS = 26.0
_STEP_S = 0.25
_KINDS = ((0.4, 1.5), (1.0, 3.0), (2.0, 5.0), (4.0, 8.0))
_IMMEDIATELY_S = 0.01


@dataclasses.dataclass(kw_only=True, eq=False)
class _Caller:
    number: int
    rank: int
    target_s: float
    deadline: float
    arrived_at: float
    immediate_retries: int
    returns_left: int = 3
    due: float | None = None
    admitted_at: float | None = None


@dataclasses.dataclass(kw_only=True)
class _Figures:
    peak_after: int  # The most requests offered in a second.
    offered_in_burst: float
    admitted_at_end: list[int]
    claims: list[bool]
    callers: list[_Caller]


class _Service:
    """Reports the share that it can take, 0.3 s late."""

    def __init__(self):
        self.arrivals = collections.Counter()
        self.shares = collections.defaultdict(lambda: 1.0)

    def share(self, now):
        step = int(now / _STEP_S)
        if step not in self.shares:
            offered = self.arrivals[step - 2] / _STEP_S
            raw = min(1.0, _CAPACITY / max(1.0, offered))
            last = self.shares[step - 1]
            self.shares[step] = last + 0.5 * (raw - last)
        return self.shares[step]


def _draw_callers(rng):
    callers = []
    now = 0.0
    while now < _SECONDS:
        in_burst = _BURST_FROM_S <= now < _BURST_TO_S
        now += rng.expovariate(_USUAL * (_SURGE if in_burst else 1.0))
        target_s, deadline_s = rng.choice(_KINDS)
        callers.append(
            _Caller(
                number=len(callers),
                rank=1 if rng.random() < 0.25 else 3,
                target_s=target_s,
                deadline=now + deadline_s,
                arrived_at=now,
                immediate_retries=3 if rng.random() < 0.4 else 0,
            )
        )
    return callers


def _serve(*, assigns, seed):
    rng = random.Random(seed)
    entry = gate.EntryGate(rng=rng)
    schedule = returns.ReturnSchedule(rng=rng)
    service = _Service()
    callers = _draw_callers(rng)
    numbers = itertools.count()
    events = [(each.arrived_at, next(numbers), each) for each in callers]
    heapq.heapify(events)
    offered = collections.Counter()
    claims = []
    while events:
        now, _, caller = heapq.heappop(events)
        if now >= _SECONDS:
            break
        step = int(now / _STEP_S)
        offered[step] += 1
        service.arrivals[step] += 1
        is_reserved = assigns and schedule.claim(caller.number, now)
        route = f"r{caller.rank}"
        entry.record_request(route, caller.rank, {"orderline": 0.1}, now)
        share = service.share(now)
        admitted = entry.admits(
            route,
            None if assigns else caller.number,
            {"orderline": share} if share < 0.999 else {},
            now,
            is_reserved=is_reserved,
        )
        if caller.due is not None and now >= caller.due:
            claims.append(admitted)
        caller.due = None
        if admitted:
            caller.admitted_at = now
            continue
        if assigns:
            found = schedule.assign(
                "orderline",
                caller.rank,
                caller.number,
                now,
                rate=entry.admitted_rate("orderline", caller.rank),
                remaining_s=caller.deadline - now,
                target_s=caller.target_s,
            )
            delay_s = found.delay_s
            if delay_s is None:
                continue
            assert delay_s <= (caller.deadline - now) / 3 + 1e-9
            if found.is_reserved:
                caller.due = now + delay_s
        else:
            delay_s = drawn_returns.draw_retry_delay(
                round(caller.target_s * 1000), rng
            )
        if caller.immediate_retries:
            caller.immediate_retries -= 1
            caller.due = None
            delay_s = _IMMEDIATELY_S
        else:
            caller.returns_left -= 1
        if caller.returns_left >= 0 and now + delay_s < caller.deadline:
            entry_time = (now + delay_s, next(numbers), caller)
            heapq.heappush(events, entry_time)
    return _Figures(
        peak_after=max(
            sum(
                count
                for step, count in offered.items()
                if second <= step * _STEP_S < second + 1
            )
            for second in range(int(_BURST_TO_S), int(_SECONDS))
        ),
        offered_in_burst=sum(
            count
            for step, count in offered.items()
            if _BURST_FROM_S <= step * _STEP_S < _BURST_TO_S
        )
        / (_BURST_TO_S - _BURST_FROM_S),
        admitted_at_end=[
            sum(
                each.admitted_at is not None and int(each.admitted_at) == second
                for each in callers
            )
            for second in range(int(_BURST_TO_S) - 2, int(_SECONDS))
        ],
        claims=claims,
        callers=[
            each
            for each in callers
            if _BURST_FROM_S <= each.arrived_at < _BURST_TO_S
        ],
    )


def _count_in_time(figures):
    return sum(
        each.admitted_at is not None
        and each.admitted_at <= each.arrived_at + 0.6 * each.target_s
        for each in figures.callers
    ) / len(figures.callers)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_ends_without_surge_and_more_are_admitted_in_time(seed):
    assigned = _serve(assigns=True, seed=seed)
    drawn = _serve(assigns=False, seed=seed)
    assert len(assigned.claims) > 500
    assert all(assigned.claims)
    assert assigned.peak_after < assigned.offered_in_burst
    assert max(assigned.admitted_at_end) < 1.25 * _CAPACITY
    assert _count_in_time(assigned) > _count_in_time(drawn) + 0.05
    for each in assigned.callers:
        if each.rank == 1:
            assert each.admitted_at is not None


# A more important caller that is refused later must not wait longer than a
# less important one that is refused after it.


@hypothesis.given(
    refusals=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3), strategies.floats(0.0, 0.2)
        ),
        max_size=60,
    )
)
def test_no_caller_is_placed_behind_a_less_important_class(refusals):
    schedule = returns.ReturnSchedule(rng=random.Random(1))
    now = 4.0
    placed = []
    for number, (rank, wait_s) in enumerate(refusals):
        now += wait_s
        found = schedule.assign(
            "orderline",
            rank,
            number,
            now,
            rate=5.0 + rank,
            remaining_s=9.0,
            target_s=0.0,
        )
        if found.is_reserved:
            due = now + found.delay_s
            assert all(
                due >= other_due
                for other_rank, other_due in placed
                if other_rank <= rank
            )
            placed.append((rank, due))


def test_early_caller_keeps_its_time_and_a_late_one_loses_it():
    schedule = returns.ReturnSchedule(rng=random.Random(1))
    limits = {"rate": 10.0, "remaining_s": 6.0, "target_s": 2.0}
    first = schedule.assign("orderline", 0, 7, 1.0, **limits)
    assert first.is_reserved
    due = 1.0 + first.delay_s
    assert not schedule.claim(7, due - 0.03)
    again = schedule.assign("orderline", 0, 7, due - 0.03, **limits)
    assert again.delay_s == pytest.approx(0.03)
    assert schedule.claim(7, due)
    assert not schedule.claim(7, due)
    schedule.assign("orderline", 0, 8, 2.0, **limits)
    assert not schedule.claim(8, 5.0)


def test_reservations_are_bounded_and_those_that_passed_make_room():
    schedule = returns.ReturnSchedule(rng=random.Random(1))
    limits = {"rate": 10000.0, "remaining_s": 60.0, "target_s": 0.0}
    count = returns.MAX_RESERVATIONS
    found = [
        schedule.assign("orderline", 0, number, 2.0, **limits)
        for number in range(count + 1)
    ]
    assert [each.is_reserved for each in found] == [True] * count + [False]
    assert not schedule.assign("orderline", 0, -1, 2.0, **limits).is_reserved
    assert schedule.assign("orderline", 0, -1, 5.0, **limits).is_reserved


def test_caller_without_time_left_is_not_asked_to_return():
    schedule = returns.ReturnSchedule(rng=random.Random(1))
    found = schedule.assign(
        "orderline", 0, 1, 1.0, rate=9.0, remaining_s=0.1, target_s=1.0
    )
    assert found.delay_s is None


# The entry of an engine must recognise the caller and keep its promise.


def test_refused_caller_of_an_entry_is_admitted_at_its_time():
    node = test_host_routes.Node()
    preset = msgspec.structs.replace(
        test_host_routes.PRESET,
        admission=model.AdmissionPolicy(pricing=True, return_times=True),
    )
    node.handle(messages.PresetInForce(epoch=2, preset=preset))
    report = core.Report(
        origin=origins.Origin.CALLERS,
        charges=[core.Charge(service="kitview", slot_s=0.1, share=0.3)],
    )
    schedule = node.engine._state.return_schedule
    kept = 0
    waiting = []
    for number in range(600):
        node.now += 0.01
        node.engine._state.cost_model.apply_report(
            "kits", "kitview", core.encode(report), node.now
        )
        path = f"/kits/{number}"
        due = [each for each in waiting if each[0] <= node.now]
        if due:
            waiting.remove(due[0])
            path = due[0][1]
        effects = node.send_request(path=path, request_id=f"r{number}")
        for effect in effects:
            if isinstance(effect, messages.StartRun):
                kept += bool(due)
                node.handle(
                    messages.RunAnswered(
                        run_id=effect.run_id, status=200, headers=[], body=b""
                    )
                )
            elif (
                isinstance(effect, messages.ReplyToCaller)
                and effect.answer.error is errors.ErrorKind.SHED
            ):
                assert not due, "refused at its time"
                delay_s = effect.answer.retry_after_s
                # The others were told a time without a promise.
                if hash(("GET", path, "")) in schedule._reserved_by_fingerprint:
                    waiting.append((node.now + delay_s, path))
    assert kept > 50
