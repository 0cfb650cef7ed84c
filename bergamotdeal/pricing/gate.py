"""Cost-based admission of user requests at an entry during overload."""

import collections
import random

import msgspec

from bergamotdeal.fairness import gate as fairness

_RATE_WINDOW_S = 0.25
"""Window over which the request rate is measured."""

_RATE_SMOOTHING = 0.3
"""Weight of a new window in the moving mean of the rate."""

_RECOMPUTE_INTERVAL_S = 0.05
"""Interval at which the admitted fractions are recomputed."""

_MIN_ADMITTED_FRACTION = 0.05
"""Minimum admitted fraction, so that no route starves."""

_MAX_CREDIT = 2.0
"""Maximum credit in requests: one, plus the fraction towards the next."""

_PROPORTIONAL_PART = 0.5
"""Part of a class's allocation that its routes share in proportion; the rest
goes to the cheapest requests first. One half keeps expensive routes served."""

_MAX_OVERDRAFT = 2.0
"""Maximum overdraft in requests that repeated requests may draw."""

_MAX_RESERVED_DEBT = 5.0
"""Maximum debt in requests that returning callers may leave a route."""

_MAX_REFUSED = 2048
"""Maximum number of refused requests kept to recognise repeats."""


class _RouteState(msgspec.Struct, kw_only=True):
    """Offered rate and admission state of one route.

    Attributes:
      rank: Rank of its priority class; 0 is the most important.
      is_excess: Whether these are the requests beyond the fair parts of their
        organisations.
      slot_s_by_service: Slot time of one request by service, seconds.
      credit: Requests that may be admitted, usually a fraction.
      count: Requests offered in the current window.
      rate: Moving mean of the offered rate, requests per second.
      admitted_share: Fraction of the requests that is admitted.
    """

    rank: int
    is_excess: bool
    slot_s_by_service: dict[str, float]
    credit: float
    count: int = 0
    rate: float = 0.0
    admitted_share: float = 1.0


class EntryGate:
    """Admission gate that limits each route to what the services can handle.

    The capacity of an overloaded service is allocated to priority classes in
    order, based on the request rates offered at this entry. A credit counter
    per route then admits the resulting fraction of its requests. Within a
    class, requests in the fair parts of their organisations come first.

    Args:
      rng: Random source.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._routes_by_key: dict[tuple[str, bool], _RouteState] = {}
        self._fair_shares = fairness.FairShares()
        self._has_organisations = False
        self._window_started_at = 0.0
        self._recomputed_at = 0.0
        self._refused_fingerprints: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def record_request(
        self,
        route_name: str,
        rank: int,
        slot_s_by_service: dict[str, float],
        now: float,
        *,
        organisation: str = "",
        weight: float = 1.0,
    ) -> bool:
        """Records an offered request.

        Args:
          route_name: Route of the request.
          rank: Rank of its priority class; 0 is the most important.
          slot_s_by_service: Slot time of one request by service, seconds.
          now: Monotonic seconds.
          organisation: Organisation of the caller; empty for none.
          weight: Weight of the organisation.

        Returns:
          Whether it goes beyond the fair part of its organisation.
        """
        is_excess = False
        if organisation or self._has_organisations:
            self._has_organisations = True
            self._fair_shares.record_request(
                organisation, weight, rank, slot_s_by_service, now
            )
            is_excess = not self._fair_shares.try_use_fair_part(
                organisation, rank, slot_s_by_service, now
            )
        route = self._routes_by_key.get((route_name, is_excess))
        if route is None:
            route = _RouteState(
                rank=rank,
                is_excess=is_excess,
                slot_s_by_service=slot_s_by_service,
                credit=self._rng.random(),
            )
            self._routes_by_key[route_name, is_excess] = route
        route.rank = rank
        route.slot_s_by_service = slot_s_by_service
        route.count += 1
        if now - self._window_started_at >= _RATE_WINDOW_S:
            self._close_window(now)
        return is_excess

    def admits(
        self,
        route_name: str,
        fingerprint: int | None,
        shares_by_service: dict[str, float],
        now: float,
        *,
        is_excess: bool = False,
        is_reserved: bool = False,
    ) -> bool:
        """Returns whether a recorded request is admitted.

        Args:
          route_name: Route of the request.
          fingerprint: Hash that identifies a request sent again, or None if
            requests sent again are treated like others.
          shares_by_service: Load shares of overloaded services.
          now: Monotonic seconds.
          is_excess: Whether it goes beyond the fair part of its organisation.
          is_reserved: Whether it returns at the time that it was assigned.
        """
        if now - self._recomputed_at >= _RECOMPUTE_INTERVAL_S:
            self._recomputed_at = now
            self._recompute_fractions(shares_by_service, now)
        route = self._routes_by_key[route_name, is_excess]
        if route.admitted_share >= 1.0:
            route.credit = min(1.0, route.credit + 0.1)
            return True
        # A cap of 1.0 would discard the fraction left over after a request.
        route.credit = min(_MAX_CREDIT, route.credit + route.admitted_share)
        if is_reserved:
            route.credit = max(-_MAX_RESERVED_DEBT, route.credit - 1.0)
            return True
        required_credit = 1.0
        if fingerprint in self._refused_fingerprints:
            required_credit = 1.0 - _MAX_OVERDRAFT
            del self._refused_fingerprints[fingerprint]
        if route.credit >= required_credit:
            route.credit -= 1.0
            return True
        if fingerprint is None:
            return False
        self._refused_fingerprints[fingerprint] = None
        if len(self._refused_fingerprints) > _MAX_REFUSED:
            self._refused_fingerprints.popitem(last=False)
        return False

    def admitted_fraction(self, route_name: str) -> float:
        """Returns the fraction of a route's requests that is admitted."""
        offered = admitted = 0.0
        for is_excess in (False, True):
            route = self._routes_by_key.get((route_name, is_excess))
            if route is not None:
                offered += route.rate
                admitted += route.rate * route.admitted_share
        return admitted / offered if offered > 0.0 else 1.0

    def admitted_rate(self, service: str, rank: int) -> float:
        """Returns the admitted requests per second that need a service.

        Args:
          service: The service.
          rank: Rank of the priority class.
        """
        return sum(
            route.rate * route.admitted_share
            for route in self._routes_by_key.values()
            if route.rank == rank
            and route.slot_s_by_service.get(service, 0.0) > 0.0
        )

    def _close_window(self, now: float) -> None:
        window_s = max(_RATE_WINDOW_S, now - self._window_started_at)
        self._window_started_at = now
        for route in self._routes_by_key.values():
            rate = route.count / window_s
            route.rate += _RATE_SMOOTHING * (rate - route.rate)
            route.count = 0

    def _recompute_fractions(
        self, shares_by_service: dict[str, float], now: float
    ) -> None:
        """Recomputes the admitted fraction of every route."""
        for route in self._routes_by_key.values():
            route.admitted_share = 1.0
        for service, share in shares_by_service.items():
            self._allocate_capacity(service, share, now)

    def _allocate_capacity(
        self, service: str, share: float, now: float
    ) -> None:
        demands_by_rank: dict[tuple[int, bool], list[_Demand]] = {}
        offered = 0.0
        for route in self._routes_by_key.values():
            slot_s = route.slot_s_by_service.get(service, 0.0)
            load = route.rate * slot_s
            if load > 0.0:
                demand = _Demand(route=route, slot_s=slot_s, load=load)
                key = (route.rank, route.is_excess)
                demands_by_rank.setdefault(key, []).append(demand)
                offered += load
        remaining = share * offered
        shared_ranks: set[int] = set()
        for rank, is_excess in sorted(demands_by_rank):
            if self._has_organisations and rank not in shared_ranks:
                shared_ranks.add(rank)
                self._fair_shares.set_capacity(service, rank, remaining, now)
            remaining = _allocate_to_class(
                demands_by_rank[rank, is_excess], remaining
            )


class _Demand(msgspec.Struct, kw_only=True):
    """Demand of one route on one service.

    Attributes:
      route: State of the route.
      slot_s: Slot time of one request at the service, seconds.
      load: Offered load on the service, slot-seconds per second.
    """

    route: _RouteState
    slot_s: float
    load: float


def _allocate_to_class(demands: list[_Demand], remaining: float) -> float:
    """Allocates the remaining capacity of a service to one priority class.

    Requests of a class have equal value, so after a proportional part the
    cheapest requests are served first: the same slots complete more of them.

    Args:
      demands: Demands of the routes of the class.
      remaining: Remaining capacity, slot-seconds per second.

    Returns:
      The capacity that remains for less important classes.
    """
    total_load = sum(each.load for each in demands)
    class_fraction = min(1.0, remaining / total_load)
    proportional_fraction = (
        _PROPORTIONAL_PART * class_fraction if class_fraction < 1.0 else 1.0
    )
    cheapest_first_load = max(
        0.0, remaining - proportional_fraction * total_load
    )
    for each in sorted(demands, key=_get_slot_time):
        extra_load = min(
            (1.0 - proportional_fraction) * each.load, cheapest_first_load
        )
        cheapest_first_load -= extra_load
        admitted_fraction = max(
            _MIN_ADMITTED_FRACTION,
            proportional_fraction + extra_load / each.load,
        )
        each.route.admitted_share = min(
            each.route.admitted_share, admitted_fraction
        )
        remaining -= admitted_fraction * each.load
    return max(0.0, remaining)


def _get_slot_time(demand: _Demand) -> float:
    return demand.slot_s
