"""Priority queue of jobs that wait for a slot."""

import bisect
import collections
import math
from typing import NamedTuple

from bergamotdeal.admission import core
from bergamotdeal.admission import order
from bergamotdeal.fairness import rounds

_ROUNDING_TOLERANCE = 1e-6
"""Tolerance for rounding errors in sums of jobs over weights."""


class _Key(NamedTuple):
    rank: int
    is_new_tree: bool
    fair_round: int
    urgency: order.Urgency
    hash_share: float
    arrived: float
    job_id: int


class JobQueue:
    """Queue of jobs ordered by class rank, fair round, hash share and arrival.

    With the order by deadlines, the calls of trees that have begun come before
    the rounds, and within a round urgency counts before the hash share. Jobs
    are served from the front. The one to evict is the last one of the
    organisation that has most queued, for its weight, in the least important
    class. Jobs without an organisation belong to the current round. The caller
    bounds the length.

    Args:
      is_fair: Whether organisations take turns.
      by_deadline: Whether progress and urgency count.
    """

    def __init__(
        self, *, is_fair: bool = True, by_deadline: bool = False
    ) -> None:
        self._is_fair = is_fair
        self._by_deadline = by_deadline
        self._keys: list[_Key] = []
        self._jobs_by_id: dict[int, core.Job] = {}
        self._keys_by_id: dict[int, _Key] = {}
        self._earliest_deadline: float | None = None
        self._earliest_target = math.inf
        self._reset_rounds()

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, job_id: int) -> bool:
        return job_id in self._jobs_by_id

    def set_order(self, *, is_fair: bool, by_deadline: bool) -> None:
        """Sets the order; the queue must be empty.

        Args:
          is_fair: Whether organisations take turns.
          by_deadline: Whether progress and urgency count.
        """
        self._is_fair = is_fair
        self._by_deadline = by_deadline
        self._reset_rounds()

    def push(self, job: core.Job, *, rank: int, hash_share: float) -> None:
        """Adds a job.

        Args:
          job: The job.
          rank: Class rank, the primary sort key; low is served first.
          hash_share: Position in the shedding order, the sort key within a
            round; low is served first.
        """
        urgency = order.Urgency()
        if self._by_deadline:
            urgency = order.Urgency(due=job.target)
            self._earliest_target = min(self._earliest_target, job.target)
        key = _Key(
            rank=rank,
            is_new_tree=self._by_deadline and not order.is_begun(job),
            fair_round=self._assign_round(job, rank),
            urgency=urgency,
            hash_share=hash_share,
            arrived=job.arrived,
            job_id=job.job_id,
        )
        bisect.insort(self._keys, key)
        if self._earliest_deadline is not None or not self._jobs_by_id:
            candidate = self._earliest_deadline or job.deadline
            self._earliest_deadline = min(candidate, job.deadline)
        self._jobs_by_id[job.job_id] = job
        self._keys_by_id[job.job_id] = key
        if self._takes_turns(job):
            queued = self._queued_by_rank[rank]
            weighted = queued.get(job.organisation, 0.0) + 1.0 / job.weight
            queued[job.organisation] = weighted

    def update_urgency(self, now: float, *, run_s: float) -> None:
        """Moves the jobs that can't meet their target any more to the back.

        Args:
          now: Monotonic seconds.
          run_s: Expected run time of a job in seconds.
        """
        if now + run_s <= self._earliest_target:
            return
        earliest = math.inf
        for key in list(self._keys):
            if key.urgency.is_late:
                continue
            job = self._jobs_by_id[key.job_id]
            urgency = order.compute_urgency(job, now=now, run_s=run_s)
            if not urgency.is_late:
                earliest = min(earliest, job.target)
                continue
            del self._keys[bisect.bisect_left(self._keys, key)]
            late_key = key._replace(urgency=urgency)
            bisect.insort(self._keys, late_key)
            self._keys_by_id[key.job_id] = late_key
        self._earliest_target = earliest

    def record_direct_start(self, job: core.Job, *, rank: int) -> None:
        """Records a job that starts without being queued."""
        if self._takes_turns(job):
            started_round = self._assign_round(job, rank)
            self._rounds_by_rank[rank].record_start(started_round)

    def first(self) -> core.Job | None:
        """Returns the next job to serve without removing it."""
        if not self._keys:
            return None
        return self._jobs_by_id[self._keys[0].job_id]

    def last(self) -> core.Job | None:
        """Returns the next job to evict without removing it."""
        if not self._keys:
            return None
        last_key = self._keys[-1]
        last = self._jobs_by_id[last_key.job_id]
        queued = self._queued_by_rank.get(last_key.rank)
        if not queued:
            return last
        most = max(queued.values())
        for key in reversed(self._keys):
            job = self._jobs_by_id[key.job_id]
            if queued.get(job.organisation, 0.0) >= most:
                return job
        return last

    def start(self, job_id: int) -> None:
        """Removes a queued job that starts."""
        key = self._keys_by_id[job_id]
        if self._takes_turns(self._remove(job_id)):
            self._rounds_by_rank[key.rank].record_start(key.fair_round)

    def remove(self, job_id: int) -> core.Job | None:
        """Removes a job that doesn't start; returns None if not queued."""
        key = self._keys_by_id.get(job_id)
        if key is None:
            return None
        job = self._remove(job_id)
        if self._takes_turns(job):
            self._rounds_by_rank[key.rank].withdraw(
                job.organisation, job.weight
            )
        return job

    def _remove(self, job_id: int) -> core.Job:
        key = self._keys_by_id.pop(job_id)
        del self._keys[bisect.bisect_left(self._keys, key)]
        job = self._jobs_by_id.pop(job_id)
        if job.deadline == self._earliest_deadline:
            self._earliest_deadline = None
        if self._takes_turns(job):
            queued = self._queued_by_rank[key.rank]
            queued[job.organisation] -= 1.0 / job.weight
            if queued[job.organisation] < _ROUNDING_TOLERANCE:
                del queued[job.organisation]
        return job

    def depth_by_rank(self, class_count: int) -> list[int]:
        """Returns the number of queued jobs of each class rank.

        Args:
          class_count: Number of classes; higher ranks count as the last one.
        """
        depths = [0] * class_count
        for key in self._keys:
            depths[min(key.rank, class_count - 1)] += 1
        return depths

    def jobs(self) -> list[core.Job]:
        """Returns the queued jobs in service order."""
        return [self._jobs_by_id[key.job_id] for key in self._keys]

    def remove_all(self) -> list[core.Job]:
        """Removes all jobs and returns them in service order."""
        jobs = self.jobs()
        self._keys.clear()
        self._jobs_by_id.clear()
        self._keys_by_id.clear()
        self._earliest_deadline = None
        self._earliest_target = math.inf
        self._reset_rounds()
        return jobs

    def earliest_deadline(self) -> float | None:
        """Returns the earliest deadline of a queued job, or None if empty."""
        if self._earliest_deadline is None and self._jobs_by_id:
            jobs = self._jobs_by_id.values()
            self._earliest_deadline = min(job.deadline for job in jobs)
        return self._earliest_deadline

    def _reset_rounds(self) -> None:
        self._rounds_by_rank: dict[int, rounds.FairRounds] = (
            collections.defaultdict(rounds.FairRounds)
        )
        self._queued_by_rank: dict[int, dict[str, float]] = (
            collections.defaultdict(dict)
        )

    def _takes_turns(self, job: core.Job) -> bool:
        return self._is_fair and bool(job.organisation)

    def _assign_round(self, job: core.Job, rank: int) -> int:
        if self._takes_turns(job):
            return self._rounds_by_rank[rank].assign(
                job.organisation, job.weight
            )
        known = self._rounds_by_rank.get(rank)
        return known.current if known is not None else 0
