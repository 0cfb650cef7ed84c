"""Runs one cell of the fault matrix on the call engines."""

import dataclasses

from standins import checked_callers
from standins import checked_faults
from standins import checked_fleet
from standins import checker
from standins import ledger

Fault = checked_faults.Fault
Place = checked_fleet.Place
Step = checked_fleet.Step

KEY = "target"
SEEDS = range(1, 9)
_WARM_UP_S = 0.5
_SETTLE_S = 30.0
_BACKGROUND_CALLERS = 6
_FILL_PER_HOST = 3


@dataclasses.dataclass(frozen=True)
class Kind:
    """What the request under test is.

    Attributes:
      name: Name in the matrix.
      path: Its path.
      repeatable: Whether it may run twice.
    """

    name: str
    path: str
    repeatable: bool


BROWSE = Kind("browse", checked_fleet.BROWSE_PATH, True)
BOOK = Kind("ticketed", checked_fleet.BOOK_PATH, False)
MIXED = Kind("browse over ticketed", checked_fleet.MIXED_PATH, True)
KINDS = {kind.name: kind for kind in (BROWSE, BOOK, MIXED)}


@dataclasses.dataclass(frozen=True)
class Injection:
    """One fault of a plan.

    Attributes:
      step: Step at the last service at which it is injected.
      fault: What is injected.
      place: Host on the request's way that it is injected.
    """

    step: Step
    fault: Fault
    place: Place = Place.TARGET


@dataclasses.dataclass(kw_only=True)
class Cell:
    """A run of one cell.

    Attributes:
      checked: The fleet after the run.
      callers: All callers of the run, the one under test first.
      violations: What the checker found.
      reached: Whether the request reached the step.
    """

    checked: checked_fleet.CheckedFleet
    callers: list[checked_callers.Caller]
    violations: list[checker.Violation]
    reached: bool


def run_cell(kind: Kind, plan: list[tuple[Step, Fault]], *, seed: int) -> Cell:
    """Runs a request whose faults inject at the steps of the plan."""
    checked = checked_fleet.CheckedFleet(seed=seed)
    faults = checked_faults.Faults(checked=checked)
    target = checked_callers.Caller(
        checked=checked, key=KEY, path=kind.path, repeatable=kind.repeatable
    )

    def inject(injection: Injection, host_id: str) -> None:
        struck_host = checked.host_at(injection.place, KEY, host_id)
        faults.inject(injection.fault, struck_host, target)

    for injection in plan:
        checked.on_step(
            injection.step,
            KEY,
            lambda host_id, injection=injection: inject(injection, host_id),
        )
    checked.run_for(_WARM_UP_S)
    callers = [target, *_background(checked)]
    if any(injection.step is Step.QUEUED for injection in plan):
        callers += _fill_deep(checked)
        checked.run_for(0.002)
    for caller in callers:
        if not caller.sendings:
            checked.after(checked.rng.uniform(0, 0.01), caller.send)
    checked.run_for(_SETTLE_S)
    return Cell(
        checked=checked,
        callers=callers,
        violations=checker.check(checked.entries),
        reached=len(checked.injected) == len(plan),
    )


def run_reached_cell(kind: Kind, plan: list[Injection]) -> Cell:
    """Runs a cell with the first seed under which its steps are reached."""
    for seed in SEEDS:
        cell = run_cell(kind, plan, seed=seed)
        if cell.reached:
            return cell
    raise AssertionError(f"no seed reaches {plan}")


def unfinished(cell: Cell) -> list[str]:
    """Returns what is left open when all has settled."""
    left = [f"caller {c.key}" for c in cell.callers if not c.done]
    for host_id, node in cell.checked.fleet.nodes_by_id.items():
        if node.engine is not None and not node.engine.is_idle():
            left.append(f"engine {host_id}")
    sent = {
        (e.label.key, e.label.sending)
        for e in cell.checked.entries
        if isinstance(e, ledger.Sent)
    }
    ended = {
        (e.label.key, e.label.sending)
        for e in cell.checked.entries
        if isinstance(e, ledger.Answered | ledger.GaveUp)
    }
    left += [f"sending {s}" for s in sent - ended if "/" not in s[0]]
    return left


def _background(
    checked: checked_fleet.CheckedFleet,
) -> list[checked_callers.Caller]:
    return [
        checked_callers.Caller(
            checked=checked,
            key=f"other-{number}",
            path=checked_fleet.BROWSE_PATH
            if number % 2
            else checked_fleet.BOOK_PATH,
            repeatable=bool(number % 2),
        )
        for number in range(_BACKGROUND_CALLERS)
    ]


def _fill_deep(
    checked: checked_fleet.CheckedFleet,
) -> list[checked_callers.Caller]:
    """Fills the slots of the last service, so that others must queue."""
    checked.slow_by_service["deep"] = 10.0
    checked.after(1.0, lambda: checked.slow_by_service.pop("deep", None))
    callers = []
    for number in range(checked_fleet.SLOTS * _FILL_PER_HOST):
        caller = checked_callers.Caller(
            checked=checked, key=f"fill-{number}", service="deep", tries=1
        )
        caller.send()
        callers.append(caller)
    return callers
