"""Requests that wait until a node that has just started can serve them.

A caller that is refused at once may have no attempt left when the node is
ready a moment later.
"""

import collections
from collections.abc import Callable

import msgspec
from twisted.internet import task

from bergamotdeal.membership import core as membership
from bergamotdeal.node import http_exchange
from bergamotdeal.presets import model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records

MAX_HOLD_S = 0.5
"""Longest wait of one request."""

STARTUP_S = 2.0
"""Time after the start in which requests are held at all."""

CHECK_INTERVAL_S = 0.02
MAX_HELD_REQUESTS = 256
MAX_HELD_BYTES = 4 * 1024 * 1024
_MS_PER_S = 1000

Handler = Callable[
    [http_exchange.Exchange, http_exchange.HttpRequest, float], None
]


class _HeldRequest(msgspec.Struct, frozen=True, kw_only=True):
    exchange: http_exchange.Exchange
    request: http_exchange.HttpRequest
    arrived_at: float


def has_servers_for_all_routes(
    preset: model.Preset, members_by_id: dict[str, membership.Member]
) -> bool:
    """Returns whether each service of a preset's host routes has a server.

    Args:
      preset: Preset in force.
      members_by_id: Known members of the fleet.
    """
    services = {
        destination.service
        for route in preset.host_routes
        for destination in route.destinations
    }
    return services <= {
        member.server.service
        for member in members_by_id.values()
        if member.server is not None
    }


class StartupHold:
    """Queue of the requests that arrive while a node starts.

    Args:
      reactor: The reactor.
      can_serve: Returns whether the node can serve requests.
      record: Takes an event for the event log.
    """

    def __init__(
        self,
        *,
        reactor,
        can_serve: Callable[[], bool],
        record: Callable[[records.EventRecord], None],
    ) -> None:
        self._reactor = reactor
        self._can_serve = can_serve
        self._record = record
        self._held_count = 0
        self._longest_s = 0.0
        self._held: collections.deque[_HeldRequest] = collections.deque()
        self._held_bytes = 0
        self._handle: Handler | None = None
        self._ends_at = 0.0
        self._checks = task.LoopingCall(self._check)
        self._checks.clock = reactor

    @property
    def held_bytes(self) -> int:
        """Bytes of the bodies of the requests that are held."""
        return self._held_bytes

    def start(self, handle: Handler) -> None:
        """Starts to hold requests.

        Args:
          handle: Called with each exchange, its request and the seconds for
            which it was held, when the hold ends.
        """
        self._handle = handle
        self._ends_at = self._reactor.seconds() + STARTUP_S
        self._checks.start(CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Ends the hold; the held requests are handled now."""
        if not self._checks.running:
            return
        self._checks.stop()
        self._release(float("inf"))
        if self._held_count:
            fields = {
                "requests": self._held_count,
                "longest_ms": int(self._longest_s * _MS_PER_S),
            }
            code = catalogue.EventCode.STARTUP_HOLD_ENDED
            self._record(records.EventRecord(code=code, fields=fields))

    def add(
        self,
        exchange: http_exchange.Exchange,
        request: http_exchange.HttpRequest,
    ) -> bool:
        """Holds a request.

        Args:
          exchange: Exchange of the request.
          request: The request.

        Returns:
          Whether the request is held.
        """
        size = len(request.body)
        is_full = (
            len(self._held) >= MAX_HELD_REQUESTS
            or self._held_bytes + size > MAX_HELD_BYTES
        )
        if not self._checks.running or is_full:
            return False
        self._held_count += 1
        self._held_bytes += size
        self._held.append(
            _HeldRequest(
                exchange=exchange,
                request=request,
                arrived_at=self._reactor.seconds(),
            )
        )
        return True

    def _check(self) -> None:
        now = self._reactor.seconds()
        if self._can_serve() or now >= self._ends_at:
            self.stop()
        else:
            self._release(now - MAX_HOLD_S)

    def _release(self, arrived_until: float) -> None:
        """Handles the requests that arrived up to a time."""
        while self._held and self._held[0].arrived_at <= arrived_until:
            held = self._held.popleft()
            self._held_bytes -= len(held.request.body)
            held_s = self._reactor.seconds() - held.arrived_at
            self._longest_s = max(self._longest_s, held_s)
            if not held.exchange.is_answered:
                self._handle(held.exchange, held.request, held_s)
