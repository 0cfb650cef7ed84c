"""Thresholds that other nodes reported in their answers."""

import dataclasses
import math

from bergamotdeal.presets import model

_SMOOTHING_S = 0.02
_STALE_S = 0.25
_OPEN_PER_S = 6.0
_FLOOR = 0.005
_MAX_EXPONENT = 20.0
_MIN_WEIGHT = 0.2
_MIN_WEIGHT_DOWN = 0.5
_MAX_ENTRIES = 4096
_SWEEP_S = 1.0
_OPEN = 0.999

_Key = tuple[str, str, str]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Entry:
    threshold: float
    observed: float


class ThresholdTable:
    """Smoothed thresholds by service, route prefix and class.

    Each answer is one observation, so the servers of a service weigh by the
    calls that they got. Without answers a threshold opens again.
    """

    def __init__(self, *, policy: model.AdmissionPolicy):
        self._policy = policy
        self._entries_by_key: dict[_Key, _Entry] = {}
        self._swept = -_SWEEP_S

    def set_policy(self, policy: model.AdmissionPolicy) -> None:
        """Takes the policy of a new preset."""
        self._policy = policy

    def observe(
        self,
        service: str,
        prefix: str,
        class_name: str,
        threshold: float,
        now: float,
    ) -> None:
        """Takes the threshold that an answer carried.

        Args:
          service: Service that was called.
          prefix: Prefix of the route that matched the call.
          class_name: Class of the user request.
          threshold: Share of request hashes that the target admits.
          now: Monotonic seconds.
        """
        key = (service, prefix, class_name)
        entry = self._entries_by_key.get(key)
        if entry is None:
            if threshold >= 1.0 or not self._has_room(now):
                return
            entry = _Entry(threshold=1.0, observed=now - 1.0)
            self._entries_by_key[key] = entry
        weight = 1.0 - math.exp(-(now - entry.observed) / _SMOOTHING_S)
        current = _opened(entry, now)
        least = _MIN_WEIGHT if threshold > current else _MIN_WEIGHT_DOWN
        weight = max(least, weight)
        entry.threshold = current + weight * (threshold - current)
        entry.observed = now
        if entry.threshold > _OPEN:
            del self._entries_by_key[key]

    def _has_room(self, now: float) -> bool:
        if len(self._entries_by_key) < _MAX_ENTRIES:
            return True
        if now < self._swept + _SWEEP_S:
            return False
        self._swept = now
        self._entries_by_key = {
            key: entry
            for key, entry in self._entries_by_key.items()
            if _opened(entry, now) < 1.0
        }
        return len(self._entries_by_key) < _MAX_ENTRIES

    def threshold(
        self, service: str, prefix: str, class_name: str, now: float
    ) -> float:
        """Returns the share of request hashes that the target admits."""
        if not self._policy.feedback or not self._policy.limits:
            return 1.0
        entry = self._entries_by_key.get((service, prefix, class_name))
        if entry is None:
            return 1.0
        return _opened(entry, now)

    def admits(
        self,
        service: str,
        prefix: str,
        class_name: str,
        hash_share: float,
        now: float,
    ) -> bool:
        """Tells whether a request is to be sent to the target."""
        return hash_share < self.threshold(service, prefix, class_name, now)


def _opened(entry: _Entry, now: float) -> float:
    idle = now - entry.observed - _STALE_S
    if idle <= 0.0:
        return entry.threshold
    growth = math.exp(min(_MAX_EXPONENT, _OPEN_PER_S * idle))
    return min(1.0, max(_FLOOR, entry.threshold) * growth)
