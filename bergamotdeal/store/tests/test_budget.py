"""Rate limiter and backoff with an injected clock and seed."""

import random

from bergamotdeal.store import backoff
from bergamotdeal.store import budget


def test_limiter_grants_the_burst_plus_the_rate():
    limiter = budget.CallRateLimiter(calls_per_minute=60, now=0.0)
    granted = sum(limiter.try_acquire(now / 100) for now in range(600 * 100))
    assert 60 + 590 <= granted <= 60 + 600


def test_limiter_refills_only_as_the_clock_advances():
    limiter = budget.CallRateLimiter(calls_per_minute=2, now=5.0)
    assert [limiter.try_acquire(5.0) for _ in range(4)] == [
        True,
        True,
        False,
        False,
    ]
    assert limiter.try_acquire(35.0)


def test_backoff_doubles_up_to_its_maximum_and_resets():
    delays = backoff.ExponentialBackoff(
        rng=random.Random(1), initial_s=1.0, max_s=8.0
    )
    returned = [delays.next_delay() for _ in range(8)]
    for delay_s, base in zip(returned, [1, 2, 4, 8, 8, 8, 8, 8], strict=True):
        assert 0.5 * base <= delay_s <= 1.5 * base
    delays.reset()
    assert delays.next_delay() <= 1.5
