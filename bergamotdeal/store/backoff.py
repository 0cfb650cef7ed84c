"""Exponential backoff between retries."""

import random

MAX_DELAY_S = 30.0
"""Default maximum delay before jitter; it keeps the cost of an outage low."""


class ExponentialBackoff:
    """A sequence of doubling delays with jitter.

    Args:
      rng: Random source.
      initial_s: First delay in seconds, before jitter.
      max_s: Maximum delay in seconds, before jitter.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        initial_s: float = 0.25,
        max_s: float = MAX_DELAY_S,
    ) -> None:
        self._rng = rng
        self._initial_s = initial_s
        self._max_s = max_s
        self._delay_s = initial_s

    def next_delay(self) -> float:
        """Returns the seconds to wait before the next attempt."""
        delay_s = self._delay_s * (0.5 + self._rng.random())
        self._delay_s = min(2 * self._delay_s, self._max_s)
        return delay_s

    def reset(self) -> None:
        """Resets the delay to the initial one after a successful attempt."""
        self._delay_s = self._initial_s
