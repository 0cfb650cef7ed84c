"""Bounds on goodput, waste and recovery of a simulated chain."""

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


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("load", [scenarios.low, scenarios.high])
def test_chain_under_overload_completes_requests_and_recovers(load, seed):
    result = _run(load(seed=seed))
    assert result.steady_completion_share == 1.0
    assert result.goodput >= GOODPUT_MIN
    assert result.wasted_work_share < WASTED_MAX
    assert result.recovery_s is not None
    assert result.recovery_s <= RECOVERY_MAX_S
    assert result.critical_completion_share >= CRITICAL_MIN


@pytest.mark.parametrize("load", [scenarios.low, scenarios.high])
def test_chain_after_short_trigger_recovers(load):
    result = _run(load(trigger_s=0.5))
    assert result.wasted_work_share < WASTED_MAX
    assert result.recovery_s is not None
    assert result.recovery_s <= RECOVERY_MAX_S


def test_run_with_same_seed_gives_same_result():
    scenario = scenarios.low(seed=7)
    assert _run(scenario) == _run(scenario)
