"""Tests of the adaptive concurrency limit."""

import random

from bergamotdeal.admission import limit

SLOTS = 50


def _run_saturated(adaptive_limit, *, run_s_at, seconds, start):
    """Saturates the server; ``run_s_at`` maps concurrency to run time."""
    now = start
    step_s = 0.1
    due_runs = 0.0
    while now < start + seconds:
        now += step_s
        concurrency_limit = adaptive_limit.current_limit(
            now, adapt=True, slow_start=False
        )
        run_s = run_s_at(concurrency_limit)
        due_runs += concurrency_limit * step_s / run_s
        while due_runs >= 1.0:
            due_runs -= 1.0
            adaptive_limit.record_run(run_s)
        adaptive_limit.add_busy_time(concurrency_limit * step_s)
        adaptive_limit.update(now)
    return now


def _make_limit():
    return limit.AdaptiveLimit(slots=SLOTS, cold_start_s=0.0, now=0.0)


def _current_limit(adaptive_limit, now):
    return adaptive_limit.current_limit(now, adapt=True, slow_start=False)


def test_slow_work_lowers_the_limit_only_briefly():
    adaptive_limit = _make_limit()
    now = _run_saturated(
        adaptive_limit, run_s_at=lambda _: 0.02, seconds=5.0, start=0.0
    )
    lowered_s = 0.0
    for _ in range(600):
        now = _run_saturated(
            adaptive_limit, run_s_at=lambda _: 0.06, seconds=0.1, start=now
        )
        lowered_s += 0.1 if _current_limit(adaptive_limit, now) < SLOTS else 0.0
    assert 0.0 < lowered_s < 3.0
    assert _current_limit(adaptive_limit, now) == SLOTS


def test_limit_falls_under_contention_and_recovers_after_it():
    adaptive_limit = _make_limit()

    def contended_run_s(concurrency):
        return 0.02 * max(1.0, concurrency / 10.0)

    now = _run_saturated(
        adaptive_limit, run_s_at=lambda _: 0.02, seconds=5.0, start=0.0
    )
    now = _run_saturated(
        adaptive_limit, run_s_at=contended_run_s, seconds=40.0, start=now
    )
    assert _current_limit(adaptive_limit, now) <= 30
    now = _run_saturated(
        adaptive_limit, run_s_at=lambda _: 0.02, seconds=30.0, start=now
    )
    assert _current_limit(adaptive_limit, now) == SLOTS


def test_limit_never_exceeds_the_announced_slots():
    adaptive_limit = _make_limit()
    adaptive_limit.set_slots(10, 1.0)
    assert _current_limit(adaptive_limit, 1.0) == 10
    _run_saturated(
        adaptive_limit, run_s_at=lambda _: 0.02, seconds=10.0, start=1.0
    )
    assert _current_limit(adaptive_limit, 11.0) == 10


def test_noisy_run_times_seldom_keep_a_costly_decrease():
    lowered_s = 0.0
    seeds = 20
    for seed in range(seeds):
        rng = random.Random(seed)
        adaptive_limit = _make_limit()
        adaptive_limit.set_slots(15, 0.0)
        now = _run_saturated(
            adaptive_limit, run_s_at=lambda _: 0.15, seconds=5.0, start=0.0
        )

        def slow_run_s(_, rng=rng):
            return rng.gammavariate(4, 0.45 / 4)

        while now < 60.0:
            now = _run_saturated(
                adaptive_limit, run_s_at=slow_run_s, seconds=0.5, start=now
            )
            lowered_s += (
                0.5 if _current_limit(adaptive_limit, now) < 15 else 0.0
            )
    assert lowered_s / seeds < 6.0
