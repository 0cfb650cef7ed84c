"""Every fault at every step of a drain and of a join, under traffic."""

import enum
import random

import pytest

from standins import checked_callers
from standins import checked_faults
from standins import checked_fleet
from standins import checker
from standins import ledger

Fault = checked_faults.Fault

_CALLERS = 60
_TRAFFIC_S = 2.0
_OPERATION_AT_S = 1.0
_SETTLE_S = 30.0
_SERVER_HOST = "middle-0"


class DrainStep(enum.Enum):
    """Injection times in seconds after the drain request."""

    ASKED = 0.0
    WAITING_FOR_RUNS = 0.015
    LEAVING = 0.15
    GONE = 1.0


class JoinStep(enum.Enum):
    """Injection times in seconds after the new node's start."""

    STARTED = 0.0
    FIRST_CALLS = 0.02
    WARM = 0.4


def make_fleet(seed):
    checked = checked_fleet.CheckedFleet(seed=seed)
    rng = random.Random(seed)
    callers = []
    for number in range(_CALLERS):
        path = rng.choice(
            (
                checked_fleet.BROWSE_PATH,
                checked_fleet.BOOK_PATH,
                checked_fleet.MIXED_PATH,
            )
        )
        caller = checked_callers.Caller(
            checked=checked,
            key=f"caller-{number}",
            path=path,
            repeatable=path != checked_fleet.BOOK_PATH,
        )
        checked.after(rng.uniform(0.1, _TRAFFIC_S), caller.send)
        callers.append(caller)
    return checked, checked_faults.FaultInjector(checked=checked), callers


def assert_promises_hold(checked, callers):
    assert checker.check(checked.entries) == []
    assert [c.key for c in callers if not c.done] == []


@pytest.mark.parametrize("fault", Fault, ids=lambda f: f.value)
@pytest.mark.parametrize("step", DrainStep, ids=lambda s: s.name)
@pytest.mark.parametrize("host_id", [_SERVER_HOST, "gate-0"])
def test_fault_during_drain_keeps_promises(host_id, step, fault):
    checked, faults, callers = make_fleet(seed=7)
    checked.after(_OPERATION_AT_S, lambda: faults.drain(host_id))
    checked.after(
        _OPERATION_AT_S + step.value,
        lambda: faults.inject(fault, host_id, callers[0]),
    )
    checked.run_for(_TRAFFIC_S + _SETTLE_S)
    assert_promises_hold(checked, callers)
    drain_requests = [
        e for e in checked.entries if isinstance(e, ledger.DrainAsked)
    ]
    assert drain_requests


@pytest.mark.parametrize("fault", Fault, ids=lambda f: f.value)
@pytest.mark.parametrize("step", JoinStep, ids=lambda s: s.name)
def test_fault_during_join_keeps_promises(step, fault):
    checked, faults, callers = make_fleet(seed=8)
    new_host = "deep-11"
    checked.after(_OPERATION_AT_S, lambda: faults.join_host("deep"))
    checked.after(
        _OPERATION_AT_S + step.value + 1e-6,
        lambda: faults.inject(fault, new_host, callers[0]),
    )
    checked.run_for(_TRAFFIC_S + _SETTLE_S)
    assert_promises_hold(checked, callers)
    assert new_host in checked.fleet.nodes_by_id


def test_joined_host_runs_requests():
    checked, faults, callers = make_fleet(seed=8)
    checked.after(_OPERATION_AT_S, lambda: faults.join_host("deep"))
    checked.run_for(_TRAFFIC_S + _SETTLE_S)
    assert_promises_hold(checked, callers)
    hosts = {
        e.host_id for e in checked.entries if isinstance(e, ledger.RunStarted)
    }
    assert "deep-11" in hosts
