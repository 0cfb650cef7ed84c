"""Backoff with an injected seed."""

import random

from bergamotdeal.store import backoff


def test_backoff_doubles_up_to_its_maximum_and_resets():
    delays = backoff.ExponentialBackoff(
        rng=random.Random(1), initial_s=1.0, max_s=8.0
    )
    returned = [delays.next_delay() for _ in range(8)]
    for delay_s, base in zip(returned, [1, 2, 4, 8, 8, 8, 8, 8], strict=True):
        assert 0.5 * base <= delay_s <= 1.5 * base
    delays.reset()
    assert delays.next_delay() <= 1.5
