"""Thresholds set from the rates of control windows."""

import dataclasses
import math

from bergamotdeal.presets import model

_OPEN_FACTOR = 1.2
_OPEN_STEP = 0.005
_MOVE_SHARE = 0.5
_MEMORY_SHARE = 0.5
_PROBES_PER_S = 2.0
_FLOOR_MIN = 0.002
_FLOOR_MAX = 0.05
_PRIOR_ARRIVALS = 2.0
_GIVING_SHARE = 0.1
_TARGET_DEPTH_SHARE = 0.15
_PATIENT_DEPTH_SHARE = 0.6
_DOUBTFUL = 0.85
_BUSY_SHARE = 0.9
_MS_PER_S = 1000.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _ClassCounts:
    """Decaying sums for one class.

    Attributes:
      arrivals: Arrivals, admitted or not.
      hash_sum: Sum of their hash shares.
      started: Jobs that got a slot.
      shortest_wait: Shortest queue wait in the open window, seconds.
      was_pressed: Whether the window before was under pressure.
    """

    arrivals: float = 0.0
    hash_sum: float = 0.0
    started: float = 0.0
    shortest_wait: float = math.inf
    was_pressed: bool = False

    def offered(self, threshold: float) -> float:
        """Estimates the arrivals had no node refused any.

        Arrivals that upstream nodes let through are uniform below the
        threshold that those nodes knew, so twice their mean hash estimates
        it. The own threshold counts as some arrivals more.
        """
        passed = 2.0 * self.hash_sum + _PRIOR_ARRIVALS * threshold
        passed /= self.arrivals + _PRIOR_ARRIVALS
        return self.arrivals / min(1.0, passed)

    def decay(self) -> None:
        """Ends a window."""
        self.arrivals *= _MEMORY_SHARE
        self.hash_sum *= _MEMORY_SHARE
        self.started *= _MEMORY_SHARE
        self.shortest_wait = math.inf


class RateThresholds:
    """Admission thresholds of each class, set from rates.

    At the end of a window under pressure, the work that the server wants is
    what it can complete plus a share of the distance of the queue from its
    target depth. It is dealt out to the classes in order of importance, and
    each threshold moves halfway to the share of its class's offered work that
    can be had. Without pressure a threshold opens.

    A class is served before less important ones, so only its own queue and
    those of more important classes press on it, and only once less important
    classes have next to no slots left to give.
    """

    def __init__(
        self,
        *,
        policy: model.AdmissionPolicy,
        class_count: int,
        now: float,
    ):
        self._policy = policy
        self._values = [1.0] * class_count
        self._counts = [_ClassCounts() for _ in range(class_count)]
        self._started = now
        self._completed_in_window = 0
        self._completed = 0.0
        self._busy_s = 0.0
        self._elapsed_s = 0.0

    def set_policy(
        self, *, policy: model.AdmissionPolicy, class_count: int
    ) -> None:
        """Takes a new policy; thresholds of kept ranks stay."""
        self._policy = policy
        new = class_count - len(self._values)
        self._values = self._values[:class_count] + [1.0] * new
        self._counts = [_ClassCounts() for _ in range(class_count)]

    def value(self, class_rank: int) -> float:
        """Returns the share of request hashes that a class has admitted."""
        return self._values[self._rank(class_rank)]

    def count_arrival(self, class_rank: int, share: float) -> None:
        """Counts an arrival, whether it is admitted or not."""
        counts = self._counts[self._rank(class_rank)]
        counts.arrivals += 1.0
        counts.hash_sum += share

    def count_start(self, class_rank: int, wait_s: float) -> None:
        """Counts a job that got a slot after a queue wait in seconds."""
        counts = self._counts[self._rank(class_rank)]
        counts.started += 1.0
        counts.shortest_wait = min(counts.shortest_wait, wait_s)

    def count_completion(self) -> None:
        """Counts a job that gave back its slot."""
        self._completed += 1.0
        self._completed_in_window += 1

    def count_busy(self, slot_s: float) -> None:
        """Adds to the time for which slots were in use, slot-seconds."""
        self._busy_s += slot_s

    def window_end(self) -> float:
        """Returns the latest end of the open window, monotonic seconds."""
        return self._started + self._policy.window_max_ms / _MS_PER_S

    def is_due(self, now: float) -> bool:
        """Tells whether the window is to be closed."""
        age = now - self._started
        if age < self._policy.window_min_ms / _MS_PER_S:
            return False
        if self._completed_in_window >= self._policy.window_completions:
            return True
        return now >= self.window_end()

    def close_window(
        self,
        *,
        now: float,
        limit: int,
        depth_by_rank: list[int],
        queue_bound: int,
    ) -> None:
        """Sets the thresholds and opens the next window.

        Args:
          now: Monotonic seconds.
          limit: Concurrency limit in force.
          depth_by_rank: Jobs of each class that wait now.
          queue_bound: Jobs that may wait at most.
        """
        window_s = now - self._started
        self._elapsed_s += window_s
        windows = max(1, int(window_s * _MS_PER_S / self._policy.window_max_ms))
        target_wait = self._policy.target_delay_ms / _MS_PER_S
        target_depth = _TARGET_DEPTH_SHARE * queue_bound
        capacity = self._capacity(limit)
        correction_s = self._policy.window_completions / capacity
        correction_s = max(window_s, correction_s)
        is_idle = self._busy_s < _BUSY_SHARE * limit * self._elapsed_s
        depth = 0
        taken = 0.0
        for rank, value in enumerate(self._values):
            counts = self._counts[rank]
            depth += depth_by_rank[rank]
            offered = counts.offered(value) / self._elapsed_s
            surplus = self._policy.gain * (target_depth - depth)
            left = capacity + surplus / correction_s - taken
            moved = _moved(value, left, offered)
            has_standing_queue = depth and counts.shortest_wait > target_wait
            is_last = rank + 1 == len(self._values)
            share = _TARGET_DEPTH_SHARE if is_last else _PATIENT_DEPTH_SHARE
            pressed = depth > share * queue_bound
            pressed = pressed or (has_standing_queue and is_last)
            is_first = value >= 1.0 and not counts.was_pressed
            counts.was_pressed = pressed
            doubtful = is_first and moved > _DOUBTFUL
            if not pressed or doubtful or self._others_can_give(rank):
                moved = max(value, moved)
                if is_idle:
                    moved = max(moved, _opened(value, windows))
            self._values[rank] = moved
            taken += offered * moved
        self._begin_window(now)

    def _capacity(self, limit: int) -> float:
        """Returns the completions per second with all slots in use."""
        completed = max(0.5, self._completed)
        return completed * limit / max(1e-9, self._busy_s)

    def _others_can_give(self, rank: int) -> bool:
        started = sum(counts.started for counts in self._counts)
        less = sum(counts.started for counts in self._counts[rank + 1 :])
        return less > _GIVING_SHARE * started

    def _begin_window(self, now: float) -> None:
        self._started = now
        self._completed_in_window = 0
        self._completed *= _MEMORY_SHARE
        self._busy_s *= _MEMORY_SHARE
        self._elapsed_s *= _MEMORY_SHARE
        for counts in self._counts:
            counts.decay()

    def _rank(self, class_rank: int) -> int:
        return min(class_rank, len(self._values) - 1)


def _moved(value: float, left: float, offered: float) -> float:
    """Returns the threshold halfway to the share that can be had."""
    if not offered:
        return _opened(value, 1)
    goal = min(1.0, max(0.0, left) / offered)
    floor = min(_FLOOR_MAX, max(_FLOOR_MIN, _PROBES_PER_S / offered))
    return max(floor, value + _MOVE_SHARE * (goal - value))


def _opened(value: float, windows: int) -> float:
    for _ in range(windows):
        value = min(1.0, value * _OPEN_FACTOR + _OPEN_STEP)
        if value >= 1.0:
            break
    return value
