"""Backpressure: the share of its offered load that a service can handle.

The node of each server adjusts its share by the ratio of the server's capacity
to the arrival rate. Entry nodes shed whole user requests by this share, so the
arrival rate already reflects it: the share integrates the error and settles
where arrivals match capacity.
"""

import math

import msgspec

WINDOW_S = 0.1
"""Minimum adjustment interval: a few runs of the bottleneck services."""

_MIN_ARRIVALS = 8
"""Minimum arrivals per window; fewer give a poor rate estimate."""

_MAX_WINDOW_S = 0.5
"""Maximum window at a service with few arrivals."""

_GAIN = 0.1
"""Integral gain per window. An adjustment affects arrivals after about four
windows, the duration of a call chain."""

_OVERFLOW_GAIN = 0.5
"""Gain when the queue exceeds the limit and is about to overflow."""

_HOLD_WINDOWS = 5
"""Windows without adjustment after such a step, until it takes effect."""

_MIN_ERROR_RATIO = 0.5
_MAX_ERROR_RATIO = 1.25
"""Bounds on the error of one window, which a burst may overstate."""

_QUEUE_DRAIN_S = 0.3
"""Time in which a queue above its target depth should be drained."""

_TARGET_DEPTH_SHARE = 0.15
"""Target queue depth as a share of the limit; it keeps all slots busy."""

_BUSY_UTILIZATION = 0.9
"""Slot utilization above which the server counts as busy."""

_TARGET_UTILIZATION = 0.97
"""Target utilization; the rest is headroom for random variation."""

_MIN_SHARE = 0.02
"""Minimum share; the remaining arrivals reveal when capacity is free again."""

_SMOOTHING = 0.2
"""Weight of a new report in the moving mean."""

_RUN_TIME_SMOOTHING = 0.05
"""Weight of a new run time in the moving mean, about twenty runs long."""

_STALE_AFTER_S = 0.6
"""Age up to which a report is used without decay."""

_RECOVERY_TIME_CONSTANT_S = 1.5
"""Time constant of recovery: without new reports, a share covers about two
thirds of its distance to 1.0 in this time."""

_RECOVERED_SHARE = 0.999
"""Share above which a service counts as no longer overloaded. Without reports a
share only approaches 1.0."""


class BackpressureController:
    """Integral controller of the load share of one backend server.

    Args:
      now: Monotonic seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._share = 1.0
        self._window_started_at = now
        self._arrivals = 0
        self._surplus_arrivals = 0
        self._run_s = 0.0
        self._was_rate_limited = False
        self._hold_windows = 0

    @property
    def share(self) -> float:
        """Share of the offered load that the server can handle."""
        return self._share

    @property
    def run_s(self) -> float:
        """Moving mean of the recorded run times; zero when unknown."""
        return self._run_s

    def count_arrival(self, *, is_surplus: bool = False) -> None:
        """Records a request for a slot.

        Args:
          is_surplus: Whether this server and another one of the service have
            refused the request.
        """
        self._arrivals += 1
        self._surplus_arrivals += is_surplus

    def record_run_time(self, run_s: float) -> None:
        """Records the duration of a run that ended, in seconds."""
        if self._run_s == 0.0:
            self._run_s = run_s
        self._run_s += _RUN_TIME_SMOOTHING * (run_s - self._run_s)

    def is_due(self, now: float) -> bool:
        """Returns whether the current window should be closed."""
        age_s = now - self._window_started_at
        if age_s < WINDOW_S:
            return False
        return self._arrivals >= _MIN_ARRIVALS or age_s >= _MAX_WINDOW_S

    def update(
        self,
        now: float,
        *,
        running: int,
        queued: int,
        limit: int,
        rate_limit: float | None = None,
        work_factor: float = 1.0,
    ) -> None:
        """Adjusts the share from the current window and starts the next one.

        Args:
          now: Monotonic seconds.
          running: Number of slots in use.
          queued: Number of requests queued for a slot.
          limit: Concurrency limit.
          rate_limit: Requests per second that the server accepts, or None for
            no limit.
          work_factor: How long runs take now as a multiple of the recorded run
            times.
        """
        age_s = now - self._window_started_at
        if self._run_s > 0.0 and limit >= 1:
            capacity = _TARGET_UTILIZATION * limit / (self._run_s * work_factor)
            target_depth = _TARGET_DEPTH_SHARE * limit
            is_busy = (
                running >= _BUSY_UTILIZATION * limit or queued > target_depth
            )
            available = capacity - (queued - target_depth) / _QUEUE_DRAIN_S
            has_overflow = queued > limit
            if rate_limit is not None:
                if not self._was_rate_limited:
                    # Callers send elsewhere once they know the limit.
                    self._hold_windows = _HOLD_WINDOWS
                # Other servers of the service may have room.
                available = min(capacity, rate_limit)
                is_busy = self._surplus_arrivals > 0
                has_overflow = False
            self._adjust_share(
                age_s,
                available=available,
                is_busy=is_busy,
                has_overflow=has_overflow,
            )
        self._was_rate_limited = rate_limit is not None
        self._window_started_at = now
        self._arrivals = 0
        self._surplus_arrivals = 0

    def _adjust_share(
        self,
        age_s: float,
        *,
        available: float,
        is_busy: bool,
        has_overflow: bool,
    ) -> None:
        offered = max(1.0, self._arrivals) / age_s
        ratio = min(
            _MAX_ERROR_RATIO, max(_MIN_ERROR_RATIO, available / offered)
        )
        if not is_busy:
            ratio = max(1.0, ratio)
        windows = min(_MAX_WINDOW_S, age_s) / WINDOW_S
        self._hold_windows = max(0, self._hold_windows - 1)
        if self._hold_windows:
            return
        exponent = _GAIN * windows
        if has_overflow and ratio < 1.0:
            exponent = _OVERFLOW_GAIN
            self._hold_windows = _HOLD_WINDOWS
        share = self._share * ratio**exponent
        self._share = min(1.0, max(_MIN_SHARE, share))


class _ReportedShare(msgspec.Struct, kw_only=True):
    share: float
    at: float


class BackpressureTable:
    """Load shares of services as reported in answers."""

    def __init__(self) -> None:
        self._reported_by_service: dict[str, _ReportedShare] = {}

    def observe(self, service: str, share: float, now: float) -> None:
        """Records a reported share.

        Args:
          service: The service.
          share: Share of its offered load that the service can handle.
          now: Monotonic seconds.
        """
        reported = self._reported_by_service.get(service)
        if reported is None:
            if share >= 1.0:
                return
            reported = _ReportedShare(share=share, at=now)
            self._reported_by_service[service] = reported
        current = _recovered_share(reported, now)
        reported.share = current + _SMOOTHING * (share - current)
        reported.at = now
        if reported.share > _RECOVERED_SHARE:
            del self._reported_by_service[service]

    def share(self, service: str, now: float) -> float:
        """Returns the share of a service; 1.0 when it is not overloaded."""
        reported = self._reported_by_service.get(service)
        return 1.0 if reported is None else _recovered_share(reported, now)

    def is_empty(self) -> bool:
        """Returns whether no service is known to be overloaded."""
        return not self._reported_by_service

    def shares_by_service(self, now: float) -> dict[str, float]:
        """Returns the shares of overloaded services by service name."""
        return {
            service: share
            for service, reported in self._reported_by_service.items()
            if (share := _recovered_share(reported, now)) <= _RECOVERED_SHARE
        }


def _recovered_share(reported: _ReportedShare, now: float) -> float:
    stale_s = now - reported.at - _STALE_AFTER_S
    if stale_s <= 0.0:
        return reported.share
    return 1.0 - (1.0 - reported.share) * math.exp(
        -stale_s / _RECOVERY_TIME_CONSTANT_S
    )
