"""What each admission rule is worth in the study."""

import dataclasses

import pytest

from standins.study import report
from standins.study import scenarios

AFTER_S = 5.0


def _run(scenario):
    return report.run(dataclasses.replace(scenario, after_s=AFTER_S))


@pytest.mark.parametrize("load", [scenarios.low, scenarios.high])
def test_without_control_the_chain_stays_collapsed(load):
    result = _run(scenarios.off(load()))
    assert result.goodput < 0.6
    assert result.wasted > 0.5
    assert result.recovery_s is None


def test_without_feedback_work_is_wasted():
    full = _run(scenarios.high())
    ablated = _run(scenarios.without(scenarios.high(), "feedback"))
    assert ablated.wasted > 5 * full.wasted


def test_without_class_order_critical_work_is_lost():
    ablated = _run(scenarios.without(scenarios.high(), "class_order"))
    assert ablated.critical < 0.5


def test_without_the_same_hash_everywhere_work_is_wasted():
    full = _run(scenarios.high())
    ablated = _run(scenarios.without(scenarios.high(), "consistent_hash"))
    assert ablated.wasted > 2 * full.wasted


def test_contention_is_answered_by_a_lower_limit():
    scenario = scenarios.contended(trigger_s=30.0)
    full = _run(scenario)
    ablated = _run(scenarios.without(scenario, "adapt_limit"))
    assert full.goodput > ablated.goodput + 0.1
