"""HTTP listeners for calls: the entry and egress faces of a node."""

import base64
import binascii
from collections.abc import Callable
import itertools
import random

import result
from twisted.internet import interfaces
from twisted.internet import task
from twisted.internet import tcp

from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.node import body_admission
from bergamotdeal.node import connection_buffers
from bergamotdeal.node import dialect as dialects
from bergamotdeal.node import http_exchange
from bergamotdeal.node import http_server
from bergamotdeal.node import startup_hold
from bergamotdeal.organisations import keys
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.utils import headers as header_names

ACCEPT_BATCHES = 3
"""Calls of ``doRead()`` at a stop; each accepts several connections."""

MAX_ID_CHARS = 128
MAX_DEADLINE_MS = 3_600_000
MAX_ATTEMPT = 65_535
MAX_PATH_CHARS = 8192
MAX_CONTEXT_CHARS = 128
MAX_RETRY_DELAY_S = 1.0
"""Longest time after which a caller returns that was refused for want of
memory. Bodies are held for about the time of a call."""

RETRY_DELAY_SHARE = 1 / 3
"""Part of the time to its deadline for which a caller waits at most."""

_OWN_PREFIX = "/v1/"
"""Start of the paths of requests for the node itself."""

_NO_ORIGIN_ID = 0
_REQUEST_ID_BYTES = 12
_MS_PER_S = 1000


class CallListener:
    """HTTP listener that turns requests into call events.

    It owns the listening port and the open exchanges of the entry or the
    egress face.

    Args:
      face: Which of the two faces it serves.
      post: Accepts events for the call engine.
      is_ready: Returns whether the node can serve calls.
      rng: Source of randomness for request ids.
      origin_ids: Source of origin ids that both listeners share.
      handle_node_request: Handles a request for the node itself, one whose
        path starts with ``/v1/``; only the egress listener has such requests.
      dialect: Headers and statuses that callers use; the node's native
        dialect by default.
      hold: Holds requests while the node starts; None refuses them at once.
      admission: Refuses requests for want of memory; None refuses none.
      buffers: Counts the bytes that the connections buffer; None counts none.
    """

    def __init__(
        self,
        *,
        face: messages.Face,
        post: Callable[[messages.Event], None],
        is_ready: Callable[[], bool],
        rng: random.Random,
        origin_ids: "itertools.count[int]",
        handle_node_request: Callable[
            [http_exchange.Exchange, http_exchange.HttpRequest], None
        ]
        | None = None,
        dialect: dialects.CallerDialect | None = None,
        hold: startup_hold.StartupHold | None = None,
        admission: body_admission.BodyAdmission | None = None,
        buffers: connection_buffers.ConnectionBuffers | None = None,
    ) -> None:
        self._face = face
        self._hold = hold
        self._dialect = dialect or NativeDialect(face=face)
        self._post = post
        self._is_ready = is_ready
        self._rng = rng
        self._origin_ids = origin_ids
        self._handle_own = handle_node_request
        self._exchanges_by_origin_id: dict[int, http_exchange.Exchange] = {}
        self._listener: interfaces.IListeningPort | None = None
        self._idle_checks = task.LoopingCall(self._enforce_idle_timeout)
        self._factory = http_server.Factory(
            handler=self._handle_request,
            build_error_headers=lambda answer: self._dialect.finalize_answer(
                answer, ""
            ),
            has_room=None if admission is None else self._has_room,
            buffers=buffers,
        )
        self._admission = admission

    @property
    def port(self) -> int:
        """TCP port that the listener is bound to."""
        return self._listener.getHost().port

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._factory.channels)

    @property
    def held_bytes(self) -> int:
        """Bytes of the bodies of requests that are received or held."""
        held_bytes = self._factory.held_bytes
        if self._hold is not None:
            held_bytes += self._hold.held_bytes
        return held_bytes

    def start(
        self, *, reactor: interfaces.IReactorTCP, address: str, port: int
    ) -> None:
        """Starts listening.

        Args:
          reactor: The reactor.
          address: IP address to bind.
          port: TCP port to bind; zero lets the kernel choose one.
        """
        self._factory.seconds = reactor.seconds
        self._listener = reactor.listenTCP(
            port, self._factory, interface=address, backlog=1024
        )
        self._idle_checks.clock = reactor
        self._idle_checks.start(http_server.IDLE_CHECK_INTERVAL_S, now=False)
        if self._hold is not None:
            self._hold.start(self._process_request)

    def apply_preset(self, preset: model.Preset) -> None:
        """Applies what the preset in force says about reading requests.

        Args:
          preset: Preset in force.
        """
        self._dialect.reads_keys = bool(preset.organisations)
        if self._face is messages.Face.ENTRY:
            self._apply_request_limits(preset.limits)

    def _apply_request_limits(self, limits: model.RequestLimits) -> None:
        self._factory.max_body_bytes = min(
            limits.body_bytes, rpc.MAX_REQUEST_BODY_BYTES
        )
        self._factory.idle_timeout_s = max(
            http_server.IDLE_TIMEOUT_S, limits.idle_timeout_ms / _MS_PER_S
        )

    def start_draining(self) -> None:
        """Closes each connection after its next response."""
        self._factory.drain_connections()

    def stop(self, reactor: interfaces.IReactorTime) -> None:
        """Stops listening; connections with a request in progress stay open.

        Args:
          reactor: The reactor.
        """
        self._factory.drain_connections()
        if self._hold is not None:
            self._hold.stop()
        if self._idle_checks.running:
            self._idle_checks.stop()
        if isinstance(self._listener, tcp.Port):
            # stopListening() closes the socket in the next iteration of the
            # reactor, right after this call.
            reactor.callLater(0, _accept_pending_connections, self._listener)
        if self._listener is not None:
            self._listener.stopListening()

    def close_idle_connections(self) -> None:
        """Closes the connections that have no request in progress."""
        self._factory.close_idle_connections()

    def send_reply(self, effect: messages.ReplyToCaller) -> bool:
        """Writes the answer to an open exchange.

        Args:
          effect: Answer with the origin id of its exchange.

        Returns:
          Whether the exchange belongs to this listener.
        """
        exchange = self._exchanges_by_origin_id.pop(effect.origin_id, None)
        if exchange is None:
            return False
        answer = effect.answer
        headers = self._dialect.finalize_answer(answer, effect.user_request_id)
        exchange.respond(answer, headers)
        return True

    def _handle_request(
        self,
        exchange: http_exchange.Exchange,
        request: http_exchange.HttpRequest,
    ) -> None:
        if request.is_refused:
            kind = errors.ErrorKind.MEMORY_EXHAUSTED
            self._refuse_request(exchange, request, kind)
            return
        if self._is_own(request):
            self._handle_own(exchange, request)
            return
        if self._hold is None or not self._hold.add(exchange, request):
            self._process_request(exchange, request)

    def _is_own(self, request: http_exchange.HttpRequest) -> bool:
        """Returns whether a request is for the node itself."""
        return self._handle_own is not None and (
            request.target.startswith(_OWN_PREFIX)
        )

    def _process_request(
        self,
        exchange: http_exchange.Exchange,
        request: http_exchange.HttpRequest,
        held_s: float = 0.0,
    ) -> None:
        origin_id = next(self._origin_ids)
        parsed = self._dialect.read_call(
            request, origin_id=origin_id, rng=self._rng
        )
        if isinstance(parsed, result.Err):
            self._refuse_request(exchange, request, parsed.err_value)
            return
        if not self._is_ready():
            self._refuse_request(exchange, request, errors.ErrorKind.NOT_READY)
            return
        self._exchanges_by_origin_id[origin_id] = exchange
        exchange.on_disconnect = lambda: self._report_caller_gone(origin_id)
        event = parsed.ok_value
        event.held_s = held_s
        self._post(event)

    def _refuse_request(
        self,
        exchange: http_exchange.Exchange,
        request: http_exchange.HttpRequest,
        kind: errors.ErrorKind,
    ) -> None:
        may_have_run = self._dialect.is_retry(request)
        answer = rpc.build_error_answer(kind, may_have_run=may_have_run)
        if kind is errors.ErrorKind.MEMORY_EXHAUSTED:
            answer.retry_after_s = self._choose_retry_delay(request)
        exchange.respond(answer, self._dialect.finalize_answer(answer, ""))

    def _has_room(
        self,
        size_bytes: int,
        build_request: Callable[[], http_exchange.HttpRequest],
    ) -> bool:
        if not self._admission.is_short(size_bytes):
            return True
        request = build_request()
        if self._is_own(request):
            # Without its announcements the server would count as silent.
            return True
        return self._admission.has_room_for_request(
            size_bytes, self._read_arrival(request)
        )

    def _read_arrival(
        self, request: http_exchange.HttpRequest
    ) -> messages.CallArrived | None:
        return self._dialect.read_call(
            request, origin_id=_NO_ORIGIN_ID, rng=self._rng
        ).unwrap_or(None)

    def _choose_retry_delay(self, request: http_exchange.HttpRequest) -> float:
        """Returns the seconds after which a refused caller may return."""
        longest_s = MAX_RETRY_DELAY_S
        arrival = self._read_arrival(request)
        if arrival is not None and arrival.deadline_ms is not None:
            left_s = arrival.deadline_ms / _MS_PER_S
            longest_s = min(longest_s, RETRY_DELAY_SHARE * left_s)
        return self._rng.uniform(longest_s / 2, longest_s)

    def _enforce_idle_timeout(self) -> None:
        self._factory.enforce_idle_timeout()

    def _report_caller_gone(self, origin_id: int) -> None:
        if self._exchanges_by_origin_id.pop(origin_id, None) is not None:
            self._post(messages.CallerDisconnected(origin_id=origin_id))


class NativeDialect:
    """Native dialect for callers, as described in docs/callers.md.

    Args:
      face: Face on which the requests arrive.
    """

    def __init__(self, *, face: messages.Face) -> None:
        self._face = face
        self.reads_keys = False

    def read_call(
        self,
        request: http_exchange.HttpRequest,
        *,
        origin_id: int,
        rng: random.Random,
    ) -> result.Result[messages.CallArrived, errors.ErrorKind]:
        """Parses a call from an HTTP request."""
        parsed = parse_call(
            request, face=self._face, origin_id=origin_id, rng=rng
        )
        if self.reads_keys and isinstance(parsed, result.Ok):
            call = parsed.ok_value
            call.key_digest = keys.extract_digest(call.request.headers)
        return parsed

    def is_retry(self, request: http_exchange.HttpRequest) -> bool:
        """Returns whether an earlier attempt of the request may have run."""
        # A malformed attempt or ticket header still indicates a retry.
        attempt = request.header(header_names.ATTEMPT)
        is_repeated = attempt not in ("", "0")
        return is_repeated or bool(request.header(header_names.TICKET))

    def finalize_answer(
        self, answer: rpc.Answer, user_request_id: str
    ) -> rpc.Headers:
        """Returns the headers that the node adds to an answer."""
        headers = http_server.build_answer_headers(answer, user_request_id)
        if answer.ticket:
            headers.append((header_names.TICKET, encode_ticket(answer.ticket)))
        return headers


def _accept_pending_connections(listener: tcp.Port) -> None:
    """Accepts the connections that the kernel has already established.

    Closing a listening socket resets the connections in its accept queue.

    Args:
      listener: Listening port.
    """
    for _ in range(ACCEPT_BATCHES):
        listener.doRead()


def parse_call(
    request: http_exchange.HttpRequest,
    *,
    face: messages.Face,
    origin_id: int,
    rng: random.Random,
) -> result.Result[messages.CallArrived, errors.ErrorKind]:
    """Parses a call from an HTTP request.

    Args:
      request: HTTP request.
      face: Face on which the request arrived.
      origin_id: Number of the exchange.
      rng: Source of randomness for request ids.

    Returns:
      The event for the call engine, or what is wrong with the request.
    """
    service, path = split_target(request.target)
    if not service or len(request.target) > MAX_PATH_CHARS:
        return result.Err(errors.ErrorKind.MALFORMED_REQUEST)
    deadline_ms = _parse_int_in_range(
        request.header(header_names.DEADLINE_MS), 1, MAX_DEADLINE_MS
    )
    attempt = _parse_int_in_range(
        request.header(header_names.ATTEMPT), 0, MAX_ATTEMPT
    )
    ticket = decode_ticket(request.header(header_names.TICKET))
    request_id = request.header(header_names.REQUEST_ID)
    key = request.header(header_names.IDEMPOTENCY_KEY)
    context = request.header(header_names.CONTEXT)
    valid = (
        deadline_ms.is_ok()
        and attempt.is_ok()
        and ticket.is_ok()
        and _is_valid_id(request_id)
        and _is_valid_id(key)
        and len(context) <= MAX_CONTEXT_CHARS
    )
    if not valid:
        return result.Err(errors.ErrorKind.HEADER_INVALID)
    is_egress = face is messages.Face.EGRESS
    return result.Ok(
        messages.CallArrived(
            origin_id=origin_id,
            face=face,
            request=rpc.Request(
                service=service,
                method=request.method,
                path=path,
                headers=header_names.select_end_to_end(request.headers),
                body=request.body,
            ),
            user_request_id=request_id or generate_request_id(rng),
            deadline_ms=deadline_ms.ok_value,
            attempt=attempt.ok_value or 0,
            ticket=ticket.ok_value,
            # A context from outside the fleet is meaningless.
            context=context if is_egress else "",
            idempotency_key=key if is_egress else "",
        )
    )


def split_target(target: str) -> tuple[str, str]:
    """Splits a request target into the service and the path below it.

    Args:
      target: Request target such as ``/kitview/kits?line=3``.

    Returns:
      The name of the service, empty if there is none, and the path.
    """
    if not target.startswith("/"):
        return "", ""
    path, separator, query = target[1:].partition("?")
    service, _, rest = path.partition("/")
    return service, "/" + rest + separator + query


def generate_request_id(rng: random.Random) -> str:
    """Returns a new random request id.

    Args:
      rng: Source of randomness.
    """
    return rng.randbytes(_REQUEST_ID_BYTES).hex()


def encode_ticket(ticket: bytes) -> str:
    """Returns the header value for a ticket.

    Args:
      ticket: Encoded ticket.
    """
    return base64.urlsafe_b64encode(ticket).decode("ascii")


def decode_ticket(value: str) -> result.Result[bytes, errors.ErrorKind]:
    """Decodes a ticket from its header value.

    Args:
      value: Header value; empty for no ticket.
    """
    try:
        return result.Ok(base64.b64decode(value, altchars=b"-_", validate=True))
    except (binascii.Error, ValueError):
        return result.Err(errors.ErrorKind.HEADER_INVALID)


def _is_valid_id(value: str) -> bool:
    return (
        len(value) <= MAX_ID_CHARS
        and value.isascii()
        and (not value or value.isprintable())
    )


def _parse_int_in_range(
    value: str, low: int, high: int
) -> result.Result[int | None, errors.ErrorKind]:
    if not value:
        return result.Ok(None)
    if not (value.isascii() and value.isdigit() and len(value) <= 10):
        return result.Err(errors.ErrorKind.HEADER_INVALID)
    number = int(value)
    if not low <= number <= high:
        return result.Err(errors.ErrorKind.HEADER_INVALID)
    return result.Ok(number)
