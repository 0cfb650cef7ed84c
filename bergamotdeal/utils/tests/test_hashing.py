"""Tests of the shedding order hashes."""

from bergamotdeal.utils import hashing


def test_hash_share_is_deterministic_and_uniform():
    shares = [hashing.hash_share(f"request-{i}") for i in range(4000)]
    assert shares == [hashing.hash_share(f"request-{i}") for i in range(4000)]
    assert all(0.0 <= share < 1.0 for share in shares)
    for tenth in range(10):
        count = sum(tenth / 10 <= share < (tenth + 1) / 10 for share in shares)
        assert 300 < count < 500


def test_job_hash_share_is_uniform():
    shares = [hashing.job_hash_share(i) for i in range(4000)]
    assert all(0.0 <= share < 1.0 for share in shares)
    assert 1800 < sum(share < 0.5 for share in shares) < 2200
