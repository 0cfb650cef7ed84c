"""Priority queue of jobs that wait for a slot."""

import bisect

from bergamotdeal.admission import core

_Key = tuple[int, float, float, int]


class JobQueue:
    """Queue of jobs ordered by class rank, hash share and arrival.

    Jobs are served from the front and evicted from the back. The caller
    bounds the length.
    """

    def __init__(self) -> None:
        self._keys: list[_Key] = []
        self._jobs_by_id: dict[int, core.Job] = {}
        self._keys_by_id: dict[int, _Key] = {}
        self._earliest_deadline: float | None = None

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, job_id: int) -> bool:
        return job_id in self._jobs_by_id

    def push(self, job: core.Job, *, rank: int, hash_share: float) -> None:
        """Adds a job.

        Args:
          job: The job.
          rank: Class rank, the primary sort key; low is served first.
          hash_share: Position in the shedding order, the secondary sort key;
            low is served first.
        """
        key = (rank, hash_share, job.arrived, job.job_id)
        bisect.insort(self._keys, key)
        if self._earliest_deadline is not None or not self._jobs_by_id:
            candidate = self._earliest_deadline or job.deadline
            self._earliest_deadline = min(candidate, job.deadline)
        self._jobs_by_id[job.job_id] = job
        self._keys_by_id[job.job_id] = key

    def first(self) -> core.Job | None:
        """Returns the next job to serve without removing it."""
        if not self._keys:
            return None
        return self._jobs_by_id[self._keys[0][-1]]

    def last(self) -> core.Job | None:
        """Returns the next job to evict without removing it."""
        if not self._keys:
            return None
        return self._jobs_by_id[self._keys[-1][-1]]

    def remove(self, job_id: int) -> core.Job | None:
        """Removes a job and returns it, or None if it is not queued."""
        key = self._keys_by_id.pop(job_id, None)
        if key is None:
            return None
        del self._keys[bisect.bisect_left(self._keys, key)]
        job = self._jobs_by_id.pop(job_id)
        if job.deadline == self._earliest_deadline:
            self._earliest_deadline = None
        return job

    def depth_by_rank(self, class_count: int) -> list[int]:
        """Returns the number of queued jobs of each class rank.

        Args:
          class_count: Number of classes; higher ranks count as the last one.
        """
        depths = [0] * class_count
        for key in self._keys:
            depths[min(key[0], class_count - 1)] += 1
        return depths

    def jobs(self) -> list[core.Job]:
        """Returns the queued jobs in service order."""
        return [self._jobs_by_id[key[-1]] for key in self._keys]

    def remove_all(self) -> list[core.Job]:
        """Removes all jobs and returns them in service order."""
        jobs = self.jobs()
        self._keys.clear()
        self._jobs_by_id.clear()
        self._keys_by_id.clear()
        self._earliest_deadline = None
        return jobs

    def earliest_deadline(self) -> float | None:
        """Returns the earliest deadline of a queued job, or None if empty."""
        if self._earliest_deadline is None and self._jobs_by_id:
            jobs = self._jobs_by_id.values()
            self._earliest_deadline = min(job.deadline for job in jobs)
        return self._earliest_deadline
