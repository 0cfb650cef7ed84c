"""Thresholds set from the rates of one control window."""

import dataclasses

from bergamotdeal.presets import model

_OPEN_FACTOR = 1.2
_OPEN_STEP = 0.005
_MOVE_SHARE = 0.5
_FLOOR = 0.005
_MS_PER_S = 1000.0


@dataclasses.dataclass(kw_only=True, slots=True)
class WindowCounts:
    """What happened in one control window.

    Attributes:
      started: Begin of the window, monotonic seconds.
      completed: Jobs that gave back their slot at the end of their work.
      admitted_by_rank: Arrivals under the threshold in force, by class rank.
      wait_by_rank: Longest queue wait seen by class rank, seconds.
    """

    started: float
    completed: int = 0
    admitted_by_rank: list[int]
    wait_by_rank: list[float]


class RateThresholds:
    """Admission thresholds of each class, set from rates.

    At the end of a window under pressure, the work that the server wants is
    what it completed plus a share of the distance of the queue from its
    target depth. It is dealt out to the classes in order of importance, and
    each threshold moves halfway to the share of its class's offered work that
    can be had. Without pressure a threshold opens. A class is served before
    less important ones, so only its own queue and those of more important
    classes press on it.
    """

    def __init__(
        self,
        *,
        policy: model.AdmissionPolicy,
        class_count: int,
        now: float,
    ):
        self._policy = policy
        self._class_count = class_count
        self._values = [1.0] * class_count
        self._counts = self._new_counts(now)

    def set_policy(
        self, *, policy: model.AdmissionPolicy, class_count: int, now: float
    ) -> None:
        """Takes a new policy; thresholds of kept ranks stay."""
        self._policy = policy
        self._class_count = class_count
        kept = self._values[:class_count]
        self._values = kept + [1.0] * (class_count - len(kept))
        self._counts = self._new_counts(now)

    def value(self, class_rank: int) -> float:
        """Returns the share of request hashes that a class has admitted."""
        return self._values[min(class_rank, self._class_count - 1)]

    def count_arrival(self, class_rank: int) -> None:
        """Counts an arrival whose hash is under the threshold."""
        rank = min(class_rank, self._class_count - 1)
        self._counts.admitted_by_rank[rank] += 1

    def count_completion(self) -> None:
        """Counts a job that gave back its slot."""
        self._counts.completed += 1

    def count_wait(self, class_rank: int, wait_s: float) -> None:
        """Notes the queue wait of a job, in seconds."""
        rank = min(class_rank, self._class_count - 1)
        waits = self._counts.wait_by_rank
        waits[rank] = max(waits[rank], wait_s)

    def window_end(self) -> float:
        """Returns the latest end of the open window, monotonic seconds."""
        longest = self._policy.window_max_ms / _MS_PER_S
        return self._counts.started + longest

    def is_due(self, now: float) -> bool:
        """Tells whether the window is to be closed."""
        age = now - self._counts.started
        if age < self._policy.window_min_ms / _MS_PER_S:
            return False
        if self._counts.completed >= self._policy.window_completions:
            return True
        return now >= self.window_end()

    def close_window(
        self, *, now: float, depth_by_rank: list[int], target_depth: float
    ) -> None:
        """Sets the thresholds and opens the next window.

        Args:
          now: Monotonic seconds.
          depth_by_rank: Jobs of each class that wait now.
          target_depth: Jobs that may wait.
        """
        counts = self._counts
        self._counts = self._new_counts(now)
        target_wait = self._policy.target_delay_ms / _MS_PER_S
        longest_window = self._policy.window_max_ms / _MS_PER_S
        windows = max(1, int((now - counts.started) / longest_window))
        depth = 0
        longest_wait = 0.0
        taken = 0.0
        for rank, value in enumerate(self._values):
            depth += depth_by_rank[rank]
            longest_wait = max(longest_wait, counts.wait_by_rank[rank])
            offered = counts.admitted_by_rank[rank] / value
            if depth > target_depth or longest_wait > target_wait:
                surplus = self._policy.gain * (target_depth - depth)
                left = max(0.0, counts.completed + surplus - taken)
                self._values[rank] = _moved(value, left, offered)
            else:
                self._values[rank] = _opened(value, windows)
            taken += offered * self._values[rank]

    def _new_counts(self, now: float) -> WindowCounts:
        return WindowCounts(
            started=now,
            admitted_by_rank=[0] * self._class_count,
            wait_by_rank=[0.0] * self._class_count,
        )


def _moved(value: float, left: float, offered: float) -> float:
    if not offered:
        return value
    goal = min(1.0, left / offered)
    return max(_FLOOR, value + _MOVE_SHARE * (goal - value))


def _opened(value: float, windows: int) -> float:
    for _ in range(windows):
        value = min(1.0, value * _OPEN_FACTOR + _OPEN_STEP)
        if value >= 1.0:
            break
    return value
