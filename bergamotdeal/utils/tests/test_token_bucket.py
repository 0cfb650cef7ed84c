"""Tests of the token bucket with an injected clock."""

import pytest

from bergamotdeal.utils import token_bucket


def test_bucket_grants_the_capacity_plus_the_rate():
    bucket = token_bucket.TokenBucket(rate=1.0, capacity=60, now=0.0)
    granted = sum(bucket.try_acquire(now / 100) for now in range(600 * 100))
    assert 60 + 590 <= granted <= 60 + 600


def test_bucket_refills_only_as_the_clock_advances():
    bucket = token_bucket.TokenBucket(rate=2 / 60, capacity=2, now=5.0)
    assert [bucket.try_acquire(5.0) for _ in range(4)] == [
        True,
        True,
        False,
        False,
    ]
    assert not bucket.try_acquire(4.0)
    assert bucket.try_acquire(35.0)


def test_next_token_is_there_when_announced():
    bucket = token_bucket.TokenBucket(rate=0.3, capacity=1, now=7.0)
    for _ in range(100):
        now = bucket.next_token_at()
        assert not bucket.has_token(now - 0.01) or now == 7.0
        assert bucket.try_acquire(now)


def test_changed_rate_keeps_the_tokens_that_fit():
    bucket = token_bucket.TokenBucket(rate=1.0, capacity=9, now=0.0)
    bucket.set_rate(0.5, capacity=2, now=0.0)
    assert [bucket.try_acquire(0.0) for _ in range(3)] == [True, True, False]
    assert bucket.next_token_at() == pytest.approx(2.0)
