"""The token bucket of re-sends, under the loads that empty it."""

import random

import pytest

from bergamotdeal.presets import model
from bergamotdeal.retries import budget

POLICY = model.RetryPolicy(ratio=0.2, burst=4)
BY_PROGRESS = model.RetryPolicy(ratio=0.2, burst=4, by_progress=True)


def drained(bucket, service):
    count = 0
    while bucket.try_acquire_retry(service, prior_calls=100):
        count += 1
    return count


def test_bucket_is_full_at_first_and_refilled_by_first_sendings():
    bucket = budget.RetryBudget(policy=POLICY)
    assert drained(bucket, "line") == 4
    for _ in range(10):
        bucket.record_first_attempt("line")
    assert drained(bucket, "line") == 2


def test_services_have_buckets_of_their_own():
    bucket = budget.RetryBudget(policy=POLICY)
    drained(bucket, "line")
    assert bucket.try_acquire_retry("desk")


def test_first_call_of_a_run_leaves_the_tokens_to_later_ones():
    bucket = budget.RetryBudget(policy=BY_PROGRESS)
    assert bucket.try_acquire_retry("line", prior_calls=0)
    assert bucket.try_acquire_retry("line", prior_calls=0)
    assert not bucket.try_acquire_retry("line", prior_calls=0)
    assert bucket.try_acquire_retry("line", prior_calls=3)
    assert not bucket.try_acquire_retry("line", prior_calls=1)
    assert drained(bucket, "line") == 1


@pytest.mark.parametrize("burst", [0.5, 1, 2, 48 / 14])
def test_full_bucket_serves_every_call(burst):
    policy = model.RetryPolicy(ratio=0.2, fleet_burst=48, by_progress=True)
    bucket = budget.RetryBudget(policy=policy)
    bucket.set_node_count(round(48 / burst))
    whole = 48 / round(48 / burst) >= 1
    assert bucket.try_acquire_retry("line", prior_calls=0) is whole


# All servers of the deepest service reject half of their calls at random: the
# budget covers a fraction, and what it covers must complete whole runs.


def completed_runs(policy, *, calls=4, rejected=0.55, sendings=3):
    rng = random.Random(5)
    bucket = budget.RetryBudget(policy=policy)
    in_progress = []
    completed = 0
    for _ in range(4000):
        in_progress.append(0)
        still = []
        for done in in_progress:
            bucket.record_first_attempt("line")
            accepted = rng.random() > rejected
            for _ in range(sendings - 1):
                if accepted or not bucket.try_acquire_retry(
                    "line", prior_calls=done
                ):
                    break
                accepted = rng.random() > rejected
            if not accepted:
                continue
            if done + 1 == calls:
                completed += 1
            else:
                still.append(done + 1)
        in_progress = still
    return completed


def test_servers_that_reject_half_complete_more_runs_by_progress():
    assert completed_runs(BY_PROGRESS) > 1.3 * completed_runs(POLICY)
