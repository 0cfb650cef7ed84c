"""Admission thresholds computed per control window from measured rates."""

import math

import msgspec

from bergamotdeal.presets import model

_RECOVERY_FACTOR = 1.2
_RECOVERY_STEP = 0.005
_ADJUSTMENT_RATE = 0.5
_DECAY = 0.5
_PROBES_PER_S = 2.0
_PROBE_SHARE_MIN = 0.002
_PROBE_SHARE_MAX = 0.05
_PRIOR_ARRIVALS = 2.0
_MIN_SHEDDABLE_SHARE = 0.1
_TARGET_DEPTH_SHARE = 0.15
_UPPER_CLASS_DEPTH_SHARE = 0.6
_INSIGNIFICANT_CUT = 0.85
_BUSY_SHARE = 0.9
_MS_PER_S = 1000.0


class _ClassCounts(msgspec.Struct, kw_only=True):
    """Exponentially decaying counters of one class.

    Attributes:
      arrivals: Number of arrivals, admitted or not.
      hash_sum: Sum of their hash shares.
      started: Jobs that got a slot.
      min_wait_s: Shortest queueing delay in the current window, seconds.
      was_overloaded: Whether the previous window was overloaded.
    """

    arrivals: float = 0.0
    hash_sum: float = 0.0
    started: float = 0.0
    min_wait_s: float = math.inf
    was_overloaded: bool = False

    def estimate_offered(self, threshold: float) -> float:
        """Estimates the arrivals if upstream nodes had shed none.

        The hashes of arrivals that upstream nodes admit are uniform below the
        threshold known there, so twice their mean estimates that threshold.
        The local threshold acts as a prior worth a few arrivals.
        """
        upstream_threshold = 2.0 * self.hash_sum + _PRIOR_ARRIVALS * threshold
        upstream_threshold /= self.arrivals + _PRIOR_ARRIVALS
        return self.arrivals / min(1.0, upstream_threshold)

    def decay(self) -> None:
        """Decays the counters at the end of a window."""
        self.arrivals *= _DECAY
        self.hash_sum *= _DECAY
        self.started *= _DECAY
        self.min_wait_s = math.inf


class ThresholdController:
    """Controller of the admission threshold of each class.

    At the end of an overloaded window, the desired admission rate is the
    completion rate of the server plus a correction proportional to the
    distance of the queue from its target depth. It is allocated to the classes
    in order of importance, and each threshold moves halfway to the share of
    its class's offered rate that the allocation covers. Without overload a
    threshold grows back to 1.

    A class is served before less important ones. It therefore counts as
    overloaded only by its own queue and those of more important classes, and
    its threshold falls only once less important classes get next to no slots.

    Args:
      policy: Admission policy of the preset in force.
      class_count: Number of priority classes.
      now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        policy: model.AdmissionPolicy,
        class_count: int,
        now: float,
    ):
        self._policy = policy
        self._thresholds = [1.0] * class_count
        self._counts = [_ClassCounts() for _ in range(class_count)]
        self._window_started_at = now
        self._window_completions = 0
        self._completions = 0.0
        self._busy_s = 0.0
        self._elapsed_s = 0.0

    def set_policy(
        self, *, policy: model.AdmissionPolicy, class_count: int
    ) -> None:
        """Applies a new policy; existing ranks keep their thresholds."""
        self._policy = policy
        new = class_count - len(self._thresholds)
        self._thresholds = self._thresholds[:class_count] + [1.0] * new
        self._counts = [_ClassCounts() for _ in range(class_count)]

    def class_threshold(self, class_rank: int) -> float:
        """Returns the share of request hashes admitted for a class."""
        return self._thresholds[self._rank(class_rank)]

    def record_arrival(self, class_rank: int, hash_share: float) -> None:
        """Records an arrival, admitted or not."""
        counts = self._counts[self._rank(class_rank)]
        counts.arrivals += 1.0
        counts.hash_sum += hash_share

    def record_start(self, class_rank: int, wait_s: float) -> None:
        """Records a job that got a slot after a queueing delay in seconds."""
        counts = self._counts[self._rank(class_rank)]
        counts.started += 1.0
        counts.min_wait_s = min(counts.min_wait_s, wait_s)

    def record_completion(self) -> None:
        """Records a completed job."""
        self._completions += 1.0
        self._window_completions += 1

    def add_busy_time(self, slot_s: float) -> None:
        """Adds time for which slots were in use, in slot-seconds."""
        self._busy_s += slot_s

    def window_end(self) -> float:
        """Returns the latest end of the current window, monotonic seconds."""
        return self._window_started_at + self._policy.window_max_ms / _MS_PER_S

    def is_due(self, now: float) -> bool:
        """Returns whether the current window should be closed."""
        age = now - self._window_started_at
        if age < self._policy.window_min_ms / _MS_PER_S:
            return False
        if self._window_completions >= self._policy.window_completions:
            return True
        return now >= self.window_end()

    def close_window(
        self,
        *,
        now: float,
        limit: int,
        depth_by_rank: list[int],
        queue_bound: int,
        rate_limit: float | None = None,
    ) -> None:
        """Updates the thresholds and starts the next window.

        Args:
          now: Monotonic seconds.
          limit: Concurrency limit in force.
          rate_limit: Jobs that may start per second, or None for no limit.
          depth_by_rank: Number of queued jobs of each class.
          queue_bound: Maximum number of queued jobs.
        """
        window_s = now - self._window_started_at
        self._elapsed_s += window_s
        windows = max(1, int(window_s * _MS_PER_S / self._policy.window_max_ms))
        target_wait_s = self._policy.target_delay_ms / _MS_PER_S
        target_depth = _TARGET_DEPTH_SHARE * queue_bound
        capacity = self._capacity(limit, rate_limit)
        correction_s = self._policy.window_completions / capacity
        correction_s = max(window_s, correction_s)
        is_idle = self._is_idle(limit, rate_limit)
        depth = 0
        allocated = 0.0
        for rank, threshold in enumerate(self._thresholds):
            counts = self._counts[rank]
            depth += depth_by_rank[rank]
            offered = counts.estimate_offered(threshold) / self._elapsed_s
            correction = self._policy.gain * (target_depth - depth)
            available = capacity + correction / correction_s - allocated
            adjusted = _adjusted_threshold(threshold, available, offered)
            has_standing_queue = depth and counts.min_wait_s > target_wait_s
            is_last = rank + 1 == len(self._thresholds)
            depth_share = (
                _TARGET_DEPTH_SHARE if is_last else _UPPER_CLASS_DEPTH_SHARE
            )
            is_overloaded = depth > depth_share * queue_bound
            is_overloaded = is_overloaded or (has_standing_queue and is_last)
            is_first_cut = threshold >= 1.0 and not counts.was_overloaded
            counts.was_overloaded = is_overloaded
            is_insignificant = is_first_cut and adjusted > _INSIGNIFICANT_CUT
            if (
                not is_overloaded
                or is_insignificant
                or self._has_sheddable_lower_classes(rank)
            ):
                adjusted = max(threshold, adjusted)
                if is_idle:
                    adjusted = max(
                        adjusted, _recovered_threshold(threshold, windows)
                    )
            self._thresholds[rank] = adjusted
            allocated += offered * adjusted
        self._begin_window(now)

    def _capacity(self, limit: int, rate_limit: float | None) -> float:
        """Returns the completion rate per second that the limits allow."""
        completed = max(0.5, self._completions)
        capacity = completed * limit / max(1e-9, self._busy_s)
        return capacity if rate_limit is None else min(capacity, rate_limit)

    def _is_idle(self, limit: int, rate_limit: float | None) -> bool:
        """Returns whether the server could have completed more jobs."""
        if rate_limit is not None:
            started = sum(counts.started for counts in self._counts)
            return started < _BUSY_SHARE * rate_limit * self._elapsed_s
        return self._busy_s < _BUSY_SHARE * limit * self._elapsed_s

    def _has_sheddable_lower_classes(self, rank: int) -> bool:
        started = sum(counts.started for counts in self._counts)
        lower = sum(counts.started for counts in self._counts[rank + 1 :])
        return lower > _MIN_SHEDDABLE_SHARE * started

    def _begin_window(self, now: float) -> None:
        self._window_started_at = now
        self._window_completions = 0
        self._completions *= _DECAY
        self._busy_s *= _DECAY
        self._elapsed_s *= _DECAY
        for counts in self._counts:
            counts.decay()

    def _rank(self, class_rank: int) -> int:
        return min(class_rank, len(self._thresholds) - 1)


def _adjusted_threshold(
    threshold: float, available: float, offered: float
) -> float:
    """Returns the threshold moved halfway to the admissible share.

    A minimum keeps a few probe requests per second admitted.
    """
    if not offered:
        return _recovered_threshold(threshold, 1)
    admissible = min(1.0, max(0.0, available) / offered)
    minimum = min(
        _PROBE_SHARE_MAX, max(_PROBE_SHARE_MIN, _PROBES_PER_S / offered)
    )
    return max(minimum, threshold + _ADJUSTMENT_RATE * (admissible - threshold))


def _recovered_threshold(threshold: float, windows: int) -> float:
    for _ in range(windows):
        threshold = min(1.0, threshold * _RECOVERY_FACTOR + _RECOVERY_STEP)
        if threshold >= 1.0:
            break
    return threshold
