"""Timer queue of the call engine."""

import heapq
import itertools

import msgspec


class Timer(msgspec.Struct, kw_only=True):
    """Timer in a queue.

    Attributes:
      due_at: Time at which the timer is due, in monotonic seconds.
      key: Object that identifies the expired item; None once cancelled.
    """

    due_at: float
    key: object

    def cancel(self) -> None:
        """Cancels the timer."""
        self.key = None


class TimerQueue:
    """Priority queue of timers, ordered by due time."""

    def __init__(self):
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def add(self, due_at: float, key: object) -> Timer:
        """Adds a timer.

        Args:
          due_at: Due time in monotonic seconds.
          key: Object that ``pop_due`` returns, not None.

        Returns:
          The timer.
        """
        timer = Timer(due_at=due_at, key=key)
        heapq.heappush(self._heap, (due_at, next(self._sequence), timer))
        return timer

    def next_due(self) -> float | None:
        """Returns the earliest due time in monotonic seconds, or None."""
        heap = self._heap
        while heap and heap[0][2].key is None:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def pop_due(self, now: float) -> object | None:
        """Removes the earliest timer that is due.

        Args:
          now: Current time in monotonic seconds.

        Returns:
          The key of the timer, or None if no timer is due.
        """
        due_at = self.next_due()
        if due_at is None or due_at > now:
            return None
        return heapq.heappop(self._heap)[2].key
