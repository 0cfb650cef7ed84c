"""Adaptive concurrency limit of one backend server."""

import math

import msgspec

_MIN_INTERVAL_S = 0.5
_MAX_INTERVAL_S = 3.0
_INTERVAL_COMPLETIONS = 60
_TRIAL_COMPLETIONS = 200
_MAX_TRIAL_S = 10.0
_SATURATED_BUSY_SHARE = 0.9
_INFLATED_RUN_TIME_RATIO = 2.0
_NORMAL_RUN_TIME_RATIO = 1.5
_BASELINE_PERIOD_S = 30.0
_TRIAL_STEP = 0.2
_MIN_THROUGHPUT_RATIO = 0.9
_ABORT_THROUGHPUT_RATIO = 0.85
_GROWTH_RATE = 0.05
_RAISE_PERIOD_S = 10.0
_MIN_INFLATED_S = 5.0
_MIN_INFLATED_COMPLETIONS = 500
_CONFIRMED_EVIDENCE_FACTOR = 0.2
_FIRST_BACKOFF_S = 60.0
_MAX_BACKOFF_S = 600.0
_SLOW_START_SHARE = 0.1


class _Interval(msgspec.Struct, kw_only=True):
    started_at: float
    completed: int = 0
    run_s: float = 0.0
    busy_s: float = 0.0


class _Trial(msgspec.Struct, frozen=True, kw_only=True):
    previous_limit: int
    limit: int
    previous_throughput: float


class AdaptiveLimit:
    """Concurrency limit that adapts between one and the announced slots.

    Run times above the baseline have two possible causes. If concurrency is
    too high, a lower limit costs no throughput; if the work itself is slow, it
    does. A saturated server with inflated run times therefore gets a lower
    limit on trial, and the step is reverted if throughput falls with it.
    Reverted trials are repeated with exponential backoff.

    Args:
      slots: Requests that the server announces it can run concurrently.
      cold_start_s: Slow-start duration of a new server in seconds.
      now: Monotonic seconds.
    """

    def __init__(self, *, slots: int, cold_start_s: float, now: float):
        self._slots = slots
        self._cold_start_s = cold_start_s
        self._adapted_limit = slots
        self._slow_start_at = now
        self._interval = _Interval(started_at=now)
        self._trial: _Trial | None = None
        self._backoff_s = _FIRST_BACKOFF_S
        self._next_trial_at = now
        self._next_raise_at = now
        self._inflated_since: float | None = None
        self._inflated_completions = 0
        self._is_contention_confirmed = False
        self._baselines = [math.inf, math.inf]
        self._baseline_started_at = now

    def current_limit(
        self, now: float, *, adapt: bool, slow_start: bool
    ) -> int:
        """Returns the concurrency limit currently in force.

        Args:
          now: Monotonic seconds.
          adapt: Whether the limit adapts to run times.
          slow_start: Whether a new server's limit grows linearly at first.
        """
        limit = self._adapted_limit if adapt else self._slots
        if slow_start and self._cold_start_s > 0.0:
            age = (now - self._slow_start_at) / self._cold_start_s
            if age < 1.0:
                share = max(_SLOW_START_SHARE, age)
                limit = min(limit, math.ceil(self._slots * share))
        return limit

    def set_slots(self, slots: int, now: float) -> None:
        """Sets the announced slots; a returning server enters slow start."""
        if slots == self._slots:
            return
        if self._slots == 0:
            self._slow_start_at = now
        is_at_maximum = self._adapted_limit >= self._slots
        self._adapted_limit = (
            slots if is_at_maximum else min(self._adapted_limit, slots)
        )
        self._slots = slots
        self._trial = None
        self._interval = _Interval(started_at=now)

    def set_cold_start(self, cold_start_s: float) -> None:
        """Sets the slow-start duration in seconds."""
        self._cold_start_s = cold_start_s

    def record_run(self, run_s: float) -> None:
        """Records a completed run and its duration in seconds."""
        self._interval.completed += 1
        self._interval.run_s += run_s

    def add_busy_time(self, slot_s: float) -> None:
        """Adds time for which slots were in use, in slot-seconds."""
        self._interval.busy_s += slot_s

    def update(self, now: float) -> None:
        """Adapts the limit once the interval has enough completed runs."""
        if self._trial is not None:
            self._check_trial(self._trial, now)
            return
        interval = self._interval
        elapsed_s = now - interval.started_at
        has_enough = interval.completed >= _INTERVAL_COMPLETIONS
        if elapsed_s < (_MIN_INTERVAL_S if has_enough else _MAX_INTERVAL_S):
            return
        self._interval = _Interval(started_at=now)
        if not interval.completed:
            return
        mean_run_s = interval.run_s / interval.completed
        throughput = interval.completed / elapsed_s
        busy_share = interval.busy_s / (max(1, self._adapted_limit) * elapsed_s)
        baseline = self._update_baseline(mean_run_s, now)
        has_long_runs = mean_run_s > _INFLATED_RUN_TIME_RATIO * baseline
        is_saturated = busy_share > _SATURATED_BUSY_SHARE
        has_persisted = self._update_inflation(
            interval, is_inflated=has_long_runs and is_saturated
        )
        if not is_saturated:
            return
        if mean_run_s < _NORMAL_RUN_TIME_RATIO * baseline:
            self._raise_limit(math.ceil(_GROWTH_RATE * self._adapted_limit))
        elif has_persisted and now >= self._next_trial_at:
            lasted_s = now - self._inflated_since
            self._start_trial(
                1.0 - _TRIAL_STEP, self._inflated_completions / lasted_s
            )
        elif self._adapted_limit < self._slots and now >= self._next_raise_at:
            self._next_raise_at = now + _RAISE_PERIOD_S
            self._start_trial(1.0 + _TRIAL_STEP, throughput)

    def _update_inflation(
        self, interval: _Interval, *, is_inflated: bool
    ) -> bool:
        """Returns whether saturation with inflated run times has persisted."""
        if not is_inflated:
            self._inflated_since = None
            self._inflated_completions = 0
            return False
        if self._inflated_since is None:
            self._inflated_since = interval.started_at
        self._inflated_completions += interval.completed
        lasted_s = self._interval.started_at - self._inflated_since
        factor = (
            _CONFIRMED_EVIDENCE_FACTOR if self._is_contention_confirmed else 1.0
        )
        return (
            lasted_s >= factor * _MIN_INFLATED_S
            and self._inflated_completions >= factor * _MIN_INFLATED_COMPLETIONS
        )

    def _start_trial(self, factor: float, throughput: float) -> None:
        limit = math.floor(self._adapted_limit * factor)
        limit = min(self._slots, max(1, limit))
        if limit == self._adapted_limit:
            return
        self._trial = _Trial(
            previous_limit=self._adapted_limit,
            limit=limit,
            previous_throughput=throughput,
        )
        self._adapted_limit = limit

    def _check_trial(self, trial: _Trial, now: float) -> None:
        """Ends a trial after enough runs, or early if throughput collapses."""
        interval = self._interval
        elapsed_s = now - interval.started_at
        is_long = elapsed_s >= _MAX_TRIAL_S
        if interval.completed < _INTERVAL_COMPLETIONS and not is_long:
            return
        ratio = interval.completed / elapsed_s / trial.previous_throughput
        is_decrease = trial.limit < trial.previous_limit
        has_failed = is_decrease and ratio < _ABORT_THROUGHPUT_RATIO
        if interval.completed < _TRIAL_COMPLETIONS and not (
            is_long or has_failed
        ):
            return
        busy_share = interval.busy_s / (self._adapted_limit * elapsed_s)
        self._interval = _Interval(started_at=now)
        self._inflated_since = None
        self._inflated_completions = 0
        self._conclude_trial(trial, ratio, busy_share, now)

    def _conclude_trial(
        self, trial: _Trial, ratio: float, busy_share: float, now: float
    ) -> None:
        self._trial = None
        if trial.limit > trial.previous_limit:
            if ratio < 1.0 / _MIN_THROUGHPUT_RATIO:
                self._adapted_limit = trial.previous_limit
            return
        if ratio >= _MIN_THROUGHPUT_RATIO or busy_share < _SATURATED_BUSY_SHARE:
            self._is_contention_confirmed = True
            self._backoff_s = _FIRST_BACKOFF_S
            self._next_raise_at = now + _RAISE_PERIOD_S
            return
        self._is_contention_confirmed = False
        self._adapted_limit = min(self._slots, trial.previous_limit)
        self._next_trial_at = now + self._backoff_s
        self._backoff_s = min(_MAX_BACKOFF_S, 2.0 * self._backoff_s)

    def _raise_limit(self, step: int) -> None:
        self._adapted_limit = min(self._slots, self._adapted_limit + step)

    def _update_baseline(self, mean_run_s: float, now: float) -> float:
        """Returns the lowest mean run time of the last two baseline periods."""
        if now - self._baseline_started_at > _BASELINE_PERIOD_S:
            self._baselines = [math.inf, self._baselines[0]]
            self._baseline_started_at = now
        self._baselines[0] = min(self._baselines[0], mean_run_s)
        return min(self._baselines)
