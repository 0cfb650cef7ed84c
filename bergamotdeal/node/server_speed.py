"""Rate-limited reports of the backend server's speed to the call engine."""

import math

MIN_INTERVAL_S = 0.02
"""Minimum time between reports. Answers name the speed several hundred times a
second, and each report costs the engine a control step."""

REFRESH_INTERVAL_S = 0.1
"""Time after which an unchanged speed is reported again, so that the engine
knows it is not out of date."""

_NOTICEABLE_RATIO = 1.05


class SpeedReporter:
    """Selection of the work factors that the call engine has to know."""

    def __init__(self) -> None:
        self._latest: float | None = None
        self._posted = 1.0
        self._posted_at = -math.inf

    def record(self, work_factor: float) -> None:
        """Records the work factor that an answer names."""
        self._latest = work_factor

    def forget(self) -> None:
        """Drops a factor that was not reported, as the server restarted."""
        self._latest = None

    def take_due(self, now: float) -> float | None:
        """Returns the work factor to report now, or None.

        A noticeable change is due after ``MIN_INTERVAL_S`` and any other
        figure after ``REFRESH_INTERVAL_S``. Each recorded figure is returned
        at most once, so the engine sees its age.

        Args:
          now: Monotonic seconds.
        """
        latest = self._latest
        if latest is None:
            return None
        ratio = latest / self._posted
        is_noticeable = not (1 / _NOTICEABLE_RATIO < ratio < _NOTICEABLE_RATIO)
        interval_s = MIN_INTERVAL_S if is_noticeable else REFRESH_INTERVAL_S
        if now - self._posted_at < interval_s:
            return None
        self._latest = None
        self._posted = latest
        self._posted_at = now
        return latest
