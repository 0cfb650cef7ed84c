"""How much of the offered work a service can take.

Each server's node moves its share by the ratio of what the server can do to
what arrives. The entries thin out whole user requests by the share, so the
arrivals already show its effect; the share is the integral of the error and
rests where arrivals meet capacity.
"""

import dataclasses
import math

WINDOW_S = 0.1
"""Time between two moves: a few runs of the services that bind."""

_ARRIVALS_MIN = 8
"""Arrivals in a window; fewer say little about the rate."""

_WINDOW_MAX_S = 0.5
"""Longest window at a service with few arrivals."""

_GAIN = 0.1
"""Part of the error taken back each window. A move shows in the arrivals
after some four windows, the time of a chain of calls."""

_STEP_GAIN = 0.5
"""The same when more wait than run: the queue is about to overflow."""

_HOLD_WINDOWS = 5
"""Windows after such a step in which its effect is awaited."""

_RATIO_MIN = 0.5
_RATIO_MAX = 1.25
"""Bounds on one window's error, which a burst may overstate."""

_HORIZON_S = 0.3
"""Time in which a queue above its target is to be worked off."""

_TARGET_DEPTH = 0.15
"""Queue that keeps all slots busy, as a share of the limit."""

_BUSY_SHARE = 0.9
"""Share of the slots in use above which the server counts as busy."""

_USABLE_SHARE = 0.97
"""Share of the capacity that is planned for; the rest absorbs chance."""

_SHARE_MIN = 0.02
"""Lowest share; what still arrives shows when there is room again."""

_SMOOTHING = 0.2
"""Weight of a new report in a moving mean."""

_RUN_SMOOTHING = 0.05
"""Weight of a new run time in its moving mean: some twenty runs."""

_FRESH_S = 0.6
"""Age up to which a report counts in full."""

_OPEN_S = 1.5
"""Time in which a share without new reports opens by two thirds."""


class BackpressureController:
    """The share of one backend server, kept by its node.

    Args:
      now: Monotonic seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._share = 1.0
        self._began = now
        self._arrivals = 0
        self._run_s = 0.0
        self._hold = 0

    @property
    def share(self) -> float:
        """Share of the offered work that the server can take."""
        return self._share

    @property
    def run_s(self) -> float:
        """Moving mean of the run time in seconds, zero when unknown."""
        return self._run_s

    def count_arrival(self) -> None:
        """Counts a request for a slot, whether it gets one or not."""
        self._arrivals += 1

    def record_run_time(self, run_s: float) -> None:
        """Takes the time of a run that ended, seconds."""
        if self._run_s == 0.0:
            self._run_s = run_s
        self._run_s += _RUN_SMOOTHING * (run_s - self._run_s)

    def is_due(self, now: float) -> bool:
        """Whether the window is to be closed."""
        age_s = now - self._began
        if age_s < WINDOW_S:
            return False
        return self._arrivals >= _ARRIVALS_MIN or age_s >= _WINDOW_MAX_S

    def update(
        self, now: float, *, running: int, queued: int, limit: int
    ) -> None:
        """Moves the share by what the window showed.

        Args:
          now: Monotonic seconds.
          running: Slots in use.
          queued: Requests that wait for a slot.
          limit: Slots that may be in use.
        """
        age_s = now - self._began
        self._move(age_s, running=running, queued=queued, limit=limit)
        self._began = now
        self._arrivals = 0

    def _move(
        self, age_s: float, *, running: int, queued: int, limit: int
    ) -> None:
        if self._run_s <= 0.0 or limit < 1:
            return
        capacity = _USABLE_SHARE * limit / self._run_s
        target = _TARGET_DEPTH * limit
        spare = capacity - (queued - target) / _HORIZON_S
        offered = max(1.0, self._arrivals) / age_s
        ratio = min(_RATIO_MAX, max(_RATIO_MIN, spare / offered))
        is_busy = running >= _BUSY_SHARE * limit or queued > target
        if not is_busy:
            ratio = max(1.0, ratio)
        windows = min(_WINDOW_MAX_S, age_s) / WINDOW_S
        self._hold = max(0, self._hold - 1)
        if self._hold:
            return
        exponent = _GAIN * windows
        if queued > limit and ratio < 1.0:
            exponent = _STEP_GAIN
            self._hold = _HOLD_WINDOWS
        share = self._share * ratio**exponent
        self._share = min(1.0, max(_SHARE_MIN, share))


@dataclasses.dataclass(kw_only=True, slots=True)
class _Reported:
    share: float
    at: float


class BackpressureTable:
    """Shares of the services as the answers of their nodes report them."""

    def __init__(self) -> None:
        self._reported_by_service: dict[str, _Reported] = {}

    def observe(self, service: str, share: float, now: float) -> None:
        """Takes a report.

        Args:
          service: The service.
          share: Share of the offered work that it can take.
          now: Monotonic seconds.
        """
        known = self._reported_by_service.get(service)
        if known is None:
            if share >= 1.0:
                return
            known = _Reported(share=share, at=now)
            self._reported_by_service[service] = known
        current = _opened(known, now)
        known.share = current + _SMOOTHING * (share - current)
        known.at = now
        if known.share > 0.999:
            del self._reported_by_service[service]

    def share(self, service: str, now: float) -> float:
        """Returns the share of a service, 1.0 without pressure."""
        known = self._reported_by_service.get(service)
        return 1.0 if known is None else _opened(known, now)

    def is_calm(self) -> bool:
        """Whether no service is known to be under pressure."""
        return not self._reported_by_service

    def shares(self, now: float) -> dict[str, float]:
        """Returns the shares of the services under pressure."""
        return {
            service: _opened(known, now)
            for service, known in self._reported_by_service.items()
        }


def _opened(known: _Reported, now: float) -> float:
    stale_s = now - known.at - _FRESH_S
    if stale_s <= 0.0:
        return known.share
    return 1.0 - (1.0 - known.share) * math.exp(-stale_s / _OPEN_S)
