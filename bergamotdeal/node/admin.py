"""The admin face: what operators ask a node, as HTTP with JSON."""

from collections.abc import Callable
import dataclasses
import hmac
import traceback
from typing import Protocol
import urllib.parse

import msgspec
import result
from twisted.internet import interfaces

from bergamotdeal.calls import core as calls
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.node import http_server
from bergamotdeal.node import status as node_status
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import ring
from bergamotdeal.telemetry import timeline

STATUS_PATH = "/v1/status"
TIMELINE_PATH = "/v1/timeline"
DRAIN_PATH = "/v1/drain"
IN_FORCE_PATH = "/v1/in-force"
METRICS_PATH = "/v1/metrics"

DEFAULT_EVENTS = 1000
MAX_EVENTS = 5000


class Node(Protocol):
    """What the admin face asks of its node."""

    def status(self, *, with_members: bool) -> node_status.NodeStatus:
        """Returns the status now.

        Args:
          with_members: Whether the fleet's members are wanted, too.
        """

    def start_drain(self) -> None:
        """Starts a graceful shutdown; a second call changes nothing."""

    def offer_in_force(self, data: bytes) -> result.Result[int, str]:
        """Takes the accepted in-force object that an operator hands over.

        Args:
          data: The object's encoded content.

        Returns:
          The epoch that is in force here now, or why the content can't be
          accepted.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EventQuery:
    """Which events an operator asks for.

    Attributes:
      user_request_id: Only events of this request, if given.
      host: Only events on this host or about it, if given.
      code: Only events of this code, if given.
      since: Only events with this stamp or a later one.
      limit: Number of events at most; the newest are returned.
    """

    user_request_id: str = ""
    host: str = ""
    code: catalogue.EventCode | None = None
    since: int = 0
    limit: int = DEFAULT_EVENTS


class AdminListener:
    """Owns the admin face's port.

    Args:
      node: The node that it speaks for.
      host_id: Host of the node.
      events: The node's recent events.
      token: Bearer token that each request must carry; empty for none.
      record: Takes events for the time line.
    """

    def __init__(
        self,
        *,
        node: Node,
        host_id: str,
        events: ring.Ring,
        token: str,
        record: Callable[[messages.Record], None],
    ):
        self._node = node
        self._host_id = host_id
        self._events = events
        self._token = token
        self._record = record
        self._listener: interfaces.IListeningPort | None = None

    @property
    def port(self) -> int:
        """Port that the face listens on."""
        return self._listener.getHost().port

    def factory(self) -> http_server.Factory:
        """Returns the factory of the face's connections."""
        return http_server.Factory(handler=self._handle)

    def start(
        self, *, reactor: interfaces.IReactorTCP, address: str, port: int
    ) -> None:
        """Starts listening.

        Args:
          reactor: The reactor.
          address: IP address.
          port: TCP port; zero lets the kernel choose one.
        """
        self._listener = reactor.listenTCP(
            port, self.factory(), interface=address
        )

    def stop(self) -> None:
        """Stops listening; open connections stay."""
        if self._listener is not None:
            self._listener.stopListening()

    def _handle(
        self, exchange: http_server.Exchange, request: http_server.HttpRequest
    ) -> None:
        try:
            answer = self._answer(request)
        except Exception:
            self._record(
                messages.Record(
                    code=catalogue.EventCode.CALL_FAILED_INTERNALLY,
                    fields={"trace": traceback.format_exc()},
                )
            )
            answer = _error(errors.ErrorKind.INTERNAL)
        exchange.respond(answer, http_server.build_answer_headers(answer, ""))

    def _answer(self, request: http_server.HttpRequest) -> calls.Answer:
        if not self._may_ask(request):
            return _error(errors.ErrorKind.UNAUTHORIZED)
        path, _, query = request.target.partition("?")
        match request.method, path:
            case "GET", str() if path == STATUS_PATH:
                return self._status(query)
            case "GET", str() if path == TIMELINE_PATH:
                return self._timeline(query)
            case "GET", str() if path == METRICS_PATH:
                status = self._node.status(with_members=False)
                return _json(msgspec.json.encode(status.counters_by_name))
            case "POST", str() if path == DRAIN_PATH:
                self._node.start_drain()
                return _json(b'{"draining":true}', status=202)
            case "PUT", str() if path == IN_FORCE_PATH:
                return self._offer_in_force(request.body)
        return _error(errors.ErrorKind.NOT_FOUND, "No such path or method.")

    def _may_ask(self, request: http_server.HttpRequest) -> bool:
        # Browsers send Origin; a page must not reach a loopback admin face.
        if request.header("origin"):
            return False
        if not self._token:
            return True
        expected = f"Bearer {self._token}".encode()
        given = request.header("authorization").encode("latin-1")
        return hmac.compare_digest(expected, given)

    def _status(self, query: str) -> calls.Answer:
        values_by_name = dict(urllib.parse.parse_qsl(query))
        with_members = values_by_name.get("members") != "no"
        status = self._node.status(with_members=with_members)
        return _json(node_status.encode(status))

    def _timeline(self, query: str) -> calls.Answer:
        parsed = parse_event_query(query)
        if isinstance(parsed, result.Err):
            return _error(errors.ErrorKind.MALFORMED_REQUEST, parsed.err_value)
        wanted = parsed.ok_value
        events = self._events.select(
            user_request_id=wanted.user_request_id,
            code=wanted.code,
            since=wanted.since,
        )
        entries = [
            timeline.entry_of(event, host=self._host_id)
            for event in events
            if self._concerns(event, wanted.host)
        ]
        return calls.Answer(
            outcome=errors.Outcome.COMPLETED,
            headers=[("content-type", "application/x-ndjson")],
            body=timeline.encode(entries[-wanted.limit :]),
        )

    def _concerns(self, event: ring.Event, host: str) -> bool:
        if not host or host == self._host_id:
            return True
        return event.fields_by_name.get("host") == host

    def _offer_in_force(self, body: bytes) -> calls.Answer:
        match self._node.offer_in_force(body):
            case result.Ok(epoch):
                return _json(msgspec.json.encode({"epoch": epoch}))
            case result.Err(reason):
                return _error(errors.ErrorKind.MALFORMED_REQUEST, reason)


def parse_event_query(query: str) -> result.Result[EventQuery, str]:
    """Reads the query string of the time line.

    Args:
      query: Pairs of ``request``, ``host``, ``event`` (name or number),
        ``since`` (stamp) and ``limit``.

    Returns:
      The query, or what is wrong with it.
    """
    values_by_name = dict(urllib.parse.parse_qsl(query))
    unknown = values_by_name.keys() - _QUERY_NAMES
    if unknown:
        return result.Err(f"unknown parameter {min(unknown)!r}")
    code = catalogue.find(values_by_name.get("event", ""))
    if isinstance(code, result.Err):
        return code
    since = values_by_name.get("since", "0")
    limit = values_by_name.get("limit", str(DEFAULT_EVENTS))
    for number in (since, limit):
        if not (number.isascii() and number.isdigit() and len(number) < 20):
            return result.Err(f"{number!r} is not a number of zero or more")
    return result.Ok(
        EventQuery(
            user_request_id=values_by_name.get("request", ""),
            host=values_by_name.get("host", ""),
            code=code.ok_value,
            since=int(since),
            limit=max(1, min(int(limit), MAX_EVENTS)),
        )
    )


_QUERY_NAMES = frozenset(("request", "host", "event", "since", "limit"))


def _json(body: bytes, *, status: int = 200) -> calls.Answer:
    return calls.Answer(
        outcome=errors.Outcome.COMPLETED,
        status=status,
        headers=[("content-type", "application/json")],
        body=body + b"\n",
    )


def _error(kind: errors.ErrorKind, detail: str = "") -> calls.Answer:
    answer = calls.error_answer(kind)
    message = detail or errors.ANSWERS_BY_KIND[kind].message
    answer.headers = [("content-type", "application/json")]
    answer.body = msgspec.json.encode({"error": kind.value, "message": message})
    return answer
