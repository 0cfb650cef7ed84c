"""Limit on the rate at which jobs start, set by the backend server."""

import math

from bergamotdeal.utils import token_bucket

_MIN_RATE = 0.25
"""Minimum rate in jobs per second. A server that names zero is still tried,
because only its answers tell when the limit ends."""

_BURST_S = 0.25
"""Time at the limited rate whose jobs may start at once."""

_MAX_WAIT_S = 0.25
"""Time that a job may wait for the rate; another server may be free."""


class StartRateLimiter:
    """Rate limit on the starts of jobs; without a limit at first."""

    def __init__(self) -> None:
        self._rate: float | None = None
        self._tokens: token_bucket.TokenBucket | None = None

    @property
    def rate(self) -> float | None:
        """Jobs that may start per second, or None for no limit."""
        return self._rate

    def set_rate(self, rate: float | None, now: float) -> None:
        """Changes the limit.

        A limit that is new starts without a burst, as the server has received
        more than it accepts until now.

        Args:
          rate: Jobs that may start per second, or None for no limit.
          now: Monotonic seconds.
        """
        if rate is None:
            self._rate = self._tokens = None
            return
        self._rate = max(_MIN_RATE, rate)
        if self._tokens is None:
            self._tokens = token_bucket.TokenBucket(
                rate=self._rate, capacity=1.0, now=now
            )
            self._tokens.try_acquire(now)
        capacity = self._rate * _BURST_S
        self._tokens.set_rate(self._rate, capacity=capacity, now=now)

    def allows_start(self, now: float) -> bool:
        """Returns whether a job may start now."""
        return self._tokens is None or self._tokens.has_token(now)

    def record_start(self, now: float) -> None:
        """Counts a start that was allowed."""
        if self._tokens is not None:
            self._tokens.try_acquire(now)

    def next_start_at(self) -> float:
        """Returns when the next job may start, in monotonic seconds."""
        return self._tokens.next_token_at() if self._tokens else -math.inf

    def bound_slots(self, slots: int, run_s: float) -> int:
        """Returns how many slots can be in use under the limit.

        By Little's law, it is the number of jobs that start in one run time.

        Args:
          slots: Slots that may be in use without the limit.
          run_s: Run time of a job in seconds.
        """
        if self._rate is None:
            return slots
        return min(slots, max(1, math.ceil(self._rate * run_s)))

    def bound_queue(self, jobs: int) -> int:
        """Returns how many jobs may wait under the limit.

        Args:
          jobs: Jobs that may wait without the limit.
        """
        if self._rate is None:
            return jobs
        return min(jobs, int(self._rate * _MAX_WAIT_S))
