"""Admission controller of one backend server."""

import math

import msgspec

from bergamotdeal.admission import core
from bergamotdeal.admission import estimate
from bergamotdeal.admission import limit as limits
from bergamotdeal.admission import rate
from bergamotdeal.admission import waiting
from bergamotdeal.admission import window
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.utils import hashing

_PEAK_DECAY = 0.95
_URGENT_RUN_TIME_FACTOR = 2.0
_MS_PER_S = 1000.0


class _Run(msgspec.Struct, kw_only=True):
    job: core.Job
    rank: int
    share: float
    started_at: float


class AdmissionController:
    """Admission controller that starts, queues, rejects and preempts jobs.

    It combines a concurrency limit, a rate limit if the server sets one, a
    bounded priority queue and an admission threshold per class. It reads no
    clock: each method takes the current monotonic seconds and returns the
    resulting decisions in the order in which they must be applied. No state is
    kept for a job once it is rejected, preempted, released or cancelled.

    Args:
      policy: Admission policy of the preset in force.
      service_policy: Policy of the backend server's service.
      class_count: Number of priority classes.
      slots: Requests that the backend server can run concurrently.
      now: Monotonic seconds.
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
        self._last_advance = now
        self._runs_by_id: dict[int, _Run] = {}
        self._running_by_rank = [0] * class_count
        self._top_class_peak = 0.0
        self._queue = waiting.JobQueue(
            is_fair=policy.fair_share, by_deadline=policy.deadline_order
        )
        self._start_rate = rate.StartRateLimiter()
        self._run_time_estimate = estimate.RunTimeEstimate()
        self._work_factor = 1.0
        self._limit = limits.AdaptiveLimit(
            slots=slots,
            cold_start_s=service_policy.cold_start_ms / _MS_PER_S,
            now=now,
        )
        self._thresholds = window.ThresholdController(
            policy=policy, class_count=class_count, now=now
        )

    def submit(self, job: core.Job, now: float) -> list[core.Decision]:
        """Admits, queues or rejects a new job.

        Args:
          job: The job; its id must be unique among running and queued jobs.
          now: Monotonic seconds.

        Returns:
          Decisions on this job and on jobs that it displaces. Without a
          decision on this job, it is queued.
        """
        if not self._policy.limits:
            return [self._start_unlimited(job, now)]
        decisions = self.advance(now)
        if self._slots == 0:
            return [*decisions, _refuse(job, errors.ErrorKind.NO_SERVER)]
        rank = self._rank(job)
        hash_share = self._hash_share(job)
        self._thresholds.record_arrival(rank, hash_share)
        is_shed = self._policy.thresholds and (
            hash_share >= self._thresholds.class_threshold(rank)
        )
        if is_shed and not self._can_displace_job(rank, now):
            return [*decisions, _refuse(job, errors.ErrorKind.SHED)]
        if self._misses_deadline(job, now):
            return [*decisions, self._refuse_late_job(job, now)]
        if not len(self._queue) and self._has_slot(rank, now):
            self._queue.record_direct_start(job, rank=rank)
            return [*decisions, self._start(job, now)]
        self._enqueue(job)
        return decisions + self._start_queued_jobs(now) + self._trim_queue(now)

    def release_slot(
        self, job_id: int, now: float, *, completed: bool
    ) -> list[core.Decision]:
        """Releases the slot of a job whose run ended.

        Args:
          job_id: The job; unknown ids, such as those of preempted jobs, are
            ignored.
          now: Monotonic seconds.
          completed: Whether the run produced a complete answer.
        """
        run = self._runs_by_id.get(job_id)
        if run is None:
            return []
        self._accrue_busy_time(now)
        self._remove_run(run)
        if completed:
            # Run times count at the usual speed of the server.
            run_s = (now - run.started_at) / self._work_factor
            self._thresholds.record_completion()
            self._limit.record_run(run_s)
            self._run_time_estimate.add_sample(run_s)
        return self.advance(now)

    def cancel_job(self, job_id: int, now: float) -> list[core.Decision]:
        """Removes a running or queued job whose caller has given up."""
        run = self._runs_by_id.get(job_id)
        if run is not None:
            self._accrue_busy_time(now)
            self._remove_run(run)
        else:
            self._queue.remove(job_id)
        return self.advance(now)

    def advance(self, now: float) -> list[core.Decision]:
        """Processes elapsed time.

        Closes the control window when due, rejects queued jobs that can no
        longer meet their deadline, starts jobs on free slots and preempts for
        urgent ones.
        """
        if not self._policy.limits:
            return []
        self._accrue_busy_time(now)
        if self._thresholds.is_due(now):
            self._close_window(now)
        if not len(self._queue):
            return []
        return (
            self._refuse_late_jobs(now)
            + self._start_queued_jobs(now)
            + self._preempt_for_urgent_jobs(now)
        )

    def set_slots(self, slots: int, now: float) -> list[core.Decision]:
        """Sets the number of slots that the backend server announces.

        Args:
          slots: Requests that it can run concurrently; 0 when the server is
            gone, which rejects all queued jobs.
          now: Monotonic seconds.
        """
        self._slots = slots
        self._limit.set_slots(slots, now)
        if slots:
            return self.advance(now) + self._trim_queue(now)
        kind = errors.ErrorKind.NO_SERVER
        return [_refuse(job, kind) for job in self._queue.remove_all()]

    def set_rate_limit(
        self, rate_limit: float | None, now: float
    ) -> list[core.Decision]:
        """Sets the rate limit of the backend server, under every policy.

        Args:
          rate_limit: Jobs that may start per second, or None for no limit.
          now: Monotonic seconds.
        """
        self._start_rate.set_rate(rate_limit, now)
        return self.advance(now) + self._trim_queue(now)

    def set_work_factor(
        self, work_factor: float, now: float
    ) -> list[core.Decision]:
        """Sets how long work takes now as a multiple of the usual time.

        The number of jobs that run at once stays the same. Expected run times
        scale with the factor, and the queue shrinks with it, so that queued
        jobs wait no longer on a slow server.
        """
        if work_factor == self._work_factor:
            return []
        self._work_factor = work_factor
        return self.advance(now) + self._trim_queue(now)

    def set_policy(
        self,
        *,
        policy: model.AdmissionPolicy,
        service_policy: model.ServicePolicy,
        class_count: int,
        now: float,
    ) -> list[core.Decision]:
        """Applies the policy of a new preset.

        Running and queued jobs keep their class rank, from which their rank
        under the new policy is derived.
        """
        self._accrue_busy_time(now)
        self._policy = policy
        self._service_policy = service_policy
        self._class_count = class_count
        self._limit.set_cold_start(service_policy.cold_start_ms / _MS_PER_S)
        self._thresholds.set_policy(policy=policy, class_count=class_count)
        self._running_by_rank = [0] * class_count
        for run in self._runs_by_id.values():
            run.rank = self._rank(run.job)
            self._running_by_rank[run.rank] += 1
        jobs = self._queue.remove_all()
        self._queue.set_order(
            is_fair=policy.fair_share, by_deadline=policy.deadline_order
        )
        if not policy.limits:
            return [self._start_unlimited(job, now) for job in jobs]
        for job in jobs:
            self._enqueue(job)
        return self.advance(now) + self._trim_queue(now)

    @property
    def rate_limit(self) -> float | None:
        """Jobs that may start per second, or None for no limit."""
        return self._start_rate.rate

    def next_wakeup(self) -> float | None:
        """Returns when to call ``advance``, or None if no job is queued.

        The time is in monotonic seconds.
        """
        deadline = self._queue.earliest_deadline()
        if deadline is None:
            return None
        times = [self._thresholds.window_end()]
        if self._policy.check_deadlines:
            times.append(self._latest_start(deadline))
        urgent_from = self._urgent_from(deadline)
        if urgent_from > self._last_advance and self._policy.class_order:
            times.append(urgent_from)
        if not self._start_rate.allows_start(self._last_advance):
            times.append(self._start_rate.next_start_at())
        return min(times)

    def threshold(self, class_rank: int) -> float:
        """Returns the share of request hashes admitted for a class."""
        if not (self._policy.limits and self._policy.thresholds):
            return 1.0
        rank = class_rank if self._policy.class_order else 0
        return self._thresholds.class_threshold(rank)

    def load(self) -> rpc.Load:
        """Returns the current load, which answers report to callers."""
        return rpc.Load(
            running=len(self._runs_by_id),
            queued=len(self._queue),
            limit=self._usable_limit(self._last_advance),
        )

    def _current_limit(self, now: float) -> int:
        limit = self._limit.current_limit(
            now,
            adapt=self._policy.adapt_limit,
            slow_start=self._policy.slow_start,
        )
        usable_slots = math.floor(self._policy.slots_share * self._slots)
        return min(limit, max(1, usable_slots))

    def _usable_limit(self, now: float) -> int:
        """Returns how many slots can be in use under all limits."""
        return self._start_rate.bound_slots(
            self._current_limit(now), self._expected_run_s()
        )

    def _has_slot(self, rank: int, now: float) -> bool:
        """Returns whether a job of a class may start now.

        Some slots are reserved for the top class, up to the peak of its recent
        concurrency.
        """
        if not self._start_rate.allows_start(now):
            return False
        limit = self._current_limit(now)
        running = len(self._runs_by_id)
        if rank == 0 or running >= limit:
            return running < limit
        reserved = math.ceil(self._policy.reserved_share * limit)
        reserved = min(reserved, math.ceil(self._top_class_peak), limit - 1)
        return running < limit - max(0, reserved - self._running_by_rank[0])

    def _accrue_busy_time(self, now: float) -> None:
        slot_s = len(self._runs_by_id) * (now - self._last_advance)
        self._thresholds.add_busy_time(slot_s)
        self._limit.add_busy_time(slot_s)
        self._last_advance = now

    def _close_window(self, now: float) -> None:
        self._run_time_estimate.update(is_idle=not self._runs_by_id)
        self._limit.update(now)
        self._top_class_peak *= _PEAK_DECAY
        limit = self._usable_limit(now)
        self._thresholds.close_window(
            now=now,
            limit=limit,
            rate_limit=self._start_rate.rate,
            depth_by_rank=self._queue.depth_by_rank(self._class_count),
            queue_bound=self._queue_bound(limit),
        )

    def _queue_bound(self, limit: int) -> int:
        ratio = self._policy.queue_slots_ratio / max(1.0, self._work_factor)
        jobs = math.ceil(ratio * limit)
        return self._start_rate.bound_queue(jobs)

    def _rank(self, job: core.Job) -> int:
        if not self._policy.class_order:
            return 0
        return min(job.class_rank, self._class_count - 1)

    def _hash_share(self, job: core.Job) -> float:
        if self._policy.consistent_hash:
            return job.hash_share
        return hashing.job_hash_share(job.job_id)

    def _enqueue(self, job: core.Job) -> None:
        hash_share = (
            self._hash_share(job) if self._policy.consistent_hash else 0.0
        )
        self._queue.push(job, rank=self._rank(job), hash_share=hash_share)

    def _start(self, job: core.Job, now: float) -> core.Start:
        rank = self._rank(job)
        self._start_rate.record_start(now)
        self._runs_by_id[job.job_id] = _Run(
            job=job, rank=rank, share=self._hash_share(job), started_at=now
        )
        self._running_by_rank[rank] += 1
        if rank == 0:
            peak = max(self._top_class_peak, self._running_by_rank[0])
            self._top_class_peak = peak
        self._thresholds.record_start(rank, now - job.arrived)
        return core.Start(job_id=job.job_id)

    def _start_unlimited(self, job: core.Job, now: float) -> core.Decision:
        """Starts a job regardless of slots, unless the rate limit forbids."""
        if not self._start_rate.allows_start(now):
            return _refuse(job, errors.ErrorKind.SHED)
        return self._start(job, now)

    def _remove_run(self, run: _Run) -> None:
        del self._runs_by_id[run.job.job_id]
        self._running_by_rank[run.rank] -= 1

    def _can_displace_job(self, rank: int, now: float) -> bool:
        last_job = self._queue.last()
        if last_job is not None and self._rank(last_job) > rank:
            return True
        return self._can_preempt(rank, now)

    def _can_preempt(self, rank: int, now: float) -> bool:
        if not self._policy.preempt or not self._start_rate.allows_start(now):
            return False
        if not self._service_policy.accepts_cancellation:
            return False
        return any(self._running_by_rank[rank + 1 :])

    def _misses_deadline(self, job: core.Job, now: float) -> bool:
        if not self._policy.check_deadlines:
            return False
        return now >= self._latest_start(job.deadline)

    def _refuse_late_job(self, job: core.Job, now: float) -> core.Refuse:
        if job.deadline <= now:
            return _refuse(job, errors.ErrorKind.DEADLINE_EXCEEDED)
        return _refuse(job, errors.ErrorKind.SHED)

    def _refuse_late_jobs(self, now: float) -> list[core.Decision]:
        earliest = self._queue.earliest_deadline()
        if earliest is None or not self._policy.check_deadlines:
            return []
        if now < self._latest_start(earliest):
            return []
        late_jobs = [
            job for job in self._queue.jobs() if self._misses_deadline(job, now)
        ]
        for job in late_jobs:
            self._queue.remove(job.job_id)
        return [self._refuse_late_job(job, now) for job in late_jobs]

    def _start_queued_jobs(self, now: float) -> list[core.Decision]:
        decisions: list[core.Decision] = []
        run_s = self._run_time_estimate.value()
        self._queue.update_urgency(now, run_s=run_s)
        while (job := self._queue.first()) is not None:
            if not self._has_slot(self._rank(job), now):
                break
            self._queue.start(job.job_id)
            decisions.append(self._start(job, now))
        return decisions

    def _trim_queue(self, now: float) -> list[core.Decision]:
        """Shrinks the queue to its bound.

        The last job in service order leaves the queue: it preempts a running
        job of a less important class if one can be cancelled, and is rejected
        otherwise.
        """
        decisions: list[core.Decision] = []
        bound = self._queue_bound(self._usable_limit(now))
        while len(self._queue) > bound:
            job = self._queue.last()
            if self._can_preempt(self._rank(job), now):
                self._queue.start(job.job_id)
                decisions.append(self._preempt(now))
                decisions.append(self._start(job, now))
            else:
                self._queue.remove(job.job_id)
                decisions.append(_refuse(job, errors.ErrorKind.SHED))
        return decisions

    def _preempt_for_urgent_jobs(self, now: float) -> list[core.Decision]:
        """Preempts for queued jobs that would soon miss their deadline."""
        earliest = self._queue.earliest_deadline()
        if earliest is None or now < self._urgent_from(earliest):
            return []
        decisions: list[core.Decision] = []
        for job in self._queue.jobs():
            if not self._can_preempt(self._rank(job), now):
                break
            if now >= self._urgent_from(job.deadline):
                self._queue.start(job.job_id)
                decisions.append(self._preempt(now))
                decisions.append(self._start(job, now))
        return decisions

    def _latest_start(self, deadline: float) -> float:
        return deadline - self._expected_run_s()

    def _urgent_from(self, deadline: float) -> float:
        return deadline - _URGENT_RUN_TIME_FACTOR * self._expected_run_s()

    def _expected_run_s(self) -> float:
        return self._run_time_estimate.value() * self._work_factor

    def _preempt(self, now: float) -> core.Preempt:
        self._accrue_busy_time(now)
        run = max(
            self._runs_by_id.values(),
            key=lambda each: (each.rank, each.share),
        )
        self._remove_run(run)
        return core.Preempt(job_id=run.job.job_id)


def _refuse(job: core.Job, kind: errors.ErrorKind) -> core.Refuse:
    return core.Refuse(job_id=job.job_id, kind=kind)
