"""Soak test of the call engines under random faults.

    make soak SEED=1 SECONDS=60

Each run of the simulation, a walk, has a seed of its own. A failed walk is
reproduced with ``python -m standins.soak --walk SEED``.
"""

import dataclasses
import random
import time

import click

from standins import checked_callers
from standins import checked_faults
from standins import checked_fleet
from standins import checker
from standins import ledger

_CALLERS = 40
_MAX_FAULTS = 5
_LOAD_S = 8.0
_SETTLE_S = 30.0
_SEED_LIMIT = 1 << 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class Walk:
    """A result of one random walk.

    Attributes:
      seed: Seed of the walk.
      faults: Injected faults with time and host, in order.
      violations: Violations found by the checker.
      unfinished_callers: Keys of callers that still wait at the end.
      runs: Number of runs on backend servers.
    """

    seed: int
    faults: list[str]
    violations: list[checker.Violation]
    unfinished_callers: list[str]
    runs: int

    @property
    def failed(self) -> bool:
        """Whether a guarantee was violated or a caller is unfinished."""
        return bool(self.violations or self.unfinished_callers)


def run_walk(seed: int) -> Walk:
    """Runs random callers while random faults are injected at random hosts.

    Args:
      seed: Seed of every random choice of the walk.
    """
    rng = random.Random(seed)
    checked = checked_fleet.CheckedFleet(seed=seed)
    faults = checked_faults.FaultInjector(checked=checked)
    callers = [_make_caller(checked, rng, n) for n in range(_CALLERS)]
    for caller in callers:
        checked.after(rng.uniform(0.2, _LOAD_S), caller.send)
    injected = []

    def inject(fault: checked_faults.Fault, host_id: str) -> None:
        injected.append(f"{checked.now:.3f} {fault.value} {host_id}")
        faults.inject(fault, host_id, rng.choice(callers))

    for _ in range(rng.randint(1, _MAX_FAULTS)):
        fault = rng.choice(list(checked_faults.Fault))
        host_id = rng.choice(sorted(checked.fleet.nodes_by_id))
        checked.after(
            rng.uniform(0.2, _LOAD_S),
            lambda fault=fault, host_id=host_id: inject(fault, host_id),
        )
    checked.run_for(_LOAD_S + _SETTLE_S)
    return Walk(
        seed=seed,
        faults=injected,
        violations=checker.check(checked.entries),
        unfinished_callers=[c.key for c in callers if not c.done],
        runs=sum(isinstance(e, ledger.RunStarted) for e in checked.entries),
    )


def _make_caller(
    checked: checked_fleet.CheckedFleet, rng: random.Random, number: int
) -> checked_callers.Caller:
    path = rng.choice(
        (
            checked_fleet.BROWSE_PATH,
            checked_fleet.BOOK_PATH,
            checked_fleet.MIXED_PATH,
        )
    )
    return checked_callers.Caller(
        checked=checked,
        key=f"caller-{number}",
        path=path,
        repeatable=path != checked_fleet.BOOK_PATH,
    )


def _report(walk: Walk) -> None:
    click.echo(f"walk {walk.seed}: FAILED")
    for fault in walk.faults:
        click.echo(f"  injected: {fault}")
    for violation in walk.violations:
        click.echo(
            f"  {violation.guarantee.value}: "
            f"{violation.subject}: {violation.detail}"
        )
    for key in walk.unfinished_callers:
        click.echo(f"  caller has not ended: {key}")


@click.command()
@click.option(
    "--seed",
    default=1,
    help="Seed from which the seeds of the walks are drawn.",
)
@click.option(
    "--seconds", default=60.0, help="Duration on the wall clock in seconds."
)
@click.option(
    "--walk", default=None, type=int, help="Run only the walk with this seed."
)
def main(seed: int, seconds: float, walk: int | None) -> None:
    """Runs walks until the time is up; exits 1 if any walk failed."""
    rng = random.Random(seed)
    deadline = time.monotonic() + seconds
    walks = runs = failures = 0
    while walk is not None or time.monotonic() < deadline:
        result = run_walk(rng.randrange(_SEED_LIMIT) if walk is None else walk)
        walks += 1
        runs += result.runs
        if result.failed:
            failures += 1
            _report(result)
        if walk is not None:
            break
    click.echo(f"{walks} walks, {runs} runs, {failures} walks failed")
    raise SystemExit(1 if failures else 0)


if __name__ == "__main__":
    main()
