"""Which user requests an entry lets in while services are under pressure."""

import collections
import dataclasses
import random

_RATE_WINDOW_S = 0.25
"""Window over which offered requests are counted."""

_RATE_SMOOTHING = 0.3
"""Weight of a new window in the moving rate."""

_REFRESH_S = 0.05
"""Age up to which a route's admitted part is used again."""

_ADMITTED_MIN = 0.05
"""Least part of a route that is let in, so that none starves unseen."""

_CREDIT_MAX = 2.0
"""Requests that a route may be owed: one, and the fraction of the next."""

_EVEN_SHARE = 0.5
"""Part of what a class gets that its routes share alike; the rest goes to the
cheapest requests first. Half of it keeps the dearer ones served."""

_BORROWED_MAX = 2.0
"""Requests ahead of a route's part that returning callers may be let in."""

_REMEMBERED = 2048
"""Refused requests that are remembered, to know them when they return."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Route:
    """What one route asks of the fleet and gets.

    Attributes:
      rank: Rank of its class, zero for the most important one.
      slot_s_by_service: Slot time of one request by service.
      credit: Requests that may be let in, a fraction as a rule.
      count: Requests offered in the open window.
      rate: Moving rate of the requests offered, per second.
      admitted: Part of the requests that is let in.
    """

    rank: int
    slot_s_by_service: dict[str, float]
    credit: float
    count: int = 0
    rate: float = 0.0
    admitted: float = 1.0


class EntryGate:
    """Lets in the part of each route that the fleet can take.

    The work that a service can take is dealt out in the order of the classes,
    at the rates at which this entry is offered their requests.

    Args:
      rng: Random source.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._routes_by_name: dict[str, _Route] = {}
        self._window_began = 0.0
        self._refreshed = 0.0
        self._refused: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def offer(
        self,
        route_name: str,
        rank: int,
        slot_s_by_service: dict[str, float],
        now: float,
    ) -> None:
        """Counts a request that is offered.

        Args:
          route_name: Its route.
          rank: Rank of its class.
          slot_s_by_service: Slot time of one request by service.
          now: Monotonic seconds.
        """
        route = self._routes_by_name.get(route_name)
        if route is None:
            route = _Route(
                rank=rank,
                slot_s_by_service=slot_s_by_service,
                credit=self._rng.random(),
            )
            self._routes_by_name[route_name] = route
        route.rank = rank
        route.slot_s_by_service = slot_s_by_service
        route.count += 1
        if now - self._window_began >= _RATE_WINDOW_S:
            self._close_window(now)

    def admits(
        self,
        route_name: str,
        fingerprint: int,
        shares_by_service: dict[str, float],
        now: float,
    ) -> bool:
        """Decides on a request that was offered.

        Args:
          route_name: Its route.
          fingerprint: Hash by which a returning request is known.
          shares_by_service: Shares of the services under pressure.
          now: Monotonic seconds.
        """
        if now - self._refreshed >= _REFRESH_S:
            self._refreshed = now
            self._refresh(shares_by_service)
        route = self._routes_by_name[route_name]
        if route.admitted >= 1.0:
            route.credit = min(1.0, route.credit + 0.1)
            return True
        # A cap of 1.0 would lose the fraction that is left after a request.
        route.credit = min(_CREDIT_MAX, route.credit + route.admitted)
        needed = 1.0
        if fingerprint in self._refused:
            needed = 1.0 - _BORROWED_MAX
            del self._refused[fingerprint]
        if route.credit >= needed:
            route.credit -= 1.0
            return True
        self._refused[fingerprint] = None
        if len(self._refused) > _REMEMBERED:
            self._refused.popitem(last=False)
        return False

    def admitted_fraction(self, route_name: str) -> float:
        """Returns the part of a route that is let in."""
        route = self._routes_by_name.get(route_name)
        return 1.0 if route is None else route.admitted

    def _close_window(self, now: float) -> None:
        span_s = max(_RATE_WINDOW_S, now - self._window_began)
        self._window_began = now
        for route in self._routes_by_name.values():
            rate = route.count / span_s
            route.rate += _RATE_SMOOTHING * (rate - route.rate)
            route.count = 0

    def _refresh(self, shares_by_service: dict[str, float]) -> None:
        """Deals out what each service can take."""
        for route in self._routes_by_name.values():
            route.admitted = 1.0
        for service, share in shares_by_service.items():
            self._deal(service, share)

    def _deal(self, service: str, share: float) -> None:
        routes_by_rank: dict[int, list[_Wanted]] = {}
        offered = 0.0
        for route in self._routes_by_name.values():
            slot_s = route.slot_s_by_service.get(service, 0.0)
            work = route.rate * slot_s
            if work > 0.0:
                wanted = _Wanted(route=route, slot_s=slot_s, work=work)
                routes_by_rank.setdefault(route.rank, []).append(wanted)
                offered += work
        left = share * offered
        for rank in sorted(routes_by_rank):
            left = _deal_class(routes_by_rank[rank], left)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Wanted:
    """What one route asks of one service.

    Attributes:
      route: The route.
      slot_s: Slot time of one request there, seconds.
      work: Slot time of all its requests, seconds a second.
    """

    route: _Route
    slot_s: float
    work: float


def _deal_class(routes: list[_Wanted], left: float) -> float:
    """Deals out what is left of a service to the routes of one class.

    Requests of a class are worth the same, so the cheapest ones come first:
    the same slots complete more of them. A part is shared alike before.

    Args:
      routes: What they ask of the service.
      left: Work that it can still take.

    Returns:
      The work that is left for the classes below.
    """
    wanted = sum(each.work for each in routes)
    part = min(1.0, left / wanted)
    even = _EVEN_SHARE * part if part < 1.0 else 1.0
    rest = max(0.0, left - even * wanted)
    for each in sorted(routes, key=_slot_time):
        more = min((1.0 - even) * each.work, rest)
        rest -= more
        admitted = max(_ADMITTED_MIN, even + more / each.work)
        each.route.admitted = min(each.route.admitted, admitted)
        left -= admitted * each.work
    return max(0.0, left)


def _slot_time(wanted: _Wanted) -> float:
    return wanted.slot_s
