"""Speed of one backend server, from its reports."""

import math

REPORT_MAX_AGE_S = 1.0
"""Age from which a report counts as unknown. Servers are slowed down for
0.6 s at a time, and a server in use reports with each answer."""

COLD_WORK_FACTOR = 2.0
"""Work factor of a server that has just started and reports no speed."""

_SMOOTHING_TIME_CONSTANT_S = 0.05
"""Capacity follows the reports within this time, so that one differing figure
doesn't change it."""

_USUAL_TIME_CONSTANT_S = 10.0
"""Time constant of the server's usual work factor: several slow phases."""


class ServerSpeed:
    """Work factor of one backend server: how long work takes on it.

    The work factor is a multiple of the usual time. Without reports it is 1.0.
    """

    def __init__(self) -> None:
        self._latest = 1.0
        self._smoothed = 1.0
        self._usual = 1.0
        self._reported_at = -math.inf
        self._cold_until = -math.inf

    def record(self, work_factor: float, now: float) -> None:
        """Records a report.

        Args:
          work_factor: How long work takes as a multiple of the usual time.
          now: Monotonic seconds.
        """
        elapsed_s = now - self._reported_at
        if elapsed_s >= REPORT_MAX_AGE_S:
            # The time in which nothing was reported has no weight.
            self._smoothed = work_factor
        else:
            weight = -math.expm1(-elapsed_s / _SMOOTHING_TIME_CONSTANT_S)
            self._smoothed += weight * (work_factor - self._smoothed)
            weight = -math.expm1(-elapsed_s / _USUAL_TIME_CONSTANT_S)
            self._usual += weight * (self._latest - self._usual)
        self._latest = work_factor
        self._reported_at = now

    def set_cold(self, remaining_s: float, now: float) -> None:
        """Sets for how many seconds the server will be cold."""
        self._cold_until = now + remaining_s

    @property
    def usual(self) -> float:
        """Mean work factor over several seconds."""
        return self._usual

    def current(self, now: float) -> float:
        """Returns the work factor at this moment, as reported."""
        return self._latest if self._is_fresh(now) else self._presumed(now)

    def smoothed(self, now: float) -> float:
        """Returns the work factor without the noise of single reports."""
        return self._smoothed if self._is_fresh(now) else self._presumed(now)

    def relative(self, now: float) -> float:
        """Returns the current work factor as a multiple of the usual one."""
        return self.current(now) / self._usual

    def _is_fresh(self, now: float) -> bool:
        return now - self._reported_at < REPORT_MAX_AGE_S

    def _presumed(self, now: float) -> float:
        cold_factor = COLD_WORK_FACTOR if now < self._cold_until else 1.0
        return cold_factor * self._usual
