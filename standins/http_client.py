"""HTTP client with a connection pool that never retries a request."""

import dataclasses

import httptools
from twisted.internet import defer
from twisted.internet import protocol


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
      status: HTTP status code.
      headers_by_name: Last value of each header, by lower-case name.
      body: Complete body.
    """

    status: int
    headers_by_name: dict[str, str]
    body: bytes


class RequestError(Exception):
    """The connection failed before a complete response arrived."""


class _Connection(protocol.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, *, pool: "Client") -> None:
        self._pool = pool
        self._done: defer.Deferred[Response] | None = None
        self._complete = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def send(self, data: bytes, done: "defer.Deferred[Response]") -> None:
        self._done = done
        self._complete = False
        self._headers_by_name: dict[str, str] = {}
        self._chunks: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        if self._done is None:
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()
            return
        if self._complete:
            self._finish()

    def connectionLost(self, reason=protocol.connectionDone) -> None:
        self._pool.closed(self)
        done, self._done = self._done, None
        if done is not None and not done.called:
            done.errback(RequestError(reason.getErrorMessage()))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers_by_name[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        self._complete = True
        # The parser resets this value once the message is complete.
        self._keep_alive = self._parser.should_keep_alive()

    def _finish(self) -> None:
        done, self._done = self._done, None
        response = Response(
            status=self._parser.get_status_code(),
            headers_by_name=self._headers_by_name,
            body=b"".join(self._chunks),
        )
        if self._keep_alive:
            self._pool.release(self)
        else:
            self.transport.loseConnection()
        if not done.called:
            done.callback(response)


class _ConnectionFactory(protocol.ClientFactory):
    """A factory of the connection that carries a given request."""

    noisy = False

    def __init__(self, *, client: "Client", data: bytes, done) -> None:
        self._client = client
        self._data = data
        self._done = done

    def buildProtocol(self, addr) -> _Connection:
        connection = _Connection(pool=self._client)
        made = connection.connectionMade

        def connection_made() -> None:
            made()
            connection.send(self._data, self._done)

        connection.connectionMade = connection_made
        self._client.assign(connection, self._done)
        return connection

    def clientConnectionFailed(self, connector, reason) -> None:
        if not self._done.called:
            self._done.errback(RequestError(reason.getErrorMessage()))


class Client:
    """An HTTP client of one server with a pool of connections.

    Args:
      reactor: Twisted reactor.
      address: IP address of the server.
      port: TCP port of the server.
    """

    def __init__(self, *, reactor, address: str, port: int) -> None:
        self._reactor = reactor
        self._address = address
        self._port = port
        self._idle_connections: list[_Connection] = []

    def request(
        self,
        method: str,
        target: str,
        *,
        headers_by_name: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 30.0,
    ) -> "defer.Deferred[Response]":
        """Sends one request.

        Args:
          method: HTTP method.
          target: Path and query.
          headers_by_name: Additional headers.
          body: Request body.
          timeout_s: Time in seconds after which the request is cancelled.

        Returns:
          A Deferred that fires with the response or fails with
          ``RequestError``. Cancelling it resets the connection.
        """
        lines = [
            f"{method} {target} HTTP/1.1",
            "host: standin",
            f"content-length: {len(body)}",
        ]
        for name, value in (headers_by_name or {}).items():
            lines.append(f"{name}: {value}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        data = head.encode("latin-1") + body
        connections: list[_Connection] = []
        done: defer.Deferred[Response] = defer.Deferred(
            lambda _: [c.transport.abortConnection() for c in connections]
        )
        done.assigned_connections = connections
        timer = self._reactor.callLater(timeout_s, done.cancel)
        done.addBoth(_stop_timer, timer)
        if self._idle_connections:
            connection = self._idle_connections.pop()
            connections.append(connection)
            connection.send(data, done)
        else:
            self._reactor.connectTCP(
                self._address,
                self._port,
                _ConnectionFactory(client=self, data=data, done=done),
                timeout=timeout_s,
            )
        return done

    def assign(self, connection: _Connection, done) -> None:
        """Assigns a new connection to a request.

        Args:
          connection: Connection that was opened for the request.
          done: Deferred of the request.
        """
        done.assigned_connections.append(connection)

    def release(self, connection: _Connection) -> None:
        """Returns a connection to the pool.

        Args:
          connection: Connection that may carry another request.
        """
        self._idle_connections.append(connection)

    def closed(self, connection: _Connection) -> None:
        """Removes a closed connection from the pool.

        Args:
          connection: Connection that was closed.
        """
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)


def _stop_timer(outcome, timer):
    if timer.active():
        timer.cancel()
    return outcome
