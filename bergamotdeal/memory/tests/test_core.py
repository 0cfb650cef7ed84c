"""Tests of the limit on the bytes of bodies."""

from bergamotdeal.memory import core

MB = 1024 * 1024


def build_memory(capacity_bytes, *held_bytes):
    memory = core.BodyMemory(capacity_bytes=capacity_bytes)
    for held in held_bytes:
        memory.add_holder(lambda held=held: held)
    return memory


def test_bytes_of_all_holders_count():
    memory = build_memory(100, 30, 40)
    assert memory.used_bytes == 70
    assert memory.has_room(30)
    assert not memory.has_room(31)
    assert not memory.is_full
    assert build_memory(70, 30, 40).is_full


def test_less_important_class_is_refused_first():
    shares = [core.compute_share(rank, 3) for rank in range(4)]
    assert shares[0] == 1.0
    assert shares == sorted(shares, reverse=True)
    memory = build_memory(90, 60)
    assert memory.has_room(20, share=shares[0])
    assert not memory.has_room(20, share=shares[2])


def test_unknown_class_has_the_least_share():
    assert core.compute_share(2, 2) == core.LEAST_SHARE
    assert core.compute_share(0, 0) == 1.0


def test_body_larger_than_the_capacity_passes_alone():
    assert build_memory(10, 0).has_room(50)
    assert not build_memory(10, 1).has_room(50)


def test_capacity_leaves_the_larger_part_of_the_memory():
    assert core.compute_capacity(200 * MB) == int(0.4 * 136 * MB)
    assert core.compute_capacity(32 * MB) == core.MIN_CAPACITY_BYTES
