"""A small HTTP/1.1 server for the faces of a node.

``httptools`` parses, and an ``Exchange`` is one request with its response.
``twisted.web``'s channel and request objects cost more per request than the
rest of the path.
"""

import collections
from collections.abc import Callable
import dataclasses
import http

import httptools
from twisted.internet import protocol
from twisted.python import failure as twisted_failure

from bergamotdeal.calls import core as calls
from bergamotdeal.errors import core as errors
from bergamotdeal.utils import headers as header_names
from bergamotdeal.utils import transport

IDLE_TIMEOUT_S = 60.0
"""Silence after which a connection is closed; callers reuse theirs sooner."""

IDLE_CHECK_INTERVAL_S = 1.0
"""Time between two looks for silent connections; their timeout is longer."""

MAX_PIPELINED = 16
"""Requests read ahead on one connection; more wait in the socket."""

_REASONS_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_BODYLESS_STATUSES = frozenset({204, 304})
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclasses.dataclass(kw_only=True, slots=True)
class HttpRequest:
    """A complete request as it arrived.

    Attributes:
      method: HTTP method.
      target: Path with query.
      headers: Names in lower case with their values.
      body: The complete body.
      keep_alive: Whether the caller may send more on the connection.
    """

    method: str
    target: str
    headers: calls.Headers
    body: bytes
    keep_alive: bool = True

    def header(self, name: str, default: str = "") -> str:
        """Returns the first value of a header.

        Args:
          name: Name in lower case.
          default: Value when the header is missing.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default


class Exchange:
    """One request and its response on a channel.

    Attributes:
      on_disconnect: Called when the caller leaves before the response.

    Args:
      channel: The connection.
      method: HTTP method of the request.
      keep_alive: Whether the connection stays open afterwards.
    """

    __slots__ = (
        "_channel",
        "_keep_alive",
        "_method",
        "_responded",
        "on_disconnect",
    )

    def __init__(
        self, *, channel: "Channel", method: str, keep_alive: bool
    ) -> None:
        self.on_disconnect: Callable[[], None] | None = None
        self._channel = channel
        self._method = method
        self._keep_alive = keep_alive
        self._responded = False

    def respond(self, answer: calls.Answer, headers: calls.Headers) -> None:
        """Writes the response; later calls do nothing.

        Args:
          answer: Status, end-to-end headers and body.
          headers: The system's own headers.
        """
        if self._responded:
            return
        self._responded = True
        channel = self._channel
        close = channel.factory.closing or not self._keep_alive
        data = render(
            answer, headers, close=close, is_head=self._method == "HEAD"
        )
        channel.response_ready(data, close=close)

    def lost(self) -> None:
        """Tells the face that the caller disconnected."""
        if self._responded:
            return
        self._responded = True
        if self.on_disconnect is not None:
            self.on_disconnect()


class Channel(protocol.Protocol):
    """A server connection that answers bad input from the closed list."""

    factory: "Factory"

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._exchange: Exchange | None = None
        self._ready: collections.deque[HttpRequest] = collections.deque()
        self._rejected = False
        self._closing = False
        self._reading_paused = False
        self._last_active = 0.0
        self._begin_request()

    def _begin_request(self) -> None:
        self._target: list[bytes] = []
        self._headers: calls.Headers = []
        self._chunks: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._in_head = True

    @property
    def is_idle(self) -> bool:
        """Whether no request is in hand or on its way in."""
        return self._exchange is None and not self._ready

    def idle_for(self, now: float) -> float:
        """Returns the seconds since anything happened on the connection.

        Args:
          now: Monotonic seconds.
        """
        return now - self._last_active

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Starts the connection's idle time."""
        transport.send_small_writes_at_once(self.transport)
        self._last_active = self.factory.seconds()

    def dataReceived(self, data: bytes) -> None:
        """Parses what arrived.

        Args:
          data: The next bytes.
        """
        if self._rejected:
            return
        self._last_active = self.factory.seconds()
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken here; the request itself is whole.
            self._closing = True
        except httptools.HttpParserError:
            self._reject_unparsed()
            return
        if self._in_head and self._head_bytes > calls.MAX_HEADER_BYTES:
            self.reject(errors.ErrorKind.HEADERS_TOO_LARGE)

    def connectionLost(
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Forgets the connection.

        Args:
          reason: Why it closed.
        """
        del reason
        self.factory.channels.discard(self)
        self._ready.clear()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.lost()

    # Called by the parser.

    def on_url(self, url: bytes) -> None:
        """Keeps a part of the request target."""
        self._target.append(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        self._headers.append(
            (header_names.decode_name(name), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Checks the size of the head and the announced body."""
        self._in_head = False
        size = sum(len(name) + len(value) for name, value in self._headers)
        if size > calls.MAX_HEADER_BYTES:
            self.reject(errors.ErrorKind.HEADERS_TOO_LARGE)
            return
        for name, value in self._headers:
            if name == "content-length" and int(value) > (
                self.factory.max_body_bytes
            ):
                self.reject(errors.ErrorKind.BODY_TOO_LARGE)
            elif name == "expect" and value.lower() == "100-continue":
                self._continue()

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self.factory.max_body_bytes:
            self._chunks.clear()
            self.reject(errors.ErrorKind.BODY_TOO_LARGE)
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Takes up a complete request, or lets it wait for its turn."""
        if self._rejected:
            return
        request = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=b"".join(self._target).decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._chunks),
            keep_alive=self._parser.should_keep_alive(),
        )
        self._begin_request()
        if self._exchange is None:
            self._handle(request)
            return
        self._ready.append(request)
        if len(self._ready) >= MAX_PIPELINED and not self._reading_paused:
            self._reading_paused = True
            self.transport.pauseProducing()

    # Called by the exchange and the factory.

    def response_ready(self, data: bytes, *, close: bool) -> None:
        """Writes the response of the request in hand.

        Args:
          data: The rendered response.
          close: Whether the connection ends with it.
        """
        self._exchange = None
        self._last_active = self.factory.seconds()
        transport.write_now(self.transport, data)
        if self._ready and not close:
            self._handle(self._ready.popleft())
        elif close or self._closing:
            self._ready.clear()
            self._rejected = True
            self.transport.loseConnection()
        elif self._reading_paused:
            self._reading_paused = False
            self.transport.resumeProducing()

    def reject(self, kind: errors.ErrorKind) -> None:
        """Answers an unusable request and closes the connection.

        Args:
          kind: What is wrong with the request.
        """
        if self._rejected:
            return
        self._rejected = True
        if self._exchange is not None:
            # The requests before it were whole; theirs is the last answer.
            self._closing = True
            return
        answer = calls.error_answer(kind)
        headers = self.factory.build_error_headers(answer)
        self.transport.write(render(answer, headers, close=True))
        self.transport.loseConnection()

    def _handle(self, request: HttpRequest) -> None:
        exchange = Exchange(
            channel=self,
            method=request.method,
            keep_alive=request.keep_alive and not self._closing,
        )
        self._exchange = exchange
        self.factory.handler(exchange, request)

    def _continue(self) -> None:
        if not self._rejected and self._exchange is None:
            self.transport.write(_CONTINUE)

    def _reject_unparsed(self) -> None:
        too_long = self._in_head and self._head_bytes > calls.MAX_HEADER_BYTES
        self.reject(
            errors.ErrorKind.HEADERS_TOO_LARGE
            if too_long
            else errors.ErrorKind.MALFORMED_REQUEST
        )


class Factory(protocol.Factory):
    """Builds a channel for each connection of a face.

    Attributes:
      handler: Called with each exchange and its request.
      seconds: Returns monotonic seconds.
      build_error_headers: Returns the system's own headers for an answer to a
        request that can't be read.
      max_body_bytes: Longest body that is read.
      idle_timeout_s: Silence after which a connection is closed.
      channels: The open connections.
      closing: Whether connections close after the response in hand.
    """

    noisy = False

    def __init__(
        self,
        *,
        handler: Callable[[Exchange, HttpRequest], None],
        seconds: Callable[[], float] | None = None,
        build_error_headers: Callable[[calls.Answer], calls.Headers]
        | None = None,
    ) -> None:
        self.handler = handler
        self.seconds = seconds or _no_time
        self.build_error_headers = build_error_headers or _native_headers
        self.max_body_bytes = calls.MAX_BODY_BYTES
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.channels: set[Channel] = set()
        self.closing = False

    def drain_connections(self) -> None:
        """Closes each connection after its next response."""
        self.closing = True

    def close_idle_connections(self) -> None:
        """Closes the connections that have no request in hand."""
        for channel in list(self.channels):
            if channel.is_idle:
                channel.transport.loseConnection()

    def enforce_idle_timeout(self) -> None:
        """Closes idle connections on which nothing came for too long."""
        now = self.seconds()
        for channel in list(self.channels):
            if channel.is_idle and channel.idle_for(now) > self.idle_timeout_s:
                channel.transport.loseConnection()

    def buildProtocol(self, addr) -> Channel:
        """Returns the channel of a new connection.

        Args:
          addr: Address of the other end.
        """
        del addr
        channel = Channel()
        channel.factory = self
        self.channels.add(channel)
        return channel


def build_answer_headers(
    answer: calls.Answer, user_request_id: str
) -> calls.Headers:
    """Returns the system's own headers for an answer.

    Args:
      answer: The answer.
      user_request_id: Id of the user request, or empty.
    """
    headers = [(header_names.OUTCOME, answer.outcome.value)]
    if user_request_id:
        headers.append((header_names.REQUEST_ID, user_request_id))
    if answer.error is not None:
        headers.append((header_names.ERROR, answer.error.value))
    if answer.retry_after_s is not None:
        headers.append((header_names.RETRY_AFTER, f"{answer.retry_after_s:g}"))
    return headers


def render(
    answer: calls.Answer,
    headers: calls.Headers,
    *,
    close: bool,
    is_head: bool = False,
) -> bytes:
    """Renders a response as one string of bytes.

    Args:
      answer: Status, end-to-end headers and body.
      headers: The system's own headers.
      close: Whether the connection closes after the response.
      is_head: Whether the request's method was HEAD.

    Returns:
      The bytes of the response.
    """
    reason = _REASONS_BY_STATUS.get(answer.status, b"Unknown")
    lines = [f"{name}: {value}" for name, value in answer.headers]
    lines += [f"{name}: {value}" for name, value in headers]
    if close:
        lines.append("connection: close")
    has_body = answer.status not in _BODYLESS_STATUSES and not is_head
    if has_body:
        lines.append(f"content-length: {len(answer.body)}")
    head = without_breaks(lines).encode("latin-1", "replace")
    return b"HTTP/1.1 %d %s\r\n%s\r\n%s" % (
        answer.status,
        reason,
        head,
        answer.body if has_body else b"",
    )


_NO_LINE_BREAKS = {ord("\r"): None, ord("\n"): None, 0: None}


def without_breaks(lines: list[str]) -> str:
    """Joins header lines; a break inside one would forge another line.

    Args:
      lines: Lines of a head, without their ends.
    """
    joined = "".join([f"{line}\r\n" for line in lines])
    ends = len(lines)
    if joined.count("\n") == ends == joined.count("\r") and "\0" not in joined:
        return joined
    return "".join(f"{line.translate(_NO_LINE_BREAKS)}\r\n" for line in lines)


def _native_headers(answer: calls.Answer) -> calls.Headers:
    return build_answer_headers(answer, "")


def _no_time() -> float:
    return 0.0
