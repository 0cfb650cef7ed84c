"""Waiting times between retries."""

import random

MAX_DELAY_S = 30.0
"""Longest wait where a caller names none; an outage then costs little."""


class ExponentialBackoff:
    """Doubling waits with jitter.

    Args:
      rng: Random source.
      initial_s: First wait in seconds, before jitter.
      max_s: Longest wait in seconds, before jitter.
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
        """Returns the seconds to wait before the next try."""
        delay_s = self._delay_s * (0.5 + self._rng.random())
        self._delay_s = min(2 * self._delay_s, self._max_s)
        return delay_s

    def reset(self) -> None:
        """Starts again with the shortest wait, after a success."""
        self._delay_s = self._initial_s
