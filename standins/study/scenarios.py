"""Scenarios of the comparison and variants of them."""

import dataclasses

import msgspec

from bergamotdeal.presets import model as presets
from standins.study import model

_LOW_TIERS = (
    model.Tier(slots=50, service_s=0.005),
    model.Tier(slots=80, service_s=0.005),
    model.Tier(slots=80, service_s=0.005),
    model.Tier(slots=15, service_s=0.15),
)
_HIGH_TIERS = (
    model.Tier(slots=150, service_s=0.005),
    model.Tier(slots=150, service_s=0.005),
    model.Tier(slots=150, service_s=0.005),
    model.Tier(slots=24, service_s=0.02),
)

RULES = (
    "adapt_limit",
    "class_order",
    "consistent_hash",
    "feedback",
    "slow_start",
    "check_deadlines",
)


def low(**changes) -> model.Scenario:
    """Returns the low load: 60 user requests per second."""
    scenario = model.Scenario(
        name="full", tiers=_LOW_TIERS, arrival_rate_per_s=60.0, deadline_s=2.0
    )
    return dataclasses.replace(scenario, **changes)


def high(**changes) -> model.Scenario:
    """Returns the high load: 800 user requests per second."""
    scenario = model.Scenario(
        name="full", tiers=_HIGH_TIERS, arrival_rate_per_s=800.0
    )
    return dataclasses.replace(scenario, **changes)


def with_depth(scenario: model.Scenario, depth: int) -> model.Scenario:
    """Returns a scenario whose chain is longer; the bottleneck stays last.

    Args:
      scenario: Scenario to change.
      depth: Number of tiers of the new chain.
    """
    upper_tiers = scenario.tiers[:-1]
    upper_count = depth - 1
    tiers = (upper_tiers * (upper_count // len(upper_tiers) + 1))[:upper_count]
    return dataclasses.replace(scenario, tiers=(*tiers, scenario.tiers[-1]))


def with_many_servers(scenario: model.Scenario) -> model.Scenario:
    """Returns a scenario with 4 servers per tier and 12 entry nodes."""
    servers = 4
    return dataclasses.replace(
        scenario,
        name="4 servers, 12 entries",
        servers_per_tier=servers,
        entries=12,
        arrival_rate_per_s=servers * scenario.arrival_rate_per_s,
    )


def without_control(scenario: model.Scenario) -> model.Scenario:
    """Returns a scenario without control, with 3 attempts at every tier."""
    return dataclasses.replace(
        scenario,
        name="off",
        policy=presets.AdmissionPolicy(limits=False, feedback=False),
        max_attempts=3,
        propagates_cancellation=False,
    )


def without_rule(scenario: model.Scenario, rule: str) -> model.Scenario:
    """Returns a scenario with one admission rule disabled."""
    policy = msgspec.structs.replace(scenario.policy, **{rule: False})
    return dataclasses.replace(scenario, name=f"without {rule}", policy=policy)


def contention(**changes) -> model.Scenario:
    """Returns a surge on a server with contention above half its slots."""
    scenario = high(
        name="contention",
        slowdown_factor=1.0,
        knee_concurrency=_HIGH_TIERS[-1].slots // 2,
        arrival_rate_per_s=400.0,
        trigger_s=60.0,
    )
    return dataclasses.replace(scenario, **changes)


def cold_start(**changes) -> model.Scenario:
    """Returns a start on cold servers; see ``steady_completion_share``."""
    scenario = high(
        name="cold start",
        slowdown_factor=1.0,
        surge_factor=1.0,
        warm_up_s=0.0,
        trigger_s=0.5,
        cold_start_s=1.0,
    )
    return dataclasses.replace(scenario, **changes)


def tight_deadlines(**changes) -> model.Scenario:
    """Returns the low load with deadlines close to the slowed service time."""
    scenario = low(name="tight deadlines", deadline_s=0.7)
    return dataclasses.replace(scenario, **changes)
