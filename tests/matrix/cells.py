"""Runs one cell of the fault matrix on the call engines."""

import dataclasses

from standins import checker
from standins import judged as judged_fleet
from standins import judged_callers
from standins import judged_faults
from standins import ledger

Fault = judged_faults.Fault
Place = judged_fleet.Place
Step = judged_fleet.Step

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


BROWSE = Kind("browse", judged_fleet.BROWSE_PATH, True)
BOOK = Kind("ticketed", judged_fleet.BOOK_PATH, False)
MIXED = Kind("browse over ticketed", judged_fleet.MIXED_PATH, True)
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
      judged: The fleet after the run.
      callers: All callers of the run, the one under test first.
      violations: What the checker found.
      reached: Whether the request reached the step.
    """

    judged: judged_fleet.JudgedFleet
    callers: list[judged_callers.Caller]
    violations: list[checker.Violation]
    reached: bool


def run_cell(kind: Kind, plan: list[tuple[Step, Fault]], *, seed: int) -> Cell:
    """Runs a request whose faults inject at the steps of the plan."""
    judged = judged_fleet.JudgedFleet(seed=seed)
    faults = judged_faults.Faults(judged=judged)
    target = judged_callers.Caller(
        judged=judged, key=KEY, path=kind.path, repeatable=kind.repeatable
    )

    def inject(injection: Injection, host_id: str) -> None:
        struck_host = judged.host_at(injection.place, KEY, host_id)
        faults.inject(injection.fault, struck_host, target)

    for injection in plan:
        judged.on_step(
            injection.step,
            KEY,
            lambda host_id, injection=injection: inject(injection, host_id),
        )
    judged.run_for(_WARM_UP_S)
    callers = [target, *_background(judged)]
    if any(injection.step is Step.QUEUED for injection in plan):
        callers += _fill_deep(judged)
        judged.run_for(0.002)
    for caller in callers:
        if not caller.sendings:
            judged.after(judged.rng.uniform(0, 0.01), caller.send)
    judged.run_for(_SETTLE_S)
    return Cell(
        judged=judged,
        callers=callers,
        violations=checker.check(judged.entries),
        reached=len(judged.injected) == len(plan),
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
    for host_id, node in cell.judged.fleet.nodes_by_id.items():
        if node.engine is not None and not node.engine.idle():
            left.append(f"engine {host_id}")
    sent = {
        (e.label.key, e.label.sending)
        for e in cell.judged.entries
        if isinstance(e, ledger.Sent)
    }
    ended = {
        (e.label.key, e.label.sending)
        for e in cell.judged.entries
        if isinstance(e, ledger.Answered | ledger.GaveUp)
    }
    left += [f"sending {s}" for s in sent - ended if "/" not in s[0]]
    return left


def _background(
    judged: judged_fleet.JudgedFleet,
) -> list[judged_callers.Caller]:
    return [
        judged_callers.Caller(
            judged=judged,
            key=f"other-{number}",
            path=judged_fleet.BROWSE_PATH
            if number % 2
            else judged_fleet.BOOK_PATH,
            repeatable=bool(number % 2),
        )
        for number in range(_BACKGROUND_CALLERS)
    ]


def _fill_deep(
    judged: judged_fleet.JudgedFleet,
) -> list[judged_callers.Caller]:
    """Fills the slots of the last service, so that others must queue."""
    judged.slow_by_service["deep"] = 10.0
    judged.after(1.0, lambda: judged.slow_by_service.pop("deep", None))
    callers = []
    for number in range(judged_fleet.SLOTS * _FILL_PER_HOST):
        caller = judged_callers.Caller(
            judged=judged, key=f"fill-{number}", service="deep", tries=1
        )
        caller.send()
        callers.append(caller)
    return callers
