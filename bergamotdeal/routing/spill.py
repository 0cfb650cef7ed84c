"""Spill of calls to other data centres when the near servers are full.

Each node decides by itself what share of its calls for a service it sends to
other data centres, from the load that answers report. Near servers are filled
first. A data centre gets calls only while it is less utilized than this one, so
that no two data centres spill into each other.
"""

import math
import random

import msgspec

from bergamotdeal.routing import core

INTERVAL_S = 0.05
"""Time between adjustments of the share, about half a run."""

_MAX_SHARE = 0.9
_START_UTILIZATION = 1.1
"""Utilization of the near servers from which calls spill if bytes cost nothing.
Above one, calls are queued for a tenth of a run."""

_COST_UTILIZATION = 0.3
"""Utilization that is accepted beyond it if a call costs as much as a refusal.
"""

_START_MARGIN = 0.03
"""Utilization beyond the target that starts the spill."""

_PROPORTIONAL_GAIN = 0.6
_INTEGRAL_GAIN_PER_S = 1.0
_START_HEADROOM = 0.08
"""Difference of utilization that starts the spill into a data centre."""

_STOP_HEADROOM = 0.03
_REPORT_MAX_AGE_S = 0.4
_HOLD_S = 0.25
"""Time for which a data centre without headroom gets no calls."""

_PROBE_SHARE = 0.1
"""Share of the spilled calls that go to data centres of unknown load."""

_SIZE_SMOOTHING = 0.05

_CHANGE_INTERVAL_S = 1.0
"""Minimum time between two changes that are reported as events."""


class _DataCentre(msgspec.Struct, kw_only=True):
    """Another data centre with servers of the service.

    Attributes:
      targets: Its servers that this node uses.
      utilization: Mean utilization that they report; None when unknown.
      is_open: Whether calls spill into it.
      blocked_until: Time until which it gets no calls, monotonic seconds.
    """

    targets: list[core.Target]
    utilization: float | None = None
    is_open: bool = False
    blocked_until: float = 0.0


class SpillController:
    """Share of the calls for one service that go to other data centres.

    Args:
      near: Servers of this node's data centre.
      far: Servers of all other data centres.
    """

    def __init__(
        self, *, near: list[core.Target], far: list[core.Target]
    ) -> None:
        self._near = near
        self._data_centres_by_name: dict[str, _DataCentre] = {}
        for target in far:
            name = target.member.data_centre
            if name not in self._data_centres_by_name:
                self._data_centres_by_name[name] = _DataCentre(targets=[])
            self._data_centres_by_name[name].targets.append(target)
        self._share = 0.0
        self._integral = 0.0
        self._mean_call_bytes = 0.0
        self._adjusted_at: float | None = None
        self._was_spilling = False
        self._changed_at = -math.inf

    @property
    def share(self) -> float:
        """Share of the calls that go to other data centres."""
        return self._share

    def pop_change(self, now: float) -> bool | None:
        """Returns whether calls spill now, or None if that has not changed."""
        is_spilling = self._share > 0.0
        if is_spilling == self._was_spilling:
            return None
        if now - self._changed_at < _CHANGE_INTERVAL_S:
            return None
        self._was_spilling = is_spilling
        self._changed_at = now
        return is_spilling

    def inherit(self, previous: "SpillController") -> None:
        """Continues the control of an earlier view of the members."""
        self._share = previous._share
        self._integral = previous._integral
        self._mean_call_bytes = previous._mean_call_bytes
        self._was_spilling = previous._was_spilling
        self._changed_at = previous._changed_at
        for name, each in previous._data_centres_by_name.items():
            if name in self._data_centres_by_name:
                known = self._data_centres_by_name[name]
                known.is_open = each.is_open
                known.blocked_until = each.blocked_until

    def record_call_size(self, size_bytes: int) -> None:
        """Records the bytes of a request and its answer."""
        difference = size_bytes - self._mean_call_bytes
        self._mean_call_bytes += _SIZE_SMOOTHING * difference

    def select_targets(
        self,
        *,
        refusal_bytes: int,
        is_resent: bool,
        rng: random.Random,
        now: float,
    ) -> list[core.Target]:
        """Returns the servers of the data centre that the next call goes to.

        Args:
          refusal_bytes: Bytes between data centres that cost as much as one
            refused request.
          is_resent: Whether a server has refused the call.
          rng: Random source.
          now: Monotonic seconds.
        """
        if not self._near:
            return [
                target
                for each in self._data_centres_by_name.values()
                for target in each.targets
            ]
        if self._adjusted_at is None or now - self._adjusted_at >= INTERVAL_S:
            self._adjust(self._mean_call_bytes / refusal_bytes, now)
        if self._share <= 0.0:
            return self._near
        if not is_resent and rng.random() >= self._share:
            return self._near
        data_centre = self._choose_data_centre(rng, now)
        return self._near if data_centre is None else data_centre.targets

    def _adjust(self, call_cost: float, now: float) -> None:
        elapsed_s = (
            0.0
            if self._adjusted_at is None
            else min(1.0, now - self._adjusted_at)
        )
        self._adjusted_at = now
        utilization = _mean_utilization(self._near, now)
        target = _START_UTILIZATION + _COST_UTILIZATION * min(1.0, call_cost)
        error = utilization - target
        is_starting = self._share <= 0.0
        if call_cost >= 1.0 or (is_starting and error <= _START_MARGIN):
            self._share = self._integral = 0.0
            return
        self._integral = min(
            _MAX_SHARE,
            max(0.0, self._integral + _INTEGRAL_GAIN_PER_S * error * elapsed_s),
        )
        share = self._integral + _PROPORTIONAL_GAIN * error
        self._share = min(_MAX_SHARE, max(0.0, share))
        for each in self._data_centres_by_name.values():
            _update_openness(each, utilization, now)

    def _choose_data_centre(
        self, rng: random.Random, now: float
    ) -> _DataCentre | None:
        """Returns an open data centre, weighted by its headroom."""
        open_ones = [
            each for each in self._data_centres_by_name.values() if each.is_open
        ]
        known = [each for each in open_ones if each.utilization is not None]
        unknown = [
            each
            for each in self._data_centres_by_name.values()
            if each.utilization is None and now >= each.blocked_until
        ]
        if unknown and rng.random() < _PROBE_SHARE:
            return rng.choice(unknown)
        if not known:
            return None
        weights = [1.0 / (0.05 + each.utilization) ** 2 for each in known]
        return rng.choices(known, weights)[0]


def _update_openness(
    data_centre: _DataCentre, near_utilization: float, now: float
) -> None:
    reported = [
        target
        for target in data_centre.targets
        if target.load_report is not None
        and now - target.reported_at < _REPORT_MAX_AGE_S
    ]
    if not reported:
        data_centre.utilization = None
        data_centre.is_open = False
        return
    utilization = _mean_utilization(reported, now)
    data_centre.utilization = utilization
    headroom = min(near_utilization, 1.0) - utilization
    if headroom < (_STOP_HEADROOM if data_centre.is_open else _START_HEADROOM):
        data_centre.is_open = False
        data_centre.blocked_until = now + _HOLD_S
    elif now >= data_centre.blocked_until:
        data_centre.is_open = True


def _mean_utilization(targets: list[core.Target], now: float) -> float:
    slots = sum(target.slots() for target in targets)
    return sum(target.estimated_load(now) for target in targets) / slots
