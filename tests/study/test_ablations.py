"""Effect of each admission rule on a simulated chain under overload."""

import dataclasses

import pytest

from standins.study import report
from standins.study import scenarios

AFTER_S = 5.0


def _run(scenario):
    return report.run_scenario(dataclasses.replace(scenario, after_s=AFTER_S))


@pytest.mark.parametrize("load", [scenarios.low, scenarios.high])
def test_chain_without_control_stays_collapsed_after_overload(load):
    result = _run(scenarios.without_control(load()))
    assert result.goodput < 0.6
    assert result.wasted_work_share > 0.5
    assert result.recovery_s is None


def test_chain_without_feedback_wastes_more_work():
    full = _run(scenarios.high())
    ablated = _run(scenarios.without_rule(scenarios.high(), "feedback"))
    assert ablated.wasted_work_share > 5 * full.wasted_work_share


def test_chain_without_class_order_loses_critical_requests():
    ablated = _run(scenarios.without_rule(scenarios.high(), "class_order"))
    assert ablated.critical_completion_share < 0.5


def test_chain_without_consistent_hash_wastes_more_work():
    full = _run(scenarios.high())
    ablated = _run(scenarios.without_rule(scenarios.high(), "consistent_hash"))
    assert ablated.wasted_work_share > 2 * full.wasted_work_share


def test_adapted_limit_under_contention_raises_goodput():
    scenario = scenarios.contention(trigger_s=30.0)
    full = _run(scenario)
    ablated = _run(scenarios.without_rule(scenario, "adapt_limit"))
    assert full.goodput > ablated.goodput + 0.1
