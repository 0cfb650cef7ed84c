"""Order of jobs within a priority class by progress and target latency.

Calls of trees that have begun come first, as refusing them wastes the work
done. Then come the jobs that can still meet their target, least slack first,
and then those that can't, which are only worth finishing late.
"""

from typing import NamedTuple

from bergamotdeal.admission import core


class Urgency(NamedTuple):
    """Sort key of a job within its class and round; low is served first.

    Attributes:
      is_late: Whether the job can't meet its target any more.
      due: The target of a job that can meet it, the deadline of another one.
    """

    is_late: bool = False
    due: float = 0.0


def is_begun(job: core.Job) -> bool:
    """Returns whether the call tree of a job has already begun."""
    return job.calls_made > 0


def compute_urgency(job: core.Job, *, now: float, run_s: float) -> Urgency:
    """Computes the urgency of a job.

    Args:
      job: The job.
      now: Monotonic seconds.
      run_s: Expected run time in seconds.
    """
    if now + run_s > job.target:
        return Urgency(is_late=True, due=job.deadline)
    return Urgency(due=job.target)
