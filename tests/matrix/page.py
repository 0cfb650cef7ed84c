"""Writes docs/FAULTS.md from the tables that the tests run.

Usage: python -m tests.matrix.page
"""

import pathlib

from standins import checked_faults
from standins import checked_switch_model
from tests.matrix import cells
from tests.matrix import test_call_faults
from tests.matrix import test_drain_join_faults
from tests.matrix import test_switch_faults

PAGE_PATH = pathlib.Path(__file__).parents[2] / "docs" / "FAULTS.md"

_INTRODUCTION = """\
# Fault matrix

Each row is a fault, each column a step at which it is injected. A mark names
the test that runs the cell; all cells end with the checker of
`standins/checker.py` over an independent ledger of what servers ran and what
callers were answered, so each cell asserts all promises of
[promises.md](promises.md). This page is written by
`python -m tests.matrix.page`, and a test compares it with the tables that the
tests run.

The cells drive the cores, which do no input or output, with a seed and an
injected clock. Faults that need the kernel run with real processes; those tests
are listed at the end. `make soak SEED=1 SECONDS=60` injects the same faults at
random, and `tests/matrix/test_soak.py` does so in a bounded number of runs.
"""

_CALLS = """
## Steps of a call

`C` is
`tests/matrix/test_call_faults.py::test_fault_at_step_keeps_promises`; it runs
each cell for browse, ticketed and browse over ticketed requests, and, where the
fault concerns a host, at the target, its parent and the entry. Every pair of
the faults is `test_pair_of_faults_keeps_promises` in the same file.
"""

_CALL_EXCLUSIONS = """
These faults have no cell at a step of a call:

- **store down**, **store slow**, **answer lost after the write**: no event and
  no effect of the call engine concerns the store, which
  `tests/matrix/test_page.py::test_engine_does_not_use_the_store` checks.
  They have cells under the steps of a switch.
"""

_SWITCHES = """
## Steps of a switch

`S` is
`tests/matrix/test_switch_faults.py::test_fault_at_step_keeps_promises`; every
pair is `test_pair_of_faults_keeps_promises` in the same file.
"""

_SWITCH_EXCLUSIONS = """
These faults have no cell at a step of a switch:

- **slow deep service**, **surge**, **hard-retrying callers**, **crashing
  request**, **server killed**, **rate-limited server**: a switch passes
  through no backend server and
  no call, and the followers' core takes no event from either. They cost a
  node only time, as late events, which the paused process covers.
- **drain** and **join** change the watchers and the sources, as **node
  killed** does, whose node also joins again.
"""

_DRAINS = """
## Steps of a drain

`D` is `test_fault_during_drain_keeps_promises` in
`tests/matrix/test_drain_join_faults.py`, at a host with a server and at an
entry.
"""

_JOINS = """
## Steps of a join

`J` is `test_fault_during_join_keeps_promises` in the same file.
"""

_DRAIN_AND_JOIN_EXCLUSIONS = """
A drain and a join of the call engine do not use the store either.
Joining without the store and starting a node while the store is down are
tested in `tests/integration/test_fleet_membership.py`.
"""

_REAL_PROCESSES = """
## With real processes

- TCP faults (delay, reset, truncated, half-closed, silent, doubled):
  `tests/standins/test_fault_proxy.py`.
- The same on connections from a node to its server and from callers to the
  entry, for browse and ticketed requests:
  `tests/matrix/test_real_processes.py`.
- The store killed right after acceptance, its answer lost after the write,
  racing operators, paused and restarted nodes:
  `tests/integration/test_fleet_presets.py`.
- Nodes killed, restarted and paused, a planned stop, joining with and without
  the store: `tests/integration/test_fleet_membership.py`.
- The store back from a copy some seconds old, once and twice in a row, with its
  counter behind or beyond the watched revision: `test_store_restore.py` in the
  tests of the platform.
- Bytes without end in place of an answer, fifty at a time:
  `test_endless_answers.py` there; at each border of a node, without network:
  `bergamotdeal/node/tests/test_endless_input.py`.
"""


def build_page() -> str:
    """Returns the text of the page."""
    return "".join(
        (
            _INTRODUCTION,
            _CALLS,
            _build_call_table(),
            _CALL_EXCLUSIONS,
            _SWITCHES,
            _build_switch_table(),
            _SWITCH_EXCLUSIONS,
            _DRAINS,
            _build_uniform_table(test_drain_join_faults.DrainStep, "D"),
            _JOINS,
            _build_uniform_table(test_drain_join_faults.JoinStep, "J"),
            _DRAIN_AND_JOIN_EXCLUSIONS,
            _REAL_PROCESSES,
        )
    )


def _build_call_table() -> str:
    tested_cells = {
        (injection.fault, injection.place, injection.step)
        for injection in test_call_faults.INJECTIONS
    }
    rows = []
    for fault in cells.Fault:
        for place in cells.FaultLocation:
            marks = [
                "C" if (fault, place, step) in tested_cells else ""
                for step in cells.Step
            ]
            if any(marks):
                rows.append((f"{fault.value}, {place.value}", marks))
    return _render_table([step.value for step in cells.Step], rows)


def _build_switch_table() -> str:
    steps = list(checked_switch_model.Step)
    rows = [
        (fault.value, ["S"] * len(steps)) for fault in test_switch_faults.Fault
    ]
    return _render_table([step.value for step in steps], rows)


def _build_uniform_table(steps, mark: str) -> str:
    names = [step.name.lower().replace("_", " ") for step in steps]
    rows = [
        (fault.value, [mark] * len(names)) for fault in checked_faults.Fault
    ]
    return _render_table(names, rows)


def _render_table(columns: list[str], rows: list[tuple[str, list[str]]]) -> str:
    lines = [
        "| fault | " + " | ".join(columns) + " |",
        "|---" * (len(columns) + 1) + "|",
    ]
    for name, marks in rows:
        lines.append(f"| {name} | " + " | ".join(marks) + " |")
    return "\n" + "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE_PATH.write_text(build_page())
