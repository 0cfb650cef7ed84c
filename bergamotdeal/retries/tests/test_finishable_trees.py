"""Call trees that finish within the retry budget while servers reject calls.

Load: every server of the deepest service rejects half of what arrives at
random, and each tree makes four calls to it in sequence.
"""

import heapq
import itertools
import random

import pytest

from bergamotdeal.presets import model
from bergamotdeal.retries import server_budget

_CALLS = 4
_REJECTED = 0.5
_SERVERS = 4
_TREES_PER_S = 200.0
_WARM_UP_S = 20.0
_SECONDS = 60.0
_RETRY_S = 0.01
_BETWEEN_CALLS_S = 0.05


def compute_finishable_share(ratio):
    """Returns the share of trees that finish at most within the budget.

    Repeats are worth most in the last calls of a tree. So all rejected calls
    of the last stages are repeated until they succeed, a part of those of the
    stage before, and none of the others; the greatest part within the budget
    is the bound.
    """
    accepted = 1.0 - _REJECTED
    best = 0.0
    for full_stages in range(_CALLS + 1):
        for part in (step / 1000 for step in range(1001)):
            trees, first_attempts, repeats = 1.0, 0.0, 0.0
            for stage in range(_CALLS):
                first_attempts += trees
                stages_left = _CALLS - stage
                if stages_left <= full_stages:
                    repeated = 1.0
                elif stages_left == full_stages + 1:
                    repeated = part
                else:
                    repeated = 0.0
                repeats += repeated * trees * _REJECTED / accepted
                trees *= accepted + repeated * _REJECTED
            if repeats <= ratio * first_attempts:
                best = max(best, trees)
    return best


def _measure_finished_share(
    ratio, *, by_progress=True, sees_tree=True, admitted_share=1.0
):
    """Returns the share of the offered trees that finish."""
    rng = random.Random(1)
    policy = model.RetryPolicy(
        ratio=ratio, fleet_burst=48, by_progress=by_progress
    )
    budgets = [
        server_budget.ServerRetryBudget(policy=policy) for _ in range(_SERVERS)
    ]
    for budget in budgets:
        budget.set_server_count(_SERVERS)
    numbers = itertools.count()
    events = []
    now = 0.0
    offered = finished = 0
    while now < _SECONDS:
        now += rng.expovariate(_TREES_PER_S)
        offered += now > _WARM_UP_S
        if rng.random() < admitted_share:
            events.append((now, next(numbers), now, 0, False))
    heapq.heapify(events)
    while events:
        now, _, began_at, done_calls, is_repeat = heapq.heappop(events)
        budget = rng.choice(budgets)
        if not is_repeat:
            budget.record_first_attempt(now)
        elif not budget.try_acquire(
            now, prior_calls=done_calls if sees_tree else 0
        ):
            continue
        if rng.random() < _REJECTED:
            then = (now + _RETRY_S, next(numbers), began_at, done_calls, True)
        elif done_calls + 1 == _CALLS:
            finished += began_at > _WARM_UP_S
            continue
        else:
            at = now + _BETWEEN_CALLS_S
            then = (at, next(numbers), began_at, done_calls + 1, False)
        heapq.heappush(events, then)
    return finished / offered


@pytest.mark.parametrize("ratio", [0.1, 0.2])
def test_finished_share_is_close_to_what_the_budget_can_finish(ratio):
    bound = compute_finishable_share(ratio)
    measured = _measure_finished_share(ratio)
    assert 0.85 * bound <= measured <= 1.02 * bound


# A deep node that doesn't see the calls of the runs above spends the tokens on
# trees that have just begun.


@pytest.mark.parametrize("ratio", [0.1, 0.2])
def test_progress_of_the_tree_finishes_more_trees(ratio):
    seen = _measure_finished_share(ratio)
    assert seen > 1.3 * _measure_finished_share(ratio, by_progress=False)
    assert seen > 1.3 * _measure_finished_share(ratio, sees_tree=False)


# The budget is a part of the first attempts, so entries that admit fewer trees
# lower it, too: the share of the admitted trees that finish stays the same.


def test_fewer_admitted_trees_finish_fewer():
    half = _measure_finished_share(0.1, admitted_share=0.5)
    assert half < 0.6 * _measure_finished_share(0.1)
