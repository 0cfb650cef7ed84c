"""A small HTTP/1.1 server for the listeners of a node.

``httptools`` does the parsing; an ``Exchange`` pairs a request with its
response. ``twisted.web`` is not used because its channel and request objects
cost more per request than the rest of the request path.
"""

import collections
from collections.abc import Callable

import httptools
from twisted.internet import protocol
from twisted.python import failure as twisted_failure

from bergamotdeal.errors import core as errors
from bergamotdeal.node import connection_buffers
from bergamotdeal.node import http_exchange
from bergamotdeal.node import http_message
from bergamotdeal.rpc import core as rpc
from bergamotdeal.utils import framing
from bergamotdeal.utils import headers as header_names
from bergamotdeal.utils import transport

IDLE_TIMEOUT_S = 60.0
"""Idle time after which a connection is closed; callers reuse theirs sooner."""

IDLE_CHECK_INTERVAL_S = 1.0
"""Time between checks for idle connections; the idle timeout is longer."""

STALLED_BODY_TIMEOUT_S = 5.0
"""Time without a byte after which an unfinished body gives up its memory if
there is none for others."""

MAX_PIPELINED_REQUESTS = 16
"""Requests buffered per connection; further ones stay in the socket buffer."""

_TUNNEL_METHOD = b"CONNECT"
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Channel(protocol.Protocol):
    """The server side of a connection; answers bad input with an ErrorKind."""

    factory: "Factory"

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._exchange: http_exchange.Exchange | None = None
        self._pipelined: collections.deque[http_exchange.HttpRequest] = (
            collections.deque()
        )
        self._ignores_input = False
        self._close_after_response = False
        self._is_reading_paused = False
        self._last_activity_at = 0.0
        self._held_bytes = 0
        self._reset_request()

    def _reset_request(self) -> None:
        self._target: list[bytes] = []
        self._headers: rpc.Headers = []
        self._body_parts: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._request_bytes = 0
        self._declared_bytes = 0
        self._request_held_bytes = 0
        self._is_reading_head = True
        self._is_skipping_body = False
        self._is_answered_early = False

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the response in progress."""
        return self.factory.is_draining and not self._pipelined

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or queued."""
        return self._exchange is None and not self._pipelined

    def get_idle_time_s(self, now: float) -> float:
        """Returns the time since the last activity, in seconds.

        Args:
          now: Current time in monotonic seconds.
        """
        return now - self._last_activity_at

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Disables Nagle's algorithm and starts the idle timer."""
        transport.disable_nagle(self.transport)
        self._last_activity_at = self.factory.seconds()

    def dataReceived(self, data: bytes) -> None:
        """Feeds received bytes to the parser.

        Args:
          data: Received bytes.
        """
        if self._ignores_input:
            return
        self._last_activity_at = self.factory.seconds()
        self._request_bytes += len(data)
        if self._is_reading_head:
            self._head_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._reject_unparsable()
            return
        if self._is_reading_head and self._head_bytes > rpc.MAX_HEADER_BYTES:
            self.reject_request(errors.ErrorKind.HEADERS_TOO_LARGE)
        elif not self._is_reading_head and framing.exceeds_limit(
            self._request_bytes, self._body_bytes
        ):
            self.reject_request(errors.ErrorKind.MALFORMED_REQUEST)

    def connectionLost(
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Drops queued requests and line_count the current exchange.

        Args:
          reason: Why the connection closed.
        """
        del reason
        self.factory.channels.discard(self)
        self._pipelined.clear()
        self._release(self._held_bytes)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.lost()

    def _parse(self, data: bytes) -> None:
        """Feeds the parser, which stops at a request that offers an upgrade.

        Raises:
          httptools.HttpParserError: The data is not HTTP.
        """
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                (head_bytes,) = upgrade.args
                data = self._decline_upgrade() + data[head_bytes:]
            else:
                return

    def _decline_upgrade(self) -> bytes:
        """Starts the request anew without its offer of another protocol.

        Returns:
          The head of the request without the offer, or nothing if the request
          is for a tunnel, which is rejected.
        """
        method = self._parser.get_method()
        if method == _TUNNEL_METHOD:
            self.reject_request(errors.ErrorKind.MALFORMED_REQUEST)
            return b""
        head = http_message.render_request_head(
            method,
            b"".join(self._target),
            header_names.remove_upgrade(self._headers),
        )
        head_bytes = self._head_bytes
        self._reset_request()
        self._head_bytes = head_bytes
        self._parser = httptools.HttpRequestParser(self)
        return head

    # Called by the parser.

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target.append(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header."""
        self._headers.append(
            (header_names.decode_name(name), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Checks the size of the head and the declared body length."""
        if self._parser.should_upgrade():
            # The parser stops here and the request is parsed again.
            return
        self._is_reading_head = False
        size = sum(len(name) + len(value) for name, value in self._headers)
        if size > rpc.MAX_HEADER_BYTES:
            self.reject_request(errors.ErrorKind.HEADERS_TOO_LARGE)
            return
        expects_continue = False
        for name, value in self._headers:
            if name == "content-length":
                self._declared_bytes = int(value)
            elif name == "expect" and value.lower() == "100-continue":
                expects_continue = True
        if self._declared_bytes > self.factory.max_body_bytes:
            self.reject_request(errors.ErrorKind.BODY_TOO_LARGE)
            return
        # A request without a body has an answer that may be large.
        self._take_in(self._declared_bytes)
        if expects_continue:
            self._answer_expectation()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self.factory.max_body_bytes:
            self._body_parts.clear()
            self.reject_request(errors.ErrorKind.BODY_TOO_LARGE)
            return
        if not self._declared_bytes and not self._is_skipping_body:
            self._take_in(len(body))
        if not self._is_skipping_body:
            self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Dispatches the request, or queues it behind the current one."""
        if self._ignores_input or self._parser.should_upgrade():
            return
        if self._is_answered_early:
            self._reset_request()
            if self._close_after_response:
                self._close()
            return
        request = self._build_request(b"".join(self._body_parts))
        self._reset_request()
        if self._exchange is None:
            self._dispatch_request(request)
            return
        self._pipelined.append(request)
        if (
            len(self._pipelined) >= MAX_PIPELINED_REQUESTS
            and not self._is_reading_paused
        ):
            self._is_reading_paused = True
            self.transport.pauseProducing()

    def _build_request(self, body: bytes = b"") -> http_exchange.HttpRequest:
        """Builds the request from its head and its body if that is complete."""
        target, headers = http_message.split_absolute_target(
            b"".join(self._target).decode("latin-1"), self._headers
        )
        return http_exchange.HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=target,
            headers=headers,
            body=body,
            keep_alive=self._parser.should_keep_alive(),
            is_refused=self._is_skipping_body,
        )

    # Memory for the body.

    def _take_in(self, size_bytes: int) -> None:
        """Holds memory for the body or a part of it, or refuses the request."""
        if self._ignores_input:
            return
        if self.factory.has_room(size_bytes, self._build_request):
            self._request_held_bytes += size_bytes
            self._held_bytes += size_bytes
            self.factory.held_bytes += size_bytes
        else:
            self._refuse_body()

    def refuse_stalled_body(self, now: float) -> None:
        """Refuses a request whose client has stopped sending the body.

        It would hold its memory until the connection is closed as idle. Where
        there is memory for others, the request may wait.

        Args:
          now: Current time in monotonic seconds.
        """
        is_reading_body = not (self._is_reading_head or self._is_skipping_body)
        if (
            is_reading_body
            and self.get_idle_time_s(now) > STALLED_BODY_TIMEOUT_S
            and not self.factory.has_room(0, self._build_request)
        ):
            self._refuse_body()

    def _refuse_body(self) -> None:
        # The client may go on sending; closing the connection before it ends
        # would reset it and could destroy the answer.
        self._is_skipping_body = True
        self._release(self._request_held_bytes)
        self._body_parts.clear()
        if self._exchange is None:
            self._is_answered_early = True
            self._dispatch_request(self._build_request())

    def _release(self, size_bytes: int) -> None:
        self._held_bytes -= size_bytes
        self.factory.held_bytes -= size_bytes

    def _answer_expectation(self) -> None:
        if self._is_answered_early:
            # The client won't send the body.
            self._close()
        elif not self._ignores_input and self._exchange is None:
            self.transport.write(_CONTINUE_RESPONSE)

    def _close(self) -> None:
        self._ignores_input = True
        self.transport.loseConnection()

    # Called by the exchange and the factory.

    def send_response(self, data: bytes, *, close: bool) -> None:
        """Writes the response to the current request.

        Args:
          data: Rendered response.
          close: Whether to close the connection afterwards.
        """
        self._exchange = None
        self._last_activity_at = self.factory.seconds()
        transport.write_now(self.transport, data)
        if self.factory.buffers is not None:
            self.factory.buffers.watch_output(self.transport)
        if self._is_answered_early:
            self._close_after_response |= close
        elif self._pipelined and not close:
            self._dispatch_request(self._pipelined.popleft())
        elif close or self._close_after_response:
            self._pipelined.clear()
            self._close()
        elif self._is_reading_paused:
            self._is_reading_paused = False
            self.transport.resumeProducing()

    def reject_request(self, kind: errors.ErrorKind) -> None:
        """Responds to an invalid request and closes the connection.

        Args:
          kind: What is wrong with the request.
        """
        if self._ignores_input:
            return
        if self._is_answered_early:
            self._close()
            return
        self._ignores_input = True
        if self._exchange is not None:
            # An earlier valid request is still in progress; its response is
            # the last one on this connection.
            self._close_after_response = True
            return
        answer = rpc.build_error_answer(kind)
        headers = self.factory.build_error_headers(answer)
        self.transport.write(
            http_message.render_response(answer, headers, close=True)
        )
        self.transport.loseConnection()

    def _dispatch_request(self, request: http_exchange.HttpRequest) -> None:
        self._release(len(request.body))
        exchange = http_exchange.Exchange(
            channel=self,
            method=request.method,
            keep_alive=request.keep_alive and not self._close_after_response,
        )
        self._exchange = exchange
        self.factory.handler(exchange, request)

    def _reject_unparsable(self) -> None:
        is_head_too_long = (
            self._is_reading_head and self._head_bytes > rpc.MAX_HEADER_BYTES
        )
        self.reject_request(
            errors.ErrorKind.HEADERS_TOO_LARGE
            if is_head_too_long
            else errors.ErrorKind.MALFORMED_REQUEST
        )


class Factory(protocol.Factory):
    """Factory of the channels of one listener.

    Attributes:
      handler: Called with each exchange and its request.
      seconds: Returns the current time in monotonic seconds.
      build_error_headers: Returns the headers that the node adds to the
        answer to a request that can't be parsed.
      max_body_bytes: Maximum size of a request body in bytes.
      idle_timeout_s: Idle time in seconds after which a connection is closed.
      channels: Open connections.
      is_draining: Whether connections close when all requests are answered.
      has_room: Returns whether there is memory for a number of bytes of a
        request; the second argument builds it without its body.
      held_bytes: Bytes of the bodies that are being received or queued.
      buffers: Counts the bytes that the connections buffer; None counts none.

    Args:
      handler: See the attribute.
      seconds: See the attribute; without it the clock stands at zero.
      build_error_headers: See the attribute; without it the node's native
        headers are used.
      has_room: See the attribute; without it there always is.
      buffers: See the attribute.
    """

    noisy = False

    def __init__(
        self,
        *,
        handler: Callable[
            [http_exchange.Exchange, http_exchange.HttpRequest], None
        ],
        seconds: Callable[[], float] | None = None,
        build_error_headers: Callable[[rpc.Answer], rpc.Headers] | None = None,
        has_room: Callable[[int, Callable[[], http_exchange.HttpRequest]], bool]
        | None = None,
        buffers: connection_buffers.ConnectionBuffers | None = None,
    ) -> None:
        self.handler = handler
        self.has_room = has_room or _has_always_room
        self.held_bytes = 0
        self.buffers = buffers
        self.seconds = seconds or _get_zero_seconds
        self.build_error_headers = build_error_headers or _build_native_headers
        self.max_body_bytes = rpc.MAX_BODY_BYTES
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.channels: set[Channel] = set()
        self.is_draining = False

    def drain_connections(self) -> None:
        """Closes each connection when all that was read is answered."""
        self.is_draining = True

    def close_idle_connections(self) -> None:
        """Closes the connections that have no request in progress."""
        for channel in list(self.channels):
            if channel.is_idle:
                channel.transport.loseConnection()

    def enforce_idle_timeout(self) -> None:
        """Closes connections that are idle for long; refuses stalled bodies."""
        now = self.seconds()
        for channel in list(self.channels):
            if (
                channel.is_idle
                and channel.get_idle_time_s(now) > self.idle_timeout_s
            ):
                channel.transport.loseConnection()
            else:
                channel.refuse_stalled_body(now)

    def buildProtocol(self, addr) -> Channel:
        """Returns the channel of a new connection.

        Args:
          addr: Address of the client.
        """
        del addr
        channel = Channel()
        channel.factory = self
        self.channels.add(channel)
        return channel


def build_answer_headers(
    answer: rpc.Answer, user_request_id: str
) -> rpc.Headers:
    """Returns the ``bergamot-`` headers and ``Retry-After`` of an answer.

    Args:
      answer: Answer to describe.
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


def _build_native_headers(answer: rpc.Answer) -> rpc.Headers:
    return build_answer_headers(answer, "")


def _has_always_room(
    size_bytes: int, build_request: Callable[[], http_exchange.HttpRequest]
) -> bool:
    del size_bytes, build_request
    return True


def _get_zero_seconds() -> float:
    return 0.0
