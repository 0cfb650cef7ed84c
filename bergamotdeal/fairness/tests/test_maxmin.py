"""Tests of the weighted max-min allocation."""

import hypothesis
from hypothesis import strategies
import pytest

from bergamotdeal.fairness import maxmin
from bergamotdeal.fairness import weights
from bergamotdeal.presets import model

_DEMANDS = strategies.dictionaries(
    strategies.text(max_size=3), strategies.floats(0.0, 1e6), max_size=12
)


def test_small_demands_are_met_and_the_rest_is_divided():
    allocations = maxmin.allocate({"a": 1.0, "b": 4.0, "c": 9.0}, 9.0)
    assert allocations == {"a": 1.0, "b": 4.0, "c": 4.0}


def test_weights_scale_the_parts():
    allocations = maxmin.allocate(
        {"a": 10.0, "b": 10.0}, 9.0, {"a": 2.0, "b": 1.0}
    )
    assert allocations == pytest.approx({"a": 6.0, "b": 3.0})


# An allocation above the demand would waste capacity, one below the level
# while another is above it would be unfair.


@hypothesis.given(
    demands=_DEMANDS,
    capacity=strategies.floats(0.0, 1e6),
    weight=strategies.floats(0.1, 10.0),
)
def test_allocation_is_feasible_complete_and_fair(demands, capacity, weight):
    given = dict.fromkeys(list(demands)[::2], weight)
    allocations = maxmin.allocate(demands, capacity, given)
    total = sum(allocations.values())
    assert total == pytest.approx(
        min(capacity, sum(demands.values())), rel=1e-6, abs=1e-6
    )
    cut = [
        allocations[name] / given.get(name, 1.0)
        for name in demands
        if allocations[name] < demands[name] * (1 - 1e-9)
    ]
    highest = max(
        (allocations[n] / given.get(n, 1.0) for n in demands), default=0.0
    )
    for level in cut:
        assert level == pytest.approx(highest, rel=1e-6, abs=1e-6)


def test_weights_follow_the_caps():
    organisations = [
        model.Organisation(name="a", rate_per_s=30.0),
        model.Organisation(name="b", rate_per_s=10.0),
        model.Organisation(name="c"),
    ]
    assert weights.compute_weights(organisations) == {
        "a": 1.5,
        "b": 0.5,
        "c": 1.0,
    }
