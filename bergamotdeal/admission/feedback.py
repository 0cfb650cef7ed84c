"""Admission thresholds that other nodes report in their answers."""

import math

import msgspec

from bergamotdeal.presets import model

_SMOOTHING_TIME_CONSTANT_S = 0.02
_STALE_AFTER_S = 0.25
_RECOVERY_RATE_PER_S = 6.0
_MIN_RECOVERY_THRESHOLD = 0.005
_MAX_RECOVERY_EXPONENT = 20.0
_MIN_INCREASE_WEIGHT = 0.2
_MIN_DECREASE_WEIGHT = 0.5
_MAX_ENTRIES = 4096
_EVICTION_INTERVAL_S = 1.0
_FULLY_OPEN = 0.999

_Key = tuple[str, str, str]


class _Entry(msgspec.Struct, kw_only=True):
    threshold: float
    observed_at: float


class ThresholdTable:
    """Smoothed admission thresholds by service, route prefix and class.

    Each answer is one observation, so each server of a service is weighted by
    the number of calls it receives. A threshold that is no longer reported
    grows exponentially until everything is admitted.
    """

    def __init__(self, *, policy: model.AdmissionPolicy):
        self._policy = policy
        self._entries_by_key: dict[_Key, _Entry] = {}
        self._last_eviction = -_EVICTION_INTERVAL_S

    def set_policy(self, policy: model.AdmissionPolicy) -> None:
        """Applies the policy of a new preset."""
        self._policy = policy

    def observe(
        self,
        service: str,
        prefix: str,
        class_name: str,
        threshold: float,
        now: float,
    ) -> None:
        """Records the threshold reported in an answer.

        Args:
          service: Service that was called.
          prefix: Prefix of the route that matched the call.
          class_name: Class of the user request.
          threshold: Share of request hashes that the target admits, in [0, 1].
          now: Monotonic seconds.
        """
        key = (service, prefix, class_name)
        entry = self._entries_by_key.get(key)
        if entry is None:
            if threshold >= 1.0 or not self._has_capacity(now):
                return
            entry = _Entry(threshold=1.0, observed_at=now - 1.0)
            self._entries_by_key[key] = entry
        weight = 1.0 - math.exp(
            -(now - entry.observed_at) / _SMOOTHING_TIME_CONSTANT_S
        )
        current = _recovered_threshold(entry, now)
        min_weight = (
            _MIN_INCREASE_WEIGHT
            if threshold > current
            else _MIN_DECREASE_WEIGHT
        )
        weight = max(min_weight, weight)
        entry.threshold = current + weight * (threshold - current)
        entry.observed_at = now
        if entry.threshold > _FULLY_OPEN:
            del self._entries_by_key[key]

    def _has_capacity(self, now: float) -> bool:
        if len(self._entries_by_key) < _MAX_ENTRIES:
            return True
        if now < self._last_eviction + _EVICTION_INTERVAL_S:
            return False
        self._last_eviction = now
        self._entries_by_key = {
            key: entry
            for key, entry in self._entries_by_key.items()
            if _recovered_threshold(entry, now) < 1.0
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
        return _recovered_threshold(entry, now)

    def admits(
        self,
        service: str,
        prefix: str,
        class_name: str,
        hash_share: float,
        now: float,
    ) -> bool:
        """Returns whether the target is expected to admit a request."""
        return hash_share < self.threshold(service, prefix, class_name, now)


def _recovered_threshold(entry: _Entry, now: float) -> float:
    stale_s = now - entry.observed_at - _STALE_AFTER_S
    if stale_s <= 0.0:
        return entry.threshold
    growth = math.exp(
        min(_MAX_RECOVERY_EXPONENT, _RECOVERY_RATE_PER_S * stale_s)
    )
    return min(1.0, max(_MIN_RECOVERY_THRESHOLD, entry.threshold) * growth)
