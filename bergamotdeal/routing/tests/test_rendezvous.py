"""Tests of rendezvous hashing."""

import collections

from bergamotdeal.routing import rendezvous

DIGESTS = {f"h{i}": rendezvous.digest(f"h{i}") for i in range(10)}


def test_keys_are_distributed_evenly():
    counts = collections.Counter(
        rendezvous.select_name(f"key-{i}", DIGESTS) for i in range(10_000)
    )
    assert all(850 < counts[name] < 1150 for name in DIGESTS)


def test_removal_of_a_name_moves_only_its_own_keys():
    rest = {name: value for name, value in DIGESTS.items() if name != "h3"}
    for i in range(1000):
        before = rendezvous.select_name(f"key-{i}", DIGESTS)
        if before != "h3":
            assert rendezvous.select_name(f"key-{i}", rest) == before


def test_selected_name_is_ranked_first():
    for i in range(100):
        names = rendezvous.rank_names(f"key-{i}", DIGESTS, 3)
        assert names[0] == rendezvous.select_name(f"key-{i}", DIGESTS)
        assert len(set(names)) == 3
