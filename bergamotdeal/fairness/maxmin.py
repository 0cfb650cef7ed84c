"""Weighted max-min allocation of a capacity."""

from collections.abc import Mapping
import math


def compute_level(demands: list[tuple[float, float]], capacity: float) -> float:
    """Returns the allocation per unit of weight at which capacity is used up.

    Each demand gets the minimum of itself and its weight times the level. If
    all demands fit, the level is raised above the highest one by what is left.

    Args:
      demands: Demands and their positive weights.
      capacity: Capacity to allocate, in the unit of the demands.
    """
    if not demands:
        return math.inf
    remaining = max(0.0, capacity)
    weight_left = sum(weight for _, weight in demands)
    ordered = sorted(demands, key=_get_normalised_demand)
    for demand, weight in ordered:
        if demand * weight_left >= remaining * weight:
            return remaining / weight_left
        remaining -= demand
        weight_left -= weight
    total_weight = sum(weight for _, weight in demands)
    return _get_normalised_demand(ordered[-1]) + remaining / total_weight


def allocate(
    demands_by_name: Mapping[str, float],
    capacity: float,
    weights_by_name: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Divides a capacity by weighted max-min fairness.

    No name gets more than its demand, and what a name doesn't need is divided
    among the others by their weights.

    Args:
      demands_by_name: Demands, not negative.
      capacity: Capacity to divide, in the unit of the demands.
      weights_by_name: Positive weights; 1.0 where a name is missing.

    Returns:
      The allocation of each name.
    """
    weights = weights_by_name or {}
    level = compute_level(
        [
            (demand, weights.get(name, 1.0))
            for name, demand in demands_by_name.items()
        ],
        capacity,
    )
    return {
        name: min(demand, level * weights.get(name, 1.0))
        for name, demand in demands_by_name.items()
    }


def _get_normalised_demand(entry: tuple[float, float]) -> float:
    demand, weight = entry
    return demand / weight
