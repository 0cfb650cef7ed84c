"""Tests of the retry budget."""

import random

from bergamotdeal.presets import model
from bergamotdeal.retries import budget

POLICY = model.RetryPolicy(ratio=0.2, burst=4)
BY_PROGRESS = model.RetryPolicy(ratio=0.2, burst=4, by_progress=True)


def drain_bucket(bucket, service):
    count = 0
    while bucket.try_acquire_retry(service, prior_calls=100):
        count += 1
    return count


def test_bucket_starts_full_and_is_refilled_by_first_attempts():
    bucket = budget.RetryBudget(policy=POLICY)
    assert drain_bucket(bucket, "line") == 4
    for _ in range(10):
        bucket.record_first_attempt("line")
    assert drain_bucket(bucket, "line") == 2


def test_each_service_has_its_own_bucket():
    bucket = budget.RetryBudget(policy=POLICY)
    drain_bucket(bucket, "line")
    assert bucket.try_acquire_retry("desk")


def test_first_call_of_a_run_leaves_reserved_tokens_to_later_calls():
    bucket = budget.RetryBudget(policy=BY_PROGRESS)
    assert bucket.try_acquire_retry("line", prior_calls=0)
    assert bucket.try_acquire_retry("line", prior_calls=0)
    assert not bucket.try_acquire_retry("line", prior_calls=0)
    assert bucket.try_acquire_retry("line", prior_calls=3)
    assert not bucket.try_acquire_retry("line", prior_calls=1)
    assert drain_bucket(bucket, "line") == 1


def test_budget_of_the_fleet_is_left_to_the_servers_nodes():
    policy = model.RetryPolicy(ratio=0.2, burst=1, fleet_burst=48)
    bucket = budget.RetryBudget(policy=policy)
    assert all(bucket.try_acquire_retry("line") for _ in range(100))


# All servers of the deepest service reject half of their calls at random. The
# budget covers only some retries; these must go to runs that can complete.


def count_completed_runs(
    policy, *, calls_per_run=4, rejection_rate=0.55, max_attempts=3
):
    rng = random.Random(5)
    bucket = budget.RetryBudget(policy=policy)
    in_progress = []
    completed = 0
    for _ in range(4000):
        in_progress.append(0)
        continuing = []
        for prior_calls in in_progress:
            bucket.record_first_attempt("line")
            is_accepted = rng.random() > rejection_rate
            for _ in range(max_attempts - 1):
                if is_accepted or not bucket.try_acquire_retry(
                    "line", prior_calls=prior_calls
                ):
                    break
                is_accepted = rng.random() > rejection_rate
            if not is_accepted:
                continue
            if prior_calls + 1 == calls_per_run:
                completed += 1
            else:
                continuing.append(prior_calls + 1)
        in_progress = continuing
    return completed


def test_by_progress_completes_more_runs_when_servers_reject_half():
    assert count_completed_runs(BY_PROGRESS) > 1.3 * count_completed_runs(
        POLICY
    )
