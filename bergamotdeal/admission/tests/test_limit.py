"""Tests of the adaptive concurrency limit."""

import random

from bergamotdeal.admission import limit

SLOTS = 50


def _run(target, *, run_s_at, seconds, start):
    """Keeps the server saturated; ``run_s_at`` maps concurrency to time."""
    now = start
    step_s = 0.1
    owed = 0.0
    while now < start + seconds:
        now += step_s
        value = target.value(now, adapt=True, slow_start=False)
        run_s = run_s_at(value)
        owed += value * step_s / run_s
        while owed >= 1.0:
            owed -= 1.0
            target.count_run(run_s)
        target.count_busy(value * step_s)
        target.update(now)
    return now


def _limit():
    return limit.AdaptiveLimit(slots=SLOTS, cold_start_s=0.0, now=0.0)


def _value(target, now):
    return target.value(now, adapt=True, slow_start=False)


def test_slow_work_does_not_lower_the_limit_for_long():
    target = _limit()
    now = _run(target, run_s_at=lambda _: 0.02, seconds=5.0, start=0.0)
    low_s = 0.0
    for _ in range(600):
        now = _run(target, run_s_at=lambda _: 0.06, seconds=0.1, start=now)
        low_s += 0.1 if _value(target, now) < SLOTS else 0.0
    assert 0.0 < low_s < 3.0
    assert _value(target, now) == SLOTS


def test_contention_lowers_the_limit_and_it_comes_back():
    target = _limit()

    def contended(concurrency):
        return 0.02 * max(1.0, concurrency / 10.0)

    now = _run(target, run_s_at=lambda _: 0.02, seconds=5.0, start=0.0)
    now = _run(target, run_s_at=contended, seconds=40.0, start=now)
    assert _value(target, now) <= 30
    now = _run(target, run_s_at=lambda _: 0.02, seconds=30.0, start=now)
    assert _value(target, now) == SLOTS


def test_the_limit_never_passes_the_announced_slots():
    target = _limit()
    target.set_slots(10, 1.0)
    assert _value(target, 1.0) == 10
    _run(target, run_s_at=lambda _: 0.02, seconds=10.0, start=1.0)
    assert _value(target, 11.0) == 10


def test_noise_seldom_keeps_a_step_that_costs_throughput():
    lowered_s = 0.0
    seeds = 20
    for seed in range(seeds):
        rng = random.Random(seed)
        target = _limit()
        target.set_slots(15, 0.0)
        now = _run(target, run_s_at=lambda _: 0.15, seconds=5.0, start=0.0)

        def slow(_, rng=rng):
            return rng.gammavariate(4, 0.45 / 4)

        while now < 60.0:
            now = _run(target, run_s_at=slow, seconds=0.5, start=now)
            lowered_s += 0.5 if _value(target, now) < 15 else 0.0
    assert lowered_s / seeds < 6.0
