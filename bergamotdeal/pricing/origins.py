"""Classification of routes by whether only backend servers call them.

External callers reach every host, so their requests originate on the hosts of
all services in proportion to the number of hosts. Calls of backend servers
originate only on the hosts of the services that make them. Because routing
prefers the local data centre, arrivals are expected only from its hosts.
"""

import enum

import msgspec

from bergamotdeal.membership import core as membership

_MAX_ARRIVALS = 2000
"""Arrivals after which the counts are halved to age out old ones."""

_CLASSIFICATION_INTERVAL = 8
"""Arrivals between two classifications of a route."""

_MIN_EXPECTED_ARRIVALS = 8.0
"""Minimum expected arrivals from a service before it is evaluated. At this
value, a Poisson count is zero by chance once in 3,000 classifications."""

_ABSENT_SHARE = 0.15
"""Share of the expected arrivals below which a service counts as absent."""

_MAX_ROUTES = 4096


class Origin(enum.IntEnum):
    """Origin of a route's requests; the values are sent in reports."""

    UNKNOWN = 0
    CALLERS = 1
    SERVERS = 2


class _ArrivalCounts(msgspec.Struct, kw_only=True):
    """Arrival counts of one route.

    Attributes:
      by_service: Arrivals by the service of the originating host.
      total: Number of arrivals.
      origin: Result of the latest classification.
    """

    by_service: dict[str, int] = msgspec.field(default_factory=dict)
    total: int = 0
    origin: Origin = Origin.UNKNOWN


class OriginClassifier:
    """Classifier that separates backend server calls from caller requests.

    Args:
      data_centre: Data centre of this host.
    """

    def __init__(self, *, data_centre: str) -> None:
        self._data_centre = data_centre
        self._counts_by_route: dict[str, _ArrivalCounts] = {}
        self._share_by_service: dict[str, float] = {}

    def update_members(
        self, members_by_id: dict[str, membership.Member]
    ) -> None:
        """Updates the expected arrival shares from the membership view.

        Args:
          members_by_id: Every known member by host id.
        """
        hosts_by_service: dict[str, int] = {}
        for member in members_by_id.values():
            is_local = (
                member.state is membership.MemberState.ALIVE
                and member.data_centre == self._data_centre
            )
            if is_local and member.server is not None:
                service = member.server.service
                hosts_by_service[service] = hosts_by_service.get(service, 0) + 1
        total = sum(hosts_by_service.values())
        self._share_by_service = {
            service: hosts / total
            for service, hosts in hosts_by_service.items()
        }

    def record_arrival(self, route_name: str, caller_service: str) -> Origin:
        """Records an arrival at the local backend server's node.

        Args:
          route_name: Route of the request.
          caller_service: Service of the originating host.

        Returns:
          The origin of the route's requests as currently classified.
        """
        counts = self._counts_by_route.get(route_name)
        if counts is None:
            if len(self._counts_by_route) >= _MAX_ROUTES:
                return Origin.UNKNOWN
            counts = self._counts_by_route[route_name] = _ArrivalCounts()
        by_service = counts.by_service
        by_service[caller_service] = by_service.get(caller_service, 0) + 1
        counts.total += 1
        if counts.total % _CLASSIFICATION_INTERVAL == 0:
            counts.origin = self._classify(counts)
        if counts.total >= _MAX_ARRIVALS:
            counts.by_service = {s: n // 2 for s, n in by_service.items()}
            counts.total = sum(counts.by_service.values())
        return counts.origin

    def route_origin(self, route_name: str) -> Origin:
        """Returns the origin of a route's requests as currently classified."""
        counts = self._counts_by_route.get(route_name)
        return Origin.UNKNOWN if counts is None else counts.origin

    def _classify(self, counts: _ArrivalCounts) -> Origin:
        evaluated = 0
        for service, share in self._share_by_service.items():
            expected = counts.total * share
            if expected < _MIN_EXPECTED_ARRIVALS:
                continue
            evaluated += 1
            if counts.by_service.get(service, 0) < _ABSENT_SHARE * expected:
                return Origin.SERVERS
        if evaluated >= 2 and 2 * evaluated >= len(self._share_by_service):
            return Origin.CALLERS
        return counts.origin
