"""The admission controller of one backend server."""

import math

from bergamotdeal.admission import core
from bergamotdeal.admission import hashing
from bergamotdeal.admission import waiting
from bergamotdeal.admission import window
from bergamotdeal.calls import core as calls
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model

_TARGET_DEPTH_SHARE = 0.25
_MS_PER_S = 1000.0


class Controller:
    """Decides which jobs run, wait and are refused.

    It has no clock; each method takes the current monotonic seconds and
    returns the verdicts that follow, in the order to be carried out. A job is
    forgotten once it is refused, preempted, finished or withdrawn.
    """

    def __init__(
        self,
        *,
        policy: model.AdmissionPolicy,
        service_policy: model.ServicePolicy,
        class_count: int,
        slots: int,
        now: float,
    ):
        self._policy = policy
        self._service_policy = service_policy
        self._class_count = class_count
        self._slots = slots
        self._running_by_id: dict[int, core.Job] = {}
        self._waiting = waiting.WaitingJobs()
        self._thresholds = window.RateThresholds(
            policy=policy, class_count=class_count, now=now
        )

    def submit(self, job: core.Job, now: float) -> list[core.Verdict]:
        """Takes a new job.

        Args:
          job: The job; its id must not be in use.
          now: Monotonic seconds.

        Returns:
          Verdicts on this job, or on others that it displaces. No verdict on
          this job means that it waits.
        """
        if not self._policy.limits:
            self._running_by_id[job.job_id] = job
            return [core.Start(job_id=job.job_id)]
        verdicts = self.advance(now)
        if self._limit() == 0:
            kind = errors.ErrorKind.NO_SERVER
            return [*verdicts, core.Refuse(job_id=job.job_id, kind=kind)]
        rank = self._rank(job)
        if self._share(job) >= self._thresholds.value(rank):
            if not self._can_displace(rank):
                return [*verdicts, _shed(job)]
        else:
            self._thresholds.count_arrival(rank)
        self._push(job)
        verdicts += self._serve(now)
        verdicts += self._trim()
        return verdicts

    def finish(
        self, job_id: int, now: float, *, completed: bool
    ) -> list[core.Verdict]:
        """Takes back the slot of a job whose run ended.

        Args:
          job_id: The job; an unknown one, such as a preempted one, is ignored.
          now: Monotonic seconds.
          completed: Whether the run ended with a complete answer.
        """
        if self._running_by_id.pop(job_id, None) is None:
            return []
        if completed:
            self._thresholds.count_completion()
        return self.advance(now)

    def withdraw(self, job_id: int, now: float) -> list[core.Verdict]:
        """Forgets a job whose caller no longer wants an answer."""
        if self._waiting.remove(job_id) is None:
            self._running_by_id.pop(job_id, None)
        return self.advance(now)

    def advance(self, now: float) -> list[core.Verdict]:
        """Lets time pass: closes windows, drops late jobs, starts others."""
        if not self._policy.limits:
            return []
        if self._thresholds.is_due(now):
            self._thresholds.close_window(
                now=now,
                depth_by_rank=self._waiting.depth_by_rank(self._class_count),
                target_depth=self._target_depth(),
            )
        return self._serve(now)

    def set_slots(self, slots: int, now: float) -> list[core.Verdict]:
        """Takes the slots that the backend server announces.

        Args:
          slots: Requests that it can run at the same time; zero when it is
            gone, which refuses all waiting jobs.
          now: Monotonic seconds.
        """
        self._slots = slots
        if slots:
            return self.advance(now)
        kind = errors.ErrorKind.NO_SERVER
        return [
            core.Refuse(job_id=job.job_id, kind=kind)
            for job in self._drop_all()
        ]

    def set_policy(
        self,
        *,
        policy: model.AdmissionPolicy,
        service_policy: model.ServicePolicy,
        class_count: int,
        now: float,
    ) -> list[core.Verdict]:
        """Takes the policy of a new preset; jobs keep their ranks."""
        self._policy = policy
        self._service_policy = service_policy
        self._class_count = class_count
        self._thresholds.set_policy(
            policy=policy, class_count=class_count, now=now
        )
        jobs = self._drop_all()
        if not policy.limits:
            self._running_by_id.update((job.job_id, job) for job in jobs)
            return [core.Start(job_id=job.job_id) for job in jobs]
        for job in jobs:
            self._push(job)
        return self.advance(now) + self._trim()

    def next_wakeup(self) -> float | None:
        """Returns when to call ``advance``, or None when no job waits."""
        if not len(self._waiting):
            return None
        deadline = self._waiting.earliest_deadline()
        return min(deadline, self._thresholds.window_end())

    def threshold(self, class_rank: int) -> float:
        """Returns the share of request hashes admitted for a class."""
        if not self._policy.limits:
            return 1.0
        rank = class_rank if self._policy.class_order else 0
        return self._thresholds.value(rank)

    def load(self) -> calls.Load:
        """Returns the load to report in answers."""
        return calls.Load(
            running=len(self._running_by_id),
            queued=len(self._waiting),
            limit=self._limit(),
        )

    def _limit(self) -> int:
        return self._slots

    def _target_depth(self) -> float:
        return max(1.0, _TARGET_DEPTH_SHARE * self._queue_bound())

    def _queue_bound(self) -> int:
        return math.ceil(self._policy.queue_slots_ratio * self._limit())

    def _rank(self, job: core.Job) -> int:
        return job.class_rank if self._policy.class_order else 0

    def _share(self, job: core.Job) -> float:
        if self._policy.consistent_hash:
            return job.hash_share
        return hashing.mixed_share(job.job_id)

    def _push(self, job: core.Job) -> None:
        share = self._share(job) if self._policy.consistent_hash else 0.0
        self._waiting.push(job, rank=self._rank(job), share=share)

    def _can_displace(self, rank: int) -> bool:
        last = self._waiting.last()
        return last is not None and self._rank(last) > rank

    def _serve(self, now: float) -> list[core.Verdict]:
        verdicts: list[core.Verdict] = []
        while (job := self._waiting.first()) is not None:
            late = self._policy.check_deadlines and job.deadline <= now
            if not late and len(self._running_by_id) >= self._limit():
                break
            self._waiting.remove(job.job_id)
            if late:
                kind = errors.ErrorKind.DEADLINE_EXCEEDED
                verdicts.append(core.Refuse(job_id=job.job_id, kind=kind))
                continue
            self._thresholds.count_wait(self._rank(job), now - job.arrived)
            self._running_by_id[job.job_id] = job
            verdicts.append(core.Start(job_id=job.job_id))
        return verdicts

    def _trim(self) -> list[core.Verdict]:
        verdicts: list[core.Verdict] = []
        while len(self._waiting) > self._queue_bound():
            job = self._waiting.last()
            self._waiting.remove(job.job_id)
            verdicts.append(_shed(job))
        return verdicts

    def _drop_all(self) -> list[core.Job]:
        jobs = self._waiting.jobs()
        for job in jobs:
            self._waiting.remove(job.job_id)
        return jobs


def _shed(job: core.Job) -> core.Refuse:
    return core.Refuse(job_id=job.job_id, kind=errors.ErrorKind.SHED)
