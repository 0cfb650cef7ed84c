"""Every fault at every step of a drain and of a join, under traffic."""

import enum
import random

import pytest

from standins import checker
from standins import judged as judged_fleet
from standins import judged_callers
from standins import judged_faults
from standins import ledger

Fault = judged_faults.Fault

_CALLERS = 60
_TRAFFIC_S = 2.0
_OPERATION_AT_S = 1.0
_SETTLE_S = 30.0
_HOST = "middle-0"


class DrainStep(enum.Enum):
    """Seconds after the drain was asked for."""

    ASKED = 0.0
    WAITING_FOR_RUNS = 0.015
    LEAVING = 0.15
    GONE = 1.0


class JoinStep(enum.Enum):
    """Seconds after the new node's start."""

    STARTED = 0.0
    FIRST_CALLS = 0.02
    WARM = 0.4


def make_fleet(seed):
    judged = judged_fleet.JudgedFleet(seed=seed)
    rng = random.Random(seed)
    callers = []
    for number in range(_CALLERS):
        path = rng.choice(
            (
                judged_fleet.BROWSE_PATH,
                judged_fleet.BOOK_PATH,
                judged_fleet.MIXED_PATH,
            )
        )
        caller = judged_callers.Caller(
            judged=judged,
            key=f"caller-{number}",
            path=path,
            repeatable=path != judged_fleet.BOOK_PATH,
        )
        judged.after(rng.uniform(0.1, _TRAFFIC_S), caller.send)
        callers.append(caller)
    return judged, judged_faults.Faults(judged=judged), callers


def assert_all_well(judged, callers):
    assert checker.check(judged.entries) == []
    assert [c.key for c in callers if not c.done] == []


@pytest.mark.parametrize("fault", Fault, ids=lambda f: f.value)
@pytest.mark.parametrize("step", DrainStep, ids=lambda s: s.name)
@pytest.mark.parametrize("host_id", [_HOST, "gate-0"])
def test_fault_during_drain(host_id, step, fault):
    judged, faults, callers = make_fleet(seed=7)
    judged.after(_OPERATION_AT_S, lambda: faults.drain(host_id))
    judged.after(
        _OPERATION_AT_S + step.value,
        lambda: faults.inject(fault, host_id, callers[0]),
    )
    judged.run_for(_TRAFFIC_S + _SETTLE_S)
    assert_all_well(judged, callers)
    asked = [e for e in judged.entries if isinstance(e, ledger.DrainAsked)]
    assert asked


@pytest.mark.parametrize("fault", Fault, ids=lambda f: f.value)
@pytest.mark.parametrize("step", JoinStep, ids=lambda s: s.name)
def test_fault_during_join(step, fault):
    judged, faults, callers = make_fleet(seed=8)
    new_host = "deep-11"
    judged.after(_OPERATION_AT_S, lambda: faults.join("deep"))
    judged.after(
        _OPERATION_AT_S + step.value + 1e-6,
        lambda: faults.inject(fault, new_host, callers[0]),
    )
    judged.run_for(_TRAFFIC_S + _SETTLE_S)
    assert_all_well(judged, callers)
    assert new_host in judged.fleet.nodes_by_id


def test_new_host_takes_work():
    judged, faults, callers = make_fleet(seed=8)
    judged.after(_OPERATION_AT_S, lambda: faults.join("deep"))
    judged.run_for(_TRAFFIC_S + _SETTLE_S)
    assert_all_well(judged, callers)
    hosts = {
        e.host_id for e in judged.entries if isinstance(e, ledger.RunStarted)
    }
    assert "deep-11" in hosts
