"""Token bucket that limits a rate."""

_ROUNDING_TOLERANCE = 1e-9
"""Tolerance in tokens for rounding errors of refills."""


class TokenBucket:
    """A token bucket; it starts full.

    Args:
      rate: Tokens that are added per second.
      capacity: Maximum number of tokens, at least one.
      now: Monotonic seconds.
    """

    def __init__(self, *, rate: float, capacity: float, now: float) -> None:
        self._rate = rate
        self._capacity = max(1.0, capacity)
        self._tokens = self._capacity
        self._refilled_at = now

    def set_rate(self, rate: float, *, capacity: float, now: float) -> None:
        """Changes the rate and the capacity; excess tokens are lost.

        Args:
          rate: Tokens that are added per second.
          capacity: Maximum number of tokens, at least one.
          now: Monotonic seconds.
        """
        self._refill(now)
        self._rate = rate
        self._capacity = max(1.0, capacity)
        self._tokens = min(self._tokens, self._capacity)

    def has_token(self, now: float) -> bool:
        """Returns whether there is a token.

        Args:
          now: Monotonic seconds.
        """
        self._refill(now)
        return self._tokens >= 1.0 - _ROUNDING_TOLERANCE

    def try_acquire(self, now: float) -> bool:
        """Takes a token, if there is one.

        Args:
          now: Monotonic seconds.

        Returns:
          Whether a token was taken.
        """
        if not self.has_token(now):
            return False
        self._tokens -= 1.0
        return True

    def next_token_at(self) -> float:
        """Returns when there is a token, in monotonic seconds."""
        missing = max(0.0, 1.0 - self._tokens)
        return self._refilled_at + missing / self._rate

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        refilled = self._tokens + elapsed_s * self._rate
        self._tokens = min(self._capacity, refilled)
