"""The concurrency limit in force at one backend server."""

import dataclasses
import math

_MIN_SPAN_S = 0.5
_MAX_SPAN_S = 3.0
_SPAN_COMPLETIONS = 60
_TRIAL_COMPLETIONS = 200
_MAX_TRIAL_S = 10.0
_SATURATED_SHARE = 0.9
_INFLATED_RATIO = 2.0
_CALM_RATIO = 1.5
_BASELINE_S = 30.0
_STEP = 0.2
_KEPT_THROUGHPUT = 0.9
_HOPELESS_THROUGHPUT = 0.85
_GROWTH = 0.05
_RAISE_PERIOD_S = 10.0
_SUSPICION_S = 5.0
_SUSPICION_COMPLETIONS = 500
_CONFIRMED_FACTOR = 0.2
_FIRST_BACKOFF_S = 60.0
_MAX_BACKOFF_S = 600.0
_SLOW_START_SHARE = 0.1


@dataclasses.dataclass(kw_only=True, slots=True)
class _Span:
    started: float
    completed: int = 0
    run_s: float = 0.0
    busy_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Trial:
    limit_before: int
    limit: int
    throughput_before: float


class AdaptiveLimit:
    """Keeps the concurrency at or below the announced slots.

    Run times above the baseline may come from concurrency that is too high,
    and then a lower limit costs no throughput; or from slow work, and then it
    does. So a saturated server with inflated run times gets a lower limit on
    trial, and the step is taken back when the throughput falls with it.
    Reverted trials are repeated at growing distances.
    """

    def __init__(self, *, slots: int, cold_start_s: float, now: float):
        self._slots = slots
        self._cold_start_s = cold_start_s
        self._adapted = slots
        self._slow_start_began = now
        self._span = _Span(started=now)
        self._trial: _Trial | None = None
        self._backoff_s = _FIRST_BACKOFF_S
        self._next_trial = now
        self._next_raise = now
        self._inflated_since: float | None = None
        self._inflated_completions = 0
        self._confirmed = False
        self._baselines = [math.inf, math.inf]
        self._baseline_started = now

    def value(self, now: float, *, adapt: bool, slow_start: bool) -> int:
        """Returns the limit in force.

        Args:
          now: Monotonic seconds.
          adapt: Whether the limit follows the run times.
          slow_start: Whether a new server's limit grows with time.
        """
        limit = self._adapted if adapt else self._slots
        if slow_start and self._cold_start_s > 0.0:
            age = (now - self._slow_start_began) / self._cold_start_s
            if age < 1.0:
                share = max(_SLOW_START_SHARE, age)
                limit = min(limit, math.ceil(self._slots * share))
        return limit

    def set_slots(self, slots: int, now: float) -> None:
        """Takes announced slots; a server that was gone starts slowly."""
        if slots == self._slots:
            return
        if self._slots == 0:
            self._slow_start_began = now
        full = self._adapted >= self._slots
        self._adapted = slots if full else min(self._adapted, slots)
        self._slots = slots
        self._trial = None
        self._span = _Span(started=now)

    def set_cold_start(self, cold_start_s: float) -> None:
        """Takes the time over which a new server's limit grows."""
        self._cold_start_s = cold_start_s

    def count_run(self, run_s: float) -> None:
        """Counts a completed run and its time in seconds."""
        self._span.completed += 1
        self._span.run_s += run_s

    def count_busy(self, slot_s: float) -> None:
        """Adds to the time for which slots were in use, slot-seconds."""
        self._span.busy_s += slot_s

    def update(self, now: float) -> None:
        """Adapts the limit when enough runs were seen."""
        if self._trial is not None:
            self._watch(self._trial, now)
            return
        span = self._span
        elapsed = now - span.started
        enough = span.completed >= _SPAN_COMPLETIONS
        if elapsed < (_MIN_SPAN_S if enough else _MAX_SPAN_S):
            return
        self._span = _Span(started=now)
        if not span.completed:
            return
        mean_run_s = span.run_s / span.completed
        throughput = span.completed / elapsed
        busy_share = span.busy_s / (max(1, self._adapted) * elapsed)
        baseline = self._note_baseline(mean_run_s, now)
        inflated = mean_run_s > _INFLATED_RATIO * baseline
        saturated = busy_share > _SATURATED_SHARE
        suspected = self._note_inflation(
            span, is_inflated=inflated and saturated
        )
        if not saturated:
            return
        if mean_run_s < _CALM_RATIO * baseline:
            self._grow(math.ceil(_GROWTH * self._adapted))
        elif suspected and now >= self._next_trial:
            lasted = now - self._inflated_since
            self._try(1.0 - _STEP, self._inflated_completions / lasted)
        elif self._adapted < self._slots and now >= self._next_raise:
            self._next_raise = now + _RAISE_PERIOD_S
            self._try(1.0 + _STEP, throughput)

    def _note_inflation(self, span: _Span, *, is_inflated: bool) -> bool:
        """Tells whether saturation with long run times has lasted."""
        if not is_inflated:
            self._inflated_since = None
            self._inflated_completions = 0
            return False
        if self._inflated_since is None:
            self._inflated_since = span.started
        self._inflated_completions += span.completed
        lasted = self._span.started - self._inflated_since
        factor = _CONFIRMED_FACTOR if self._confirmed else 1.0
        return (
            lasted >= factor * _SUSPICION_S
            and self._inflated_completions >= factor * _SUSPICION_COMPLETIONS
        )

    def _try(self, factor: float, throughput: float) -> None:
        limit = math.floor(self._adapted * factor)
        limit = min(self._slots, max(1, limit))
        if limit == self._adapted:
            return
        self._trial = _Trial(
            limit_before=self._adapted,
            limit=limit,
            throughput_before=throughput,
        )
        self._adapted = limit

    def _watch(self, trial: _Trial, now: float) -> None:
        """Ends a trial once it has seen enough runs, or early if it fails."""
        span = self._span
        elapsed = now - span.started
        is_long = elapsed >= _MAX_TRIAL_S
        if span.completed < _SPAN_COMPLETIONS and not is_long:
            return
        ratio = span.completed / elapsed / trial.throughput_before
        lowers = trial.limit < trial.limit_before
        failed = lowers and ratio < _HOPELESS_THROUGHPUT
        if span.completed < _TRIAL_COMPLETIONS and not (is_long or failed):
            return
        busy_share = span.busy_s / (self._adapted * elapsed)
        self._span = _Span(started=now)
        self._inflated_since = None
        self._inflated_completions = 0
        self._judge(trial, ratio, busy_share, now)

    def _judge(
        self, trial: _Trial, ratio: float, busy_share: float, now: float
    ) -> None:
        self._trial = None
        if trial.limit > trial.limit_before:
            if ratio < 1.0 / _KEPT_THROUGHPUT:
                self._adapted = trial.limit_before
            return
        if ratio >= _KEPT_THROUGHPUT or busy_share < _SATURATED_SHARE:
            self._confirmed = True
            self._backoff_s = _FIRST_BACKOFF_S
            self._next_raise = now + _RAISE_PERIOD_S
            return
        self._confirmed = False
        self._adapted = min(self._slots, trial.limit_before)
        self._next_trial = now + self._backoff_s
        self._backoff_s = min(_MAX_BACKOFF_S, 2.0 * self._backoff_s)

    def _grow(self, step: int) -> None:
        self._adapted = min(self._slots, self._adapted + step)

    def _note_baseline(self, mean_run_s: float, now: float) -> float:
        """Returns the lowest mean run time of the latest two periods."""
        if now - self._baseline_started > _BASELINE_S:
            self._baselines = [math.inf, self._baselines[0]]
            self._baseline_started = now
        self._baselines[0] = min(self._baselines[0], mean_run_s)
        return min(self._baselines)
