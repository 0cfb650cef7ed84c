"""Rate limit for the calls of a node to the store."""


class CallRateLimiter:
    """A token bucket that limits the rate of calls.

    Args:
      calls_per_minute: Refill rate, and also the capacity, so that the calls of
        a whole minute may be made in one burst.
      now: Monotonic seconds.
    """

    def __init__(self, *, calls_per_minute: int, now: float) -> None:
        self._capacity = float(calls_per_minute)
        self._tokens = self._capacity
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        """Takes a token for one call, if there is one.

        Args:
          now: Monotonic seconds.

        Returns:
          Whether the call may be made.
        """
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        refill = elapsed * self._capacity / 60.0
        self._tokens = min(self._capacity, self._tokens + refill)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
