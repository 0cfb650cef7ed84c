"""The call budget and the backoff under an injected clock and seed."""

import random

from bergamotdeal.store import backoff
from bergamotdeal.store import budget


def test_budget_bounds_calls_over_any_time():
    bucket = budget.CallRateLimiter(calls_per_minute=60, now=0.0)
    made = sum(bucket.try_acquire(now / 100) for now in range(600 * 100))
    assert 60 + 590 <= made <= 60 + 600


def test_clock_that_stands_still_gives_nothing():
    bucket = budget.CallRateLimiter(calls_per_minute=2, now=5.0)
    assert [bucket.try_acquire(5.0) for _ in range(4)] == [
        True,
        True,
        False,
        False,
    ]
    assert bucket.try_acquire(35.0)


def test_backoff_grows_to_its_bound_and_resets():
    waits = backoff.ExponentialBackoff(
        rng=random.Random(1), initial_s=1.0, max_s=8.0
    )
    seen = [waits.next_delay() for _ in range(8)]
    for delay_s, base in zip(seen, [1, 2, 4, 8, 8, 8, 8, 8], strict=True):
        assert 0.5 * base <= delay_s <= 1.5 * base
    waits.reset()
    assert waits.next_delay() <= 1.5
