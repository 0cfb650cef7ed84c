"""Division of a class's capacity among organisations at an entry.

For each scarce service and class, the fair level is the load per unit of weight
at which the organisations' max-min allocations use up the capacity of the
class. A token bucket per organisation, filled at that level, tells which of its
requests are within its fair part. An entry sees few requests of each
organisation, so the demands are smoothed over many seconds; the buckets limit
an organisation that suddenly sends more long before its estimate has grown.
"""

import collections
from collections.abc import Mapping
import math

import msgspec

from bergamotdeal.fairness import maxmin

_SMOOTHING_S = 10.0
"""Time constant of the demand estimates. An organisation with one request in
five seconds at this entry still counts with about four samples."""

_LEVEL_INTERVAL_S = 0.2
"""Interval at which a fair level is recomputed."""

_LEVEL_LIFETIME_S = 1.0
"""Age after which a level no longer applies: the service is not scarce."""

_BURST_S = 2.0
"""Time at the fair level that a bucket holds."""

_MIN_BURST_REQUESTS = 4.0
"""Minimum size of a bucket in requests; requests don't arrive evenly."""

MAX_ORGANISATIONS = 512
"""Maximum organisations per service and class; the one that was seen least
recently is forgotten."""

_MAX_TABLES = 256
"""Maximum pairs of service and class; further ones are not shared fairly."""


class _Demand(msgspec.Struct, kw_only=True):
    """Demand and bucket of one organisation.

    Attributes:
      weight: Weight of the organisation.
      load: Smoothed load at the time of the update, slot-seconds per second.
      updated_at: Time of the update, monotonic seconds.
      tokens: Slot-seconds that it may still use as its fair part.
      filled_at: Time up to which the bucket is filled.
    """

    weight: float
    load: float
    updated_at: float
    tokens: float
    filled_at: float


class _Table:
    """Demands of the organisations on one service in one class."""

    def __init__(self, *, now: float) -> None:
        self.started_at = now
        self.demands_by_organisation: collections.OrderedDict[str, _Demand] = (
            collections.OrderedDict()
        )
        self.level = math.inf
        self.level_at = -math.inf

    def record(
        self, organisation: str, weight: float, slot_s: float, now: float
    ) -> None:
        demands = self.demands_by_organisation
        demand = demands.get(organisation)
        if demand is None:
            if len(demands) >= MAX_ORGANISATIONS:
                demands.popitem(last=False)
            demand = demands[organisation] = _Demand(
                weight=weight,
                load=0.0,
                updated_at=now,
                tokens=math.inf,
                filled_at=now,
            )
        demands.move_to_end(organisation)
        demand.weight = weight
        demand.load = _decay(demand, now) + slot_s / _SMOOTHING_S
        demand.updated_at = now

    def update_level(self, capacity: float, now: float) -> None:
        if now - self.level_at < _LEVEL_INTERVAL_S:
            return
        # Corrects the estimates for the time before the first request.
        age_s = max(_LEVEL_INTERVAL_S, now - self.started_at)
        seen = 1.0 - math.exp(-age_s / _SMOOTHING_S)
        unshared = 0.0
        demands = []
        for name, demand in self.demands_by_organisation.items():
            load = _decay(demand, now) / seen
            if name:
                demands.append((load, demand.weight))
            else:
                unshared = load
        total = unshared + sum(load for load, _ in demands)
        if total > 0.0:
            capacity *= 1.0 - unshared / total
        self.level = maxmin.compute_level(demands, capacity)
        self.level_at = now

    def has_level(self, now: float) -> bool:
        return now - self.level_at < _LEVEL_LIFETIME_S

    def fill(self, organisation: str, slot_s: float, now: float) -> _Demand:
        demand = self.demands_by_organisation[organisation]
        rate = demand.weight * self.level
        capacity = max(_MIN_BURST_REQUESTS * slot_s, rate * _BURST_S)
        filled = demand.tokens + rate * (now - demand.filled_at)
        demand.tokens = min(capacity, filled)
        demand.filled_at = now
        return demand


class FairShares:
    """Fair parts of organisations in the capacity of services and classes."""

    def __init__(self) -> None:
        self._tables_by_key: dict[tuple[str, int], _Table] = {}

    def record_request(
        self,
        organisation: str,
        weight: float,
        rank: int,
        slot_s_by_service: Mapping[str, float],
        now: float,
    ) -> None:
        """Records an offered request.

        Args:
          organisation: Its organisation; empty for none.
          weight: Weight of the organisation.
          rank: Rank of its priority class.
          slot_s_by_service: Slot time of the request by service, seconds.
          now: Monotonic seconds.
        """
        for service, slot_s in slot_s_by_service.items():
            key = (service, rank)
            table = self._tables_by_key.get(key)
            if table is None:
                if len(self._tables_by_key) >= _MAX_TABLES:
                    continue
                table = self._tables_by_key[key] = _Table(now=now)
            table.record(organisation, weight, slot_s, now)

    def set_capacity(
        self, service: str, rank: int, capacity: float, now: float
    ) -> None:
        """Sets the capacity of a scarce service for one class.

        Args:
          service: The service.
          rank: Rank of the class.
          capacity: Slot-seconds per second for its requests at this entry.
          now: Monotonic seconds.
        """
        table = self._tables_by_key.get((service, rank))
        if table is not None:
            table.update_level(capacity, now)

    def try_use_fair_part(
        self,
        organisation: str,
        rank: int,
        slot_s_by_service: Mapping[str, float],
        now: float,
    ) -> bool:
        """Returns whether a recorded request is in the fair part, and uses it.

        Args:
          organisation: Its organisation; a request without one is always in.
          rank: Rank of its priority class.
          slot_s_by_service: Slot time of the request by service, seconds.
          now: Monotonic seconds.
        """
        if not organisation:
            return True
        buckets = []
        for service, slot_s in slot_s_by_service.items():
            table = self._tables_by_key.get((service, rank))
            if slot_s <= 0.0 or table is None or not table.has_level(now):
                continue
            bucket = table.fill(organisation, slot_s, now)
            if bucket.tokens < slot_s:
                return False
            buckets.append((bucket, slot_s))
        for bucket, slot_s in buckets:
            bucket.tokens -= slot_s
        return True


def _decay(demand: _Demand, now: float) -> float:
    return demand.load * math.exp(-(now - demand.updated_at) / _SMOOTHING_S)
