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
        return self._jobs_by_id.pop(job_id)

    def depth_by_rank(self, class_count: int) -> list[int]:
        """Returns how many jobs of each rank wait."""
        depths = [0] * class_count
        for key in self._keys:
            depths[min(key[0], class_count - 1)] += 1
        return depths

    def jobs(self) -> list[core.Job]:
        """Returns the jobs in the order of service."""
        return [self._jobs_by_id[key[-1]] for key in self._keys]

    def earliest_deadline(self) -> float | None:
        """Returns the earliest deadline of a waiting job, or None."""
        if not self._jobs_by_id:
            return None
        return min(job.deadline for job in self._jobs_by_id.values())
