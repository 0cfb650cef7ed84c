"""Runs single cells of the fault matrix on in-memory call engines."""

import dataclasses

from standins import checked_callers
from standins import checked_faults
from standins import checked_fleet
from standins import checker
from standins import ledger

Fault = checked_faults.Fault
FaultLocation = checked_fleet.FaultLocation
Step = checked_fleet.Step

TARGET_KEY = "target"
SEEDS = range(1, 9)
_WARM_UP_S = 0.5
_SETTLE_S = 30.0
_BACKGROUND_CALLERS = 6
_FILL_CALLERS_PER_SLOT = 3


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request under test.

    Attributes:
      name: Name in the matrix.
      path: Path of the request.
      repeatable: Whether the request may run more than once.
    """

    name: str
    path: str
    repeatable: bool


BROWSE = RequestKind("browse", checked_fleet.BROWSE_PATH, True)
TICKETED = RequestKind("ticketed", checked_fleet.BOOK_PATH, False)
BROWSE_OVER_TICKETED = RequestKind(
    "browse over ticketed", checked_fleet.MIXED_PATH, True
)
KINDS_BY_NAME = {
    kind.name: kind for kind in (BROWSE, TICKETED, BROWSE_OVER_TICKETED)
}


@dataclasses.dataclass(frozen=True)
class Injection:
    """A fault and the point of a call at which it is injected.

    Attributes:
      step: Step of the call at the last service that triggers the fault.
      fault: Kind of fault.
      place: Host on the request's path that the fault hits.
    """

    step: Step
    fault: Fault
    place: FaultLocation = FaultLocation.TARGET


@dataclasses.dataclass(kw_only=True)
class CellResult:
    """The result of running one cell.

    Attributes:
      checked: The fleet after the run.
      callers: All callers of the run, the one under test first.
      violations: Violated promises that the checker found.
      has_reached_steps: Whether every planned fault was injected.
    """

    checked: checked_fleet.CheckedFleet
    callers: list[checked_callers.Caller]
    violations: list[checker.Violation]
    has_reached_steps: bool


def run_cell(
    kind: RequestKind, plan: list[tuple[Step, Fault]], *, seed: int
) -> CellResult:
    """Runs a request under background load and injects the planned faults.

    Args:
      kind: Kind of the request under test.
      plan: Faults with the step and place of each.
      seed: Seed of the fleet's random choices.

    Returns:
      The state and the violations after all faults have settled.
    """
    checked = checked_fleet.CheckedFleet(seed=seed)
    faults = checked_faults.FaultInjector(checked=checked)
    target = checked_callers.Caller(
        checked=checked,
        key=TARGET_KEY,
        path=kind.path,
        repeatable=kind.repeatable,
    )

    def inject(injection: Injection, host_id: str) -> None:
        injection_host = checked.host_at(injection.place, TARGET_KEY, host_id)
        faults.inject(injection.fault, injection_host, target)

    for injection in plan:
        checked.on_step(
            injection.step,
            TARGET_KEY,
            lambda host_id, injection=injection: inject(injection, host_id),
        )
    checked.run_for(_WARM_UP_S)
    callers = [target, *_create_background_callers(checked)]
    if any(injection.step is Step.QUEUED for injection in plan):
        callers += _fill_deep_slots(checked)
        checked.run_for(0.002)
    for caller in callers:
        if not caller.sendings:
            checked.after(checked.rng.uniform(0, 0.01), caller.send)
    checked.run_for(_SETTLE_S)
    return CellResult(
        checked=checked,
        callers=callers,
        violations=checker.check(checked.entries),
        has_reached_steps=len(checked.reached_steps) == len(plan),
    )


def run_cell_reaching_steps(
    kind: RequestKind, plan: list[Injection]
) -> CellResult:
    """Runs a cell with the first seed under which all steps are reached.

    Raises:
      AssertionError: No seed of ``SEEDS`` reaches all steps.
    """
    for seed in SEEDS:
        cell = run_cell(kind, plan, seed=seed)
        if cell.has_reached_steps:
            return cell
    raise AssertionError(f"no seed reaches {plan}")


def list_unfinished_work(cell: CellResult) -> list[str]:
    """Returns callers, engines and sendings that are still open at the end."""
    unfinished = [f"caller {c.key}" for c in cell.callers if not c.done]
    for host_id, node in cell.checked.fleet.nodes_by_id.items():
        if node.engine is not None and not node.engine.is_idle():
            unfinished.append(f"engine {host_id}")
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
    unfinished += [f"sending {s}" for s in sent - ended if "/" not in s[0]]
    return unfinished


def _create_background_callers(
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


def _fill_deep_slots(
    checked: checked_fleet.CheckedFleet,
) -> list[checked_callers.Caller]:
    """Fills the slots of the last service so that further calls queue."""
    checked.slow_by_service["deep"] = 10.0
    checked.after(1.0, lambda: checked.slow_by_service.pop("deep", None))
    callers = []
    for number in range(checked_fleet.SLOTS * _FILL_CALLERS_PER_SLOT):
        caller = checked_callers.Caller(
            checked=checked, key=f"fill-{number}", service="deep", tries=1
        )
        caller.send()
        callers.append(caller)
    return callers
