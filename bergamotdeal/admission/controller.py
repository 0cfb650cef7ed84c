"""The admission controller of one backend server."""

import dataclasses
import math

from bergamotdeal.admission import core
from bergamotdeal.admission import estimate
from bergamotdeal.admission import hashing
from bergamotdeal.admission import limit as limits
from bergamotdeal.admission import waiting
from bergamotdeal.admission import window
from bergamotdeal.calls import core as calls
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model

_PEAK_DECAY = 0.95
_URGENT_RUN_TIMES = 2.0
_MS_PER_S = 1000.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Run:
    job: core.Job
    rank: int
    share: float
    started: float


class AdmissionController:
    """Decides which jobs run, wait and are refused.

    It has no clock; each method takes the current monotonic seconds and
    returns the decisions that follow, in the order to be carried out. A job is
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
        self._advanced = now
        self._runs_by_id: dict[int, _Run] = {}
        self._running_by_rank = [0] * class_count
        self._first_class_peak = 0.0
        self._waiting = waiting.WaitingJobs()
        self._run_time = estimate.RunTimeEstimate()
        self._limit = limits.AdaptiveLimit(
            slots=slots,
            cold_start_s=service_policy.cold_start_ms / _MS_PER_S,
            now=now,
        )
        self._thresholds = window.RateThresholds(
            policy=policy, class_count=class_count, now=now
        )

    def submit(self, job: core.Job, now: float) -> list[core.Decision]:
        """Takes a new job.

        Args:
          job: The job; its id must not be in use.
          now: Monotonic seconds.

        Returns:
          Verdicts on this job, or on others that it displaces. No decision on
          this job means that it waits.
        """
        if not self._policy.limits:
            return [self._start(job, now)]
        decisions = self.advance(now)
        if self._slots == 0:
            return [*decisions, _refuse(job, errors.ErrorKind.NO_SERVER)]
        rank = self._rank(job)
        share = self._share(job)
        self._thresholds.count_arrival(rank, share)
        shed = self._policy.thresholds and (
            share >= self._thresholds.value(rank)
        )
        if shed and not self._can_displace(rank):
            return [*decisions, _refuse(job, errors.ErrorKind.SHED)]
        if self._is_late(job, now):
            return [*decisions, self._refuse_late(job, now)]
        if not len(self._waiting) and self._has_slot(rank, now):
            return [*decisions, self._start(job, now)]
        self._push(job)
        return decisions + self._serve(now) + self._trim(now)

    def release_slot(
        self, job_id: int, now: float, *, completed: bool
    ) -> list[core.Decision]:
        """Takes back the slot of a job whose run ended.

        Args:
          job_id: The job; an unknown one, such as a preempted one, is ignored.
          now: Monotonic seconds.
          completed: Whether the run ended with a complete answer.
        """
        run = self._runs_by_id.get(job_id)
        if run is None:
            return []
        self._count_time(now)
        self._forget_run(run)
        if completed:
            run_s = now - run.started
            self._thresholds.count_completion()
            self._limit.count_run(run_s)
            self._run_time.count(run_s)
        return self.advance(now)

    def cancel_job(self, job_id: int, now: float) -> list[core.Decision]:
        """Forgets a job whose caller no longer wants an answer."""
        run = self._runs_by_id.get(job_id)
        if run is not None:
            self._count_time(now)
            self._forget_run(run)
        else:
            self._waiting.remove(job_id)
        return self.advance(now)

    def advance(self, now: float) -> list[core.Decision]:
        """Lets time pass: closes windows, drops late jobs, starts others."""
        if not self._policy.limits:
            return []
        self._count_time(now)
        if self._thresholds.is_due(now):
            self._close_window(now)
        if not len(self._waiting):
            return []
        return self._drop_late(now) + self._serve(now) + self._rescue(now)

    def set_slots(self, slots: int, now: float) -> list[core.Decision]:
        """Takes the slots that the backend server announces.

        Args:
          slots: Requests that it can run at the same time; zero when it is
            gone, which refuses all waiting jobs.
          now: Monotonic seconds.
        """
        self._slots = slots
        self._limit.set_slots(slots, now)
        if slots:
            return self.advance(now) + self._trim(now)
        kind = errors.ErrorKind.NO_SERVER
        return [_refuse(job, kind) for job in self._waiting.remove_all()]

    def set_policy(
        self,
        *,
        policy: model.AdmissionPolicy,
        service_policy: model.ServicePolicy,
        class_count: int,
        now: float,
    ) -> list[core.Decision]:
        """Takes the policy of a new preset; jobs keep their ranks."""
        self._count_time(now)
        self._policy = policy
        self._service_policy = service_policy
        self._class_count = class_count
        self._limit.set_cold_start(service_policy.cold_start_ms / _MS_PER_S)
        self._thresholds.set_policy(policy=policy, class_count=class_count)
        self._running_by_rank = [0] * class_count
        for run in self._runs_by_id.values():
            run.rank = self._rank(run.job)
            self._running_by_rank[run.rank] += 1
        jobs = self._waiting.remove_all()
        if not policy.limits:
            return [self._start(job, now) for job in jobs]
        for job in jobs:
            self._push(job)
        return self.advance(now) + self._trim(now)

    def next_wakeup(self) -> float | None:
        """Returns when to call ``advance``, or None when no job waits."""
        deadline = self._waiting.earliest_deadline()
        if deadline is None:
            return None
        times = [self._thresholds.window_end()]
        if self._policy.check_deadlines:
            times.append(self._latest_start(deadline))
        urgent = self._urgent_at(deadline)
        if urgent > self._advanced and self._policy.class_order:
            times.append(urgent)
        return min(times)

    def threshold(self, class_rank: int) -> float:
        """Returns the share of request hashes admitted for a class."""
        if not (self._policy.limits and self._policy.thresholds):
            return 1.0
        rank = class_rank if self._policy.class_order else 0
        return self._thresholds.value(rank)

    def load(self) -> calls.Load:
        """Returns the load to report in answers."""
        return calls.Load(
            running=len(self._runs_by_id),
            queued=len(self._waiting),
            limit=self._limit_now(self._advanced),
        )

    def _limit_now(self, now: float) -> int:
        limit = self._limit.value(
            now,
            adapt=self._policy.adapt_limit,
            slow_start=self._policy.slow_start,
        )
        usable = math.floor(self._policy.slots_share * self._slots)
        return min(limit, max(1, usable))

    def _has_slot(self, rank: int, now: float) -> bool:
        """Tells whether a job of a class may start."""
        limit = self._limit_now(now)
        running = len(self._runs_by_id)
        if rank == 0 or running >= limit:
            return running < limit
        reserved = math.ceil(self._policy.reserved_share * limit)
        reserved = min(reserved, math.ceil(self._first_class_peak), limit - 1)
        return running < limit - max(0, reserved - self._running_by_rank[0])

    def _count_time(self, now: float) -> None:
        slot_s = len(self._runs_by_id) * (now - self._advanced)
        self._thresholds.count_busy(slot_s)
        self._limit.count_busy(slot_s)
        self._advanced = now

    def _close_window(self, now: float) -> None:
        self._run_time.update(is_idle=not self._runs_by_id)
        self._limit.update(now)
        self._first_class_peak *= _PEAK_DECAY
        limit = self._limit_now(now)
        self._thresholds.close_window(
            now=now,
            limit=limit,
            depth_by_rank=self._waiting.depth_by_rank(self._class_count),
            queue_bound=self._bound(limit),
        )

    def _bound(self, limit: int) -> int:
        return math.ceil(self._policy.queue_slots_ratio * limit)

    def _rank(self, job: core.Job) -> int:
        if not self._policy.class_order:
            return 0
        return min(job.class_rank, self._class_count - 1)

    def _share(self, job: core.Job) -> float:
        if self._policy.consistent_hash:
            return job.hash_share
        return hashing.mixed_share(job.job_id)

    def _push(self, job: core.Job) -> None:
        share = self._share(job) if self._policy.consistent_hash else 0.0
        self._waiting.push(job, rank=self._rank(job), share=share)

    def _start(self, job: core.Job, now: float) -> core.Start:
        rank = self._rank(job)
        self._runs_by_id[job.job_id] = _Run(
            job=job, rank=rank, share=self._share(job), started=now
        )
        self._running_by_rank[rank] += 1
        if rank == 0:
            peak = max(self._first_class_peak, self._running_by_rank[0])
            self._first_class_peak = peak
        self._thresholds.count_start(rank, now - job.arrived)
        return core.Start(job_id=job.job_id)

    def _forget_run(self, run: _Run) -> None:
        del self._runs_by_id[run.job.job_id]
        self._running_by_rank[run.rank] -= 1

    def _can_displace(self, rank: int) -> bool:
        last = self._waiting.last()
        if last is not None and self._rank(last) > rank:
            return True
        return self._can_preempt(rank)

    def _can_preempt(self, rank: int) -> bool:
        if not self._policy.preempt:
            return False
        if not self._service_policy.accepts_cancellation:
            return False
        return any(self._running_by_rank[rank + 1 :])

    def _is_late(self, job: core.Job, now: float) -> bool:
        if not self._policy.check_deadlines:
            return False
        return now >= self._latest_start(job.deadline)

    def _refuse_late(self, job: core.Job, now: float) -> core.Refuse:
        if job.deadline <= now:
            return _refuse(job, errors.ErrorKind.DEADLINE_EXCEEDED)
        return _refuse(job, errors.ErrorKind.SHED)

    def _drop_late(self, now: float) -> list[core.Decision]:
        earliest = self._waiting.earliest_deadline()
        if earliest is None or not self._policy.check_deadlines:
            return []
        if now < self._latest_start(earliest):
            return []
        late = [job for job in self._waiting.jobs() if self._is_late(job, now)]
        for job in late:
            self._waiting.remove(job.job_id)
        return [self._refuse_late(job, now) for job in late]

    def _serve(self, now: float) -> list[core.Decision]:
        decisions: list[core.Decision] = []
        while (job := self._waiting.first()) is not None:
            if not self._has_slot(self._rank(job), now):
                break
            self._waiting.remove(job.job_id)
            decisions.append(self._start(job, now))
        return decisions

    def _trim(self, now: float) -> list[core.Decision]:
        """Brings the queue back to its bound.

        The last job in the order leaves: it takes the slot of a less
        important one that can be cancelled, or is refused.
        """
        decisions: list[core.Decision] = []
        bound = self._bound(self._limit_now(now))
        while len(self._waiting) > bound:
            job = self._waiting.last()
            self._waiting.remove(job.job_id)
            if self._can_preempt(self._rank(job)):
                decisions.append(self._preempt(now))
                decisions.append(self._start(job, now))
            else:
                decisions.append(_refuse(job, errors.ErrorKind.SHED))
        return decisions

    def _rescue(self, now: float) -> list[core.Decision]:
        """Preempts for jobs that would be late if they waited longer."""
        earliest = self._waiting.earliest_deadline()
        if earliest is None or now < self._urgent_at(earliest):
            return []
        decisions: list[core.Decision] = []
        for job in self._waiting.jobs():
            if not self._can_preempt(self._rank(job)):
                break
            if now >= self._urgent_at(job.deadline):
                self._waiting.remove(job.job_id)
                decisions.append(self._preempt(now))
                decisions.append(self._start(job, now))
        return decisions

    def _latest_start(self, deadline: float) -> float:
        return deadline - self._run_time.value()

    def _urgent_at(self, deadline: float) -> float:
        return deadline - _URGENT_RUN_TIMES * self._run_time.value()

    def _preempt(self, now: float) -> core.Preempt:
        self._count_time(now)
        run = max(
            self._runs_by_id.values(), key=lambda each: (each.rank, each.share)
        )
        self._forget_run(run)
        return core.Preempt(job_id=run.job.job_id)


def _refuse(job: core.Job, kind: errors.ErrorKind) -> core.Refuse:
    return core.Refuse(job_id=job.job_id, kind=kind)
