"""Bounds on long triggers, deep chains and several servers."""

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
    return report.run(dataclasses.replace(scenario, after_s=AFTER_S))


def test_a_long_trigger_leaves_nothing_behind():
    result = _run(scenarios.low(trigger_s=60.0))
    assert result.goodput >= GOODPUT_MIN
    assert result.wasted < WASTED_MAX
    assert result.recovery_s is not None
    assert result.recovery_s <= RECOVERY_MAX_S
    assert result.critical >= CRITICAL_MIN


@pytest.mark.parametrize("load", [scenarios.low, scenarios.high])
def test_a_chain_of_eight_recovers(load):
    result = _run(scenarios.deep(load(), 8))
    assert result.goodput >= GOODPUT_MIN
    assert result.recovery_s is not None
    assert result.recovery_s <= RECOVERY_MAX_S
    assert result.critical >= CRITICAL_MIN


def test_several_servers_and_entries_that_see_a_part_each():
    result = _run(scenarios.many(scenarios.low()))
    assert result.goodput >= GOODPUT_MIN
    assert result.wasted < WASTED_MAX
    assert result.recovery_s is not None
    assert result.critical >= CRITICAL_MIN
