"""HTTP and JSON interface for the operators of a node."""

from collections.abc import Callable
import hmac
import traceback
from typing import Protocol
import urllib.parse

import msgspec
import result
from twisted.internet import interfaces

from bergamotdeal.errors import core as errors
from bergamotdeal.node import http_exchange
from bergamotdeal.node import http_server
from bergamotdeal.node import status as node_status
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records
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
    """Node as the admin listener sees it."""

    def status(self, *, with_members: bool) -> node_status.NodeStatus:
        """Returns the current status.

        Args:
          with_members: Whether to include the members of the fleet.
        """

    def start_drain(self) -> None:
        """Starts a graceful shutdown; a second call changes nothing."""

    def offer_in_force(self, data: bytes) -> result.Result[int, str]:
        """Accepts the in-force object that an operator submits.

        Args:
          data: Encoded content of the object.

        Returns:
          The epoch that is now in force on this node, or why the content is
          rejected.
        """


class EventQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Filter for the events of the time line.

    Attributes:
      user_request_id: Request that the events belong to; empty for any.
      host: Host that recorded the events or that they concern; empty for any.
      code: Code of the events, or None for any.
      since: Lowest stamp of the events.
      limit: Maximum number of events; the newest are returned.
    """

    user_request_id: str = ""
    host: str = ""
    code: catalogue.EventCode | None = None
    since: int = 0
    limit: int = DEFAULT_EVENTS


class AdminListener:
    """HTTP listener for operators' requests.

    Args:
      node: Node to report on and to control.
      host_id: Host of the node.
      events: Recent events of the node.
      token: Bearer token that each request must carry; empty for none.
      record: Records an event on the time line.
    """

    def __init__(
        self,
        *,
        node: Node,
        host_id: str,
        events: ring.EventRing,
        token: str,
        record: Callable[[records.EventRecord], None],
    ):
        self._node = node
        self._host_id = host_id
        self._events = events
        self._token = token
        self._record = record
        self._listener: interfaces.IListeningPort | None = None

    @property
    def port(self) -> int:
        """TCP port that the listener is bound to."""
        return self._listener.getHost().port

    def build_factory(self) -> http_server.Factory:
        """Returns the factory of the listener's connections."""
        return http_server.Factory(handler=self._handle_request)

    def start(
        self, *, reactor: interfaces.IReactorTCP, address: str, port: int
    ) -> None:
        """Starts listening.

        Args:
          reactor: The reactor.
          address: IP address to bind.
          port: TCP port to bind; zero lets the kernel choose one.
        """
        self._listener = reactor.listenTCP(
            port, self.build_factory(), interface=address
        )

    def stop(self) -> None:
        """Stops listening; open connections stay open."""
        if self._listener is not None:
            self._listener.stopListening()

    def _handle_request(
        self,
        exchange: http_exchange.Exchange,
        request: http_exchange.HttpRequest,
    ) -> None:
        try:
            answer = self._route_request(request)
        except Exception:
            self._record(
                records.EventRecord(
                    code=catalogue.EventCode.CALL_FAILED_INTERNALLY,
                    fields={"trace": traceback.format_exc()},
                )
            )
            answer = _build_error_answer(errors.ErrorKind.INTERNAL)
        exchange.respond(answer, http_server.build_answer_headers(answer, ""))

    def _route_request(self, request: http_exchange.HttpRequest) -> rpc.Answer:
        if not self._is_authorized(request):
            return _build_error_answer(errors.ErrorKind.UNAUTHORIZED)
        path, _, query = request.target.partition("?")
        match request.method, path:
            case "GET", str() if path == STATUS_PATH:
                return self._answer_status(query)
            case "GET", str() if path == TIMELINE_PATH:
                return self._answer_timeline(query)
            case "GET", str() if path == METRICS_PATH:
                status = self._node.status(with_members=False)
                return _build_json_answer(
                    msgspec.json.encode(status.counters_by_name)
                )
            case "POST", str() if path == DRAIN_PATH:
                self._node.start_drain()
                return _build_json_answer(b'{"draining":true}', status=202)
            case "PUT", str() if path == IN_FORCE_PATH:
                return self._answer_offer_in_force(request.body)
        return _build_error_answer(
            errors.ErrorKind.NOT_FOUND, "No such path or method."
        )

    def _is_authorized(self, request: http_exchange.HttpRequest) -> bool:
        # Browsers send Origin; a web page must not reach a listener on the
        # loopback address.
        if request.header("origin"):
            return False
        if not self._token:
            return True
        expected = f"Bearer {self._token}".encode()
        received = request.header("authorization").encode("latin-1")
        return hmac.compare_digest(expected, received)

    def _answer_status(self, query: str) -> rpc.Answer:
        values_by_name = dict(urllib.parse.parse_qsl(query))
        with_members = values_by_name.get("members") != "no"
        status = self._node.status(with_members=with_members)
        return _build_json_answer(node_status.encode(status))

    def _answer_timeline(self, query: str) -> rpc.Answer:
        parsed = parse_event_query(query)
        if isinstance(parsed, result.Err):
            return _build_error_answer(
                errors.ErrorKind.MALFORMED_REQUEST, parsed.err_value
            )
        event_query = parsed.ok_value
        events = self._events.select(
            user_request_id=event_query.user_request_id,
            code=event_query.code,
            since=event_query.since,
        )
        entries = [
            timeline.build_entry(event, host=self._host_id)
            for event in events
            if self._matches_host(event, event_query.host)
        ]
        return rpc.Answer(
            outcome=errors.Outcome.COMPLETED,
            headers=[("content-type", "application/x-ndjson")],
            body=timeline.encode(entries[-event_query.limit :]),
        )

    def _matches_host(self, event: ring.Event, host: str) -> bool:
        if not host or host == self._host_id:
            return True
        return event.fields_by_name.get("host") == host

    def _answer_offer_in_force(self, body: bytes) -> rpc.Answer:
        match self._node.offer_in_force(body):
            case result.Ok(epoch):
                return _build_json_answer(msgspec.json.encode({"epoch": epoch}))
            case result.Err(reason):
                return _build_error_answer(
                    errors.ErrorKind.MALFORMED_REQUEST, reason
                )


def parse_event_query(query: str) -> result.Result[EventQuery, str]:
    """Parses the query string of the time line.

    Args:
      query: Pairs of ``request``, ``host``, ``event`` (name or number),
        ``since`` (stamp) and ``limit``.

    Returns:
      The query, or what is wrong with it.
    """
    values_by_name = dict(urllib.parse.parse_qsl(query))
    unknown_names = values_by_name.keys() - _QUERY_PARAMETERS
    if unknown_names:
        return result.Err(f"unknown parameter {min(unknown_names)!r}")
    code = catalogue.find_event_code(values_by_name.get("event", ""))
    if isinstance(code, result.Err):
        return code
    since = values_by_name.get("since", "0")
    limit = values_by_name.get("limit", str(DEFAULT_EVENTS))
    for number in (since, limit):
        if not (number.isascii() and number.isdigit() and len(number) < 20):
            return result.Err(
                f"{number!r} is not a number of zero or more, up to 19 digits"
            )
    return result.Ok(
        EventQuery(
            user_request_id=values_by_name.get("request", ""),
            host=values_by_name.get("host", ""),
            code=code.ok_value,
            since=int(since),
            limit=max(1, min(int(limit), MAX_EVENTS)),
        )
    )


_QUERY_PARAMETERS = frozenset(("request", "host", "event", "since", "limit"))


def _build_json_answer(body: bytes, *, status: int = 200) -> rpc.Answer:
    return rpc.Answer(
        outcome=errors.Outcome.COMPLETED,
        status=status,
        headers=[("content-type", "application/json")],
        body=body + b"\n",
    )


def _build_error_answer(kind: errors.ErrorKind, detail: str = "") -> rpc.Answer:
    answer = rpc.build_error_answer(kind)
    message = detail or errors.ANSWERS_BY_KIND[kind].message
    answer.headers = [("content-type", "application/json")]
    answer.body = msgspec.json.encode({"error": kind.value, "message": message})
    return answer
