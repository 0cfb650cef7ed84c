"""Pool of HTTP/1.1 connections that sends each request at most once.

``twisted.web.client`` is not used: it may resend a request by itself, and its
import lengthens the start of a node.
"""

from collections.abc import Mapping

import httptools
import msgspec
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure as twisted_failure

from bergamotdeal.utils import headers as header_names
from bergamotdeal.utils import transport

MAX_IDLE_CONNECTIONS = 2
"""Idle connections that are kept for each server."""

MAX_HEAD_BYTES = 64 * 1024
"""Bytes of a response that may precede its body."""

_FINAL_STATUS_MIN = 200


class InvalidResponseError(Exception):
    """The server sent bytes that are not a response of accepted size."""


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP request.

    Attributes:
      address: IP address of the server.
      port: TCP port of the server.
      method: HTTP method.
      target: Path and query string.
      headers_by_name: Headers other than ``Host`` and ``Content-Length``.
      body: Body of the request.
    """

    address: str
    port: int
    method: str
    target: str
    headers_by_name: Mapping[str, str]
    body: bytes = b""


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """A complete HTTP response.

    Attributes:
      status: HTTP status code.
      headers_by_name: First value of each header, by its lower-case name.
      body: Complete body.
    """

    status: int
    headers_by_name: dict[str, str]
    body: bytes


class _Exchange:
    """A request in progress and its connection, once there is one."""

    def __init__(self, *, data: bytes) -> None:
        self.data = data
        self.connection: _Connection | None = None
        self.connector: interfaces.IConnector | None = None
        self.response: defer.Deferred[Response] = defer.Deferred(self._cancel)
        self._is_cancelled = False

    def _cancel(self, response: defer.Deferred) -> None:
        del response
        self._is_cancelled = True
        if self.connection is not None:
            self.connection.transport.abortConnection()
        elif self.connector is not None:
            self.connector.stopConnecting()

    def succeed(self, response: Response) -> None:
        """Completes the request unless it was cancelled."""
        if not self._is_cancelled:
            self.response.callback(response)

    def fail(self, reason: twisted_failure.Failure | Exception) -> None:
        """Fails the request unless it was cancelled."""
        if not self._is_cancelled:
            self.response.errback(reason)


class _Connection(protocol.Protocol):
    """A connection that carries one exchange at a time."""

    def __init__(self, *, pool: "ConnectionPool", exchange: _Exchange) -> None:
        self.closed: defer.Deferred[None] = defer.Deferred()
        self._pool = pool
        self._exchange: _Exchange | None = exchange

    # Called by Twisted.

    def connectionMade(self) -> None:  # noqa: N802
        transport.enable_dead_peer_detection(self.transport)
        self.start(self._exchange)

    def start(self, exchange: _Exchange) -> None:
        """Sends the request of an exchange on the idle connection."""
        self._exchange = exchange
        exchange.connection = self
        self._parser = httptools.HttpResponseParser(self)
        self._is_complete = False
        self._can_be_reused = False
        self._reset_response()
        self.transport.write(exchange.data)

    def _reset_response(self) -> None:
        self._headers_by_name: dict[str, str] = {}
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._received_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._exchange is None:
            # Bytes that answer no request must not answer the next one.
            self.transport.abortConnection()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._is_complete:
                self._fail("malformed response")
                return
            self._can_be_reused = False
        if self._is_complete:
            self._finish()
        elif self._received_bytes - self._body_bytes > MAX_HEAD_BYTES:
            self._fail("response without an end of its head")

    def connectionLost(  # noqa: N802
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        self._pool.forget(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            # An orderly close, too, ends the response before it is complete.
            exchange.fail(error.ConnectionLost(reason.getErrorMessage()))
        self.closed.callback(None)

    # Called by the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers_by_name.setdefault(
            header_names.decode_name(name), value.decode("latin-1")
        )

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self._pool.max_response_bytes:
            raise InvalidResponseError("body too large")
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < _FINAL_STATUS_MIN:
            self._reset_response()
            return
        if self._is_complete:
            raise InvalidResponseError("second response")
        self._is_complete = True
        # The parser resets this value once the message is complete.
        self._can_be_reused = self._parser.should_keep_alive()

    def _finish(self) -> None:
        exchange, self._exchange = self._exchange, None
        response = Response(
            status=self._parser.get_status_code(),
            headers_by_name=self._headers_by_name,
            body=b"".join(self._body_parts),
        )
        if self._can_be_reused:
            self._pool.keep(self)
        else:
            self.transport.loseConnection()
        exchange.succeed(response)

    def _fail(self, reason: str) -> None:
        exchange, self._exchange = self._exchange, None
        self.transport.abortConnection()
        exchange.fail(InvalidResponseError(reason))


class _ConnectionFactory(protocol.ClientFactory):
    """A factory of the connection of one exchange."""

    noisy = False

    def __init__(self, *, pool: "ConnectionPool", exchange: _Exchange) -> None:
        self._pool = pool
        self._exchange = exchange

    def buildProtocol(self, addr) -> _Connection:  # noqa: N802
        connection = _Connection(pool=self._pool, exchange=self._exchange)
        self._pool.add(connection, (addr.host, addr.port))
        return connection

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        del connector
        self._exchange.fail(reason)


class ConnectionPool:
    """A pool of persistent connections to servers with fixed addresses.

    Args:
      reactor: Twisted's reactor.
      connect_timeout_s: Timeout for a new connection, in seconds.
      max_response_bytes: Maximum size of the body of a response.

    Attributes:
      max_response_bytes: Maximum size of the body of a response.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        connect_timeout_s: float,
        max_response_bytes: int,
    ) -> None:
        self.max_response_bytes = max_response_bytes
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._endpoints_by_connection: dict[_Connection, tuple[str, int]] = {}
        self._idle_by_endpoint: dict[tuple[str, int], list[_Connection]] = {}

    def send(self, request: Request) -> "defer.Deferred[Response]":
        """Sends a request on an idle connection or on a new one.

        Args:
          request: The request.

        Returns:
          A Deferred that fires with the complete response and fails if the
          connection ends before. Cancelling it closes the connection.
        """
        exchange = _Exchange(data=_render(request))
        endpoint = (request.address, request.port)
        idle = self._idle_by_endpoint.get(endpoint)
        if idle:
            idle.pop().start(exchange)
        else:
            exchange.connector = self._reactor.connectTCP(
                *endpoint,
                _ConnectionFactory(pool=self, exchange=exchange),
                timeout=self._connect_timeout_s,
            )
        return exchange.response

    def close(self) -> defer.Deferred:
        """Closes the idle connections and waits until they are closed."""
        closing = [
            connection
            for idle in self._idle_by_endpoint.values()
            for connection in idle
        ]
        self._idle_by_endpoint.clear()
        for connection in closing:
            connection.transport.loseConnection()
        return defer.gatherResults(each.closed for each in closing)

    def add(self, connection: _Connection, endpoint: tuple[str, int]) -> None:
        """Registers a new connection."""
        self._endpoints_by_connection[connection] = endpoint

    def keep(self, connection: _Connection) -> None:
        """Keeps an idle connection for later requests."""
        endpoint = self._endpoints_by_connection[connection]
        idle = self._idle_by_endpoint.setdefault(endpoint, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.transport.loseConnection()
        else:
            idle.append(connection)

    def forget(self, connection: _Connection) -> None:
        """Removes a closed connection."""
        endpoint = self._endpoints_by_connection.pop(connection, None)
        idle = self._idle_by_endpoint.get(endpoint, [])
        if connection in idle:
            idle.remove(connection)


def _render(request: Request) -> bytes:
    """Returns a request as sent on the wire."""
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"host: {request.address}:{request.port}",
    ]
    if request.body or request.method != "GET":
        lines.append(f"content-length: {len(request.body)}")
    lines += [
        f"{name}: {value}" for name, value in request.headers_by_name.items()
    ]
    head = "".join(f"{line}\r\n" for line in lines)
    return head.encode("latin-1") + b"\r\n" + request.body
