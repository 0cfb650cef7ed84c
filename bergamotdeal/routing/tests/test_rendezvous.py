"""Tests of rendezvous hashing."""

import collections

from bergamotdeal.routing import rendezvous

DIGESTS = {f"h{i}": rendezvous.digest(f"h{i}") for i in range(10)}


def test_keys_spread_evenly():
    counts = collections.Counter(
        rendezvous.best(f"key-{i}", DIGESTS) for i in range(10_000)
    )
    assert all(850 < counts[name] < 1150 for name in DIGESTS)


def test_a_name_that_leaves_moves_only_its_own_keys():
    rest = {name: value for name, value in DIGESTS.items() if name != "h3"}
    for i in range(1000):
        before = rendezvous.best(f"key-{i}", DIGESTS)
        if before != "h3":
            assert rendezvous.best(f"key-{i}", rest) == before


def test_the_best_name_is_ranked_first():
    for i in range(100):
        names = rendezvous.ranked(f"key-{i}", DIGESTS, 3)
        assert names[0] == rendezvous.best(f"key-{i}", DIGESTS)
        assert len(set(names)) == 3
