"""The scenarios of the comparison."""

import dataclasses

from bergamotdeal.presets import model as presets
from standins.study import model

_LOW_LEVELS = (
    model.Level(slots=50, service_s=0.005),
    model.Level(slots=80, service_s=0.005),
    model.Level(slots=80, service_s=0.005),
    model.Level(slots=15, service_s=0.15),
)
_HIGH_LEVELS = (
    model.Level(slots=150, service_s=0.005),
    model.Level(slots=150, service_s=0.005),
    model.Level(slots=150, service_s=0.005),
    model.Level(slots=24, service_s=0.02),
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
    """Returns the scenario of about 60 requests per second."""
    scenario = model.Scenario(
        name="full", levels=_LOW_LEVELS, demand=60.0, deadline_s=2.0
    )
    return dataclasses.replace(scenario, **changes)


def high(**changes) -> model.Scenario:
    """Returns the scenario of about 800 requests per second."""
    scenario = model.Scenario(name="full", levels=_HIGH_LEVELS, demand=800.0)
    return dataclasses.replace(scenario, **changes)


def deep(scenario: model.Scenario, depth: int) -> model.Scenario:
    """Returns a scenario with more levels above the deepest."""
    above = scenario.levels[:-1]
    count = depth - 1
    levels = (above * (count // len(above) + 1))[:count]
    return dataclasses.replace(scenario, levels=(*levels, scenario.levels[-1]))


def many(scenario: model.Scenario) -> model.Scenario:
    """Returns a scenario with four servers a service and twelve entries."""
    servers = 4
    return dataclasses.replace(
        scenario,
        name="4 servers, 12 entries",
        servers=servers,
        entries=12,
        demand=servers * scenario.demand,
    )


def off(scenario: model.Scenario) -> model.Scenario:
    """Returns a scenario without control: three tries at every level."""
    return dataclasses.replace(
        scenario,
        name="off",
        policy=presets.AdmissionPolicy(limits=False, feedback=False),
        tries=3,
        cancels=False,
    )


def without(scenario: model.Scenario, rule: str) -> model.Scenario:
    """Returns a scenario with one rule switched off."""
    policy = dataclasses.replace(scenario.policy, **{rule: False})
    return dataclasses.replace(scenario, name=f"without {rule}", policy=policy)


def contended(**changes) -> model.Scenario:
    """Returns a surge on a server that contends above half of its slots."""
    scenario = high(
        name="contention",
        slowdown=1.0,
        knee=_HIGH_LEVELS[-1].slots // 2,
        demand=400.0,
        trigger_s=60.0,
    )
    return dataclasses.replace(scenario, **changes)


def cold(**changes) -> model.Scenario:
    """Returns a calm start on cold servers; ``calm`` is its figure."""
    scenario = high(
        name="cold start",
        slowdown=1.0,
        surge=1.0,
        warm_s=0.0,
        trigger_s=0.5,
        cold_s=1.0,
    )
    return dataclasses.replace(scenario, **changes)


def tight(**changes) -> model.Scenario:
    """Returns the low load with deadlines close to the slowed run time."""
    scenario = low(name="tight deadlines", deadline_s=0.7)
    return dataclasses.replace(scenario, **changes)
