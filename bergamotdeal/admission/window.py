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
      longest_wait: Longest queue wait seen, seconds.
    """

    started: float
    completed: int = 0
    admitted_by_rank: list[int]
    longest_wait: float = 0.0


class RateThresholds:
    """Admission thresholds of each class, set from rates.

    At the end of a window under pressure, the work that the server wants is
    what it completed plus a share of the distance of the queue from its
    target depth. It is dealt out to the classes in order of importance, and
    each threshold moves halfway to the share of its class's offered work that
    can be had. Without pressure the thresholds open.
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

    def count_wait(self, wait_s: float) -> None:
        """Notes the queue wait of a job, in seconds."""
        if wait_s > self._counts.longest_wait:
            self._counts.longest_wait = wait_s

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
        self, *, now: float, depth: int, target_depth: float
    ) -> None:
        """Sets the thresholds and opens the next window.

        Args:
          now: Monotonic seconds.
          depth: Jobs that wait now.
          target_depth: Jobs that may wait.
        """
        counts = self._counts
        self._counts = self._new_counts(now)
        target_wait = self._policy.target_delay_ms / _MS_PER_S
        pressed = depth > target_depth or counts.longest_wait > target_wait
        if not pressed:
            self._open()
            return
        wanted = counts.completed + self._policy.gain * (target_depth - depth)
        self._deal_out(wanted, counts.admitted_by_rank)

    def _open(self) -> None:
        for rank, value in enumerate(self._values):
            self._values[rank] = min(1.0, value * _OPEN_FACTOR + _OPEN_STEP)

    def _deal_out(self, wanted: float, admitted_by_rank: list[int]) -> None:
        left = max(0.0, wanted)
        for rank, admitted in enumerate(admitted_by_rank):
            if not admitted:
                continue
            value = self._values[rank]
            offered = admitted / value
            goal = min(1.0, left / offered)
            moved = value + _MOVE_SHARE * (goal - value)
            self._values[rank] = max(_FLOOR, moved)
            left = max(0.0, left - offered * goal)

    def _new_counts(self, now: float) -> WindowCounts:
        return WindowCounts(
            started=now, admitted_by_rank=[0] * self._class_count
        )
