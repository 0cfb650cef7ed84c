"""Timers of the call engine on one heap."""

import dataclasses
import heapq
import itertools


@dataclasses.dataclass(kw_only=True, slots=True)
class Timer:
    """A timer that has been set.

    Attributes:
      when: Time at which it is due, in monotonic seconds.
      key: What the owner finds the expired item by; None once cancelled.
    """

    when: float
    key: object

    def cancel(self) -> None:
        """Makes sure that the timer does not fire."""
        self.key = None


class Timers:
    """Set of timers in order of their due time."""

    def __init__(self):
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def add(self, when: float, key: object) -> Timer:
        """Sets a timer.

        Args:
          when: Due time, in monotonic seconds.
          key: Key that ``pop_due`` returns, not None.
        """
        timer = Timer(when=when, key=key)
        heapq.heappush(self._heap, (when, next(self._sequence), timer))
        return timer

    def next_due(self) -> float | None:
        """Returns the earliest due time, or None without timers."""
        heap = self._heap
        while heap and heap[0][2].key is None:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def pop_due(self, now: float) -> object | None:
        """Removes the earliest timer that is due.

        Args:
          now: Time in monotonic seconds.

        Returns:
          Its key, or None when no timer is due.
        """
        when = self.next_due()
        if when is None or when > now:
            return None
        return heapq.heappop(self._heap)[2].key
