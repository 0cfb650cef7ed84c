"""Time limits of runs, and detection of those whose connection hangs.

Some servers never answer a request that they can't queue, nor anything more on
its connection.
"""

from bergamotdeal.calls import runs

_RUN_TIME_FACTOR = 10.0
"""Run times after which a run is overdue; run times of a route vary."""

_MIN_DUE_S = 1.0
_MS_PER_S = 1000

RUN_GRACE_MS = 1000
"""Time that a run which can't be cancelled may take beyond its deadline."""

TICKET_RUN_GRACE_MS = 5000
"""Same for a run under a ticket, whose late answer may still be requested."""


def get_grace_ms(run: runs.Run) -> int:
    """Returns how long a run that goes on may take beyond its deadline."""
    return RUN_GRACE_MS if run.ticket_record is None else TICKET_RUN_GRACE_MS


def compute_answer_due_ms(
    run_s: float, work_factor: float, remaining_ms: int
) -> int:
    """Returns when a run without an answer is overdue, in ms from its start.

    Args:
      run_s: Expected run time in seconds; zero if unknown.
      work_factor: How long work takes now as a multiple of that time.
      remaining_ms: Time to the deadline in milliseconds.

    Returns:
      The time in milliseconds, or zero if the run is never overdue before its
      deadline.
    """
    if run_s <= 0.0:
        return 0
    due_s = max(_MIN_DUE_S, _RUN_TIME_FACTOR * run_s * max(1.0, work_factor))
    due_ms = int(due_s * _MS_PER_S)
    return due_ms if due_ms < remaining_ms else 0


def is_hung(run: runs.Run) -> bool:
    """Returns whether an overdue run is one that the server never started.

    A run that has made calls is running, and waits for them as long as they
    take. A run that still has to answer later callers is not given up, nor one
    that can't be repeated: its caller could not retry, and a slow server may
    still answer.

    Args:
      run: Run without an answer.
    """
    return (
        run.phase is runs.Phase.RUNNING
        and run.calls_made == 0
        and run.ticket_record is None
        and run.route.repeatable
    )
