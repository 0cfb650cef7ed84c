"""Bounds on goodput and recovery under long triggers and in large chains."""

import dataclasses

import pytest

from standins.study import report
from standins.study import scenarios

GOODPUT_MIN = 0.95
WASTED_MAX = 0.02
RECOVERY_MAX_S = 1.0
CRITICAL_MIN = 0.99
AFTER_S = 5.0


def _run(scenario):
    return report.run_scenario(dataclasses.replace(scenario, after_s=AFTER_S))


def test_chain_after_long_trigger_recovers():
    result = _run(scenarios.low(trigger_s=60.0))
    assert result.goodput >= GOODPUT_MIN
    assert result.wasted_work_share < WASTED_MAX
    assert result.recovery_s is not None
    assert result.recovery_s <= RECOVERY_MAX_S
    assert result.critical_completion_share >= CRITICAL_MIN


@pytest.mark.parametrize("load", [scenarios.low, scenarios.high])
def test_chain_of_eight_tiers_recovers(load):
    result = _run(scenarios.with_depth(load(), 8))
    assert result.goodput >= GOODPUT_MIN
    assert result.recovery_s is not None
    assert result.recovery_s <= RECOVERY_MAX_S
    assert result.critical_completion_share >= CRITICAL_MIN


def test_chain_with_several_servers_and_entries_recovers():
    result = _run(scenarios.with_many_servers(scenarios.low()))
    assert result.goodput >= GOODPUT_MIN
    assert result.wasted_work_share < WASTED_MAX
    assert result.recovery_s is not None
    assert result.critical_completion_share >= CRITICAL_MIN
