"""The calls to the store that a node may make."""


class CallRateLimiter:
    """A token bucket over calls.

    Args:
      calls_per_minute: Rate; a minute's calls may be made at once.
      now: Monotonic seconds.
    """

    def __init__(self, *, calls_per_minute: int, now: float) -> None:
        self._capacity = float(calls_per_minute)
        self._tokens = self._capacity
        self._updated = now

    def try_acquire(self, now: float) -> bool:
        """Takes one call from the budget.

        Args:
          now: Monotonic seconds.

        Returns:
          Whether the call may be made.
        """
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        refill = elapsed * self._capacity / 60.0
        self._tokens = min(self._capacity, self._tokens + refill)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
