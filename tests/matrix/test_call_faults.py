"""Every fault at every step of a call, for each kind of request."""

import itertools
import random

import pytest

from tests.matrix import cells

HOST_INDEPENDENT_FAULTS = (
    cells.Fault.SLOW_SERVICE,
    cells.Fault.SURGE,
    cells.Fault.HARD_RETRIES,
    cells.Fault.RACING_SWITCHES,
    cells.Fault.CRASHING_REQUEST,
    cells.Fault.JOIN,
)
INJECTIONS = [
    cells.Injection(step, fault, place)
    for step in cells.Step
    for fault in cells.Fault
    for place in cells.FaultLocation
    if place is cells.FaultLocation.TARGET
    or fault not in HOST_INDEPENDENT_FAULTS
    if place is not cells.FaultLocation.ENTRY
    or fault not in (cells.Fault.SERVER_KILLED, cells.Fault.RATE_LIMIT)
]
PAIRS = list(itertools.combinations(cells.Fault, 2))


def describe_injection(injection):
    fault, step = injection.fault, injection.step
    return f"{fault.value} at {injection.place.value}, {step.value}"


@pytest.mark.parametrize("kind", cells.KINDS_BY_NAME)
@pytest.mark.parametrize("injection", INJECTIONS, ids=describe_injection)
def test_fault_at_step_keeps_promises(injection, kind):
    cell = cells.run_cell_reaching_steps(cells.KINDS_BY_NAME[kind], [injection])
    assert cell.violations == []
    assert cells.list_unfinished_work(cell) == []


@pytest.mark.parametrize("kind", cells.KINDS_BY_NAME)
@pytest.mark.parametrize(
    "pair", PAIRS, ids=lambda pair: f"{pair[0].value} and {pair[1].value}"
)
def test_pair_of_faults_keeps_promises(pair, kind):
    """Injects two faults at steps that a generator seeded by the pair picks."""
    rng = random.Random(f"{pair[0].value} {pair[1].value} {kind}")
    injections = [
        cells.Injection(rng.choice(list(cells.Step)[2:]), fault)
        for fault in pair
    ]
    cell = cells.run_cell(
        cells.KINDS_BY_NAME[kind], injections, seed=rng.randrange(1000)
    )
    assert cell.checked.reached_steps
    assert cell.violations == []
    assert cells.list_unfinished_work(cell) == []
