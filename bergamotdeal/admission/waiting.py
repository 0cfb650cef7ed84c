"""The bounded queue of jobs that wait for a slot."""

import bisect

from bergamotdeal.admission import core

_Key = tuple[int, float, float, int]


class WaitingJobs:
    """Jobs in the order in which they are served.

    The last job in the order is the first to be evicted.
    """

    def __init__(self) -> None:
        self._keys: list[_Key] = []
        self._jobs_by_id: dict[int, core.Job] = {}
        self._keys_by_id: dict[int, _Key] = {}
        self._earliest: float | None = None

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, job_id: int) -> bool:
        return job_id in self._jobs_by_id

    def push(self, job: core.Job, *, rank: int, share: float) -> None:
        """Adds a job.

        Args:
          job: The job.
          rank: First part of the order, low is served first.
          share: Second part of the order, low is served first.
        """
        key = (rank, share, job.arrived, job.job_id)
        bisect.insort(self._keys, key)
        if self._earliest is not None or not self._jobs_by_id:
            earliest = self._earliest or job.deadline
            self._earliest = min(earliest, job.deadline)
        self._jobs_by_id[job.job_id] = job
        self._keys_by_id[job.job_id] = key

    def first(self) -> core.Job | None:
        """Returns the job to serve next, without removing it."""
        if not self._keys:
            return None
        return self._jobs_by_id[self._keys[0][-1]]

    def last(self) -> core.Job | None:
        """Returns the job to evict first, without removing it."""
        if not self._keys:
            return None
        return self._jobs_by_id[self._keys[-1][-1]]

    def remove(self, job_id: int) -> core.Job | None:
        """Removes a job and returns it, or None when it does not wait."""
        key = self._keys_by_id.pop(job_id, None)
        if key is None:
            return None
        del self._keys[bisect.bisect_left(self._keys, key)]
        job = self._jobs_by_id.pop(job_id)
        if job.deadline == self._earliest:
            self._earliest = None
        return job

    def depth_by_rank(self, class_count: int) -> list[int]:
        """Returns how many jobs of each rank wait."""
        depths = [0] * class_count
        for key in self._keys:
            depths[min(key[0], class_count - 1)] += 1
        return depths

    def jobs(self) -> list[core.Job]:
        """Returns the jobs in the order of service."""
        return [self._jobs_by_id[key[-1]] for key in self._keys]

    def remove_all(self) -> list[core.Job]:
        """Removes all jobs and returns them in the order of service."""
        jobs = self.jobs()
        self._keys.clear()
        self._jobs_by_id.clear()
        self._keys_by_id.clear()
        self._earliest = None
        return jobs

    def earliest_deadline(self) -> float | None:
        """Returns the earliest deadline of a waiting job, or None."""
        if self._earliest is None and self._jobs_by_id:
            jobs = self._jobs_by_id.values()
            self._earliest = min(job.deadline for job in jobs)
        return self._earliest
