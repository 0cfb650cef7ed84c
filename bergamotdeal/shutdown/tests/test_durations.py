"""Estimates of how long requests take."""

import random

import pytest

from bergamotdeal.shutdown import durations


def test_unknown_route_has_no_estimate():
    estimator = durations.DurationEstimator()
    estimator.record("other", 1.0)
    assert estimator.estimate_s("book") is None


def test_steady_durations_are_estimated_closely():
    estimator = durations.DurationEstimator()
    for _ in range(40):
        estimator.record("book", 1.8)
    assert estimator.estimate_s("book") == pytest.approx(1.8, rel=0.01)


@pytest.mark.parametrize("seed", range(5))
def test_estimate_covers_nearly_all_varying_durations(seed):
    rng = random.Random(seed)
    estimator = durations.DurationEstimator()
    covered = 0
    for number in range(1100):
        duration_s = rng.lognormvariate(-1.0, 0.4)
        if number >= 100:
            covered += duration_s <= estimator.estimate_s("book")
        estimator.record("book", duration_s)
    assert covered >= 950


# Guards against a server that slows down and is still judged by its past.
def test_estimate_follows_a_server_that_slows_down():
    estimator = durations.DurationEstimator()
    for duration_s in (0.1,) * 100 + (1.0,) * 3:
        estimator.record("book", duration_s)
    assert estimator.estimate_s("book") > 1.0


def test_number_of_routes_is_bounded():
    estimator = durations.DurationEstimator()
    for number in range(2 * durations._MAX_ROUTES):
        estimator.record(f"r{number}", 1.0)
    assert len(estimator._durations_by_route) <= durations._MAX_ROUTES
