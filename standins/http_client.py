"""A small pooled HTTP client for stand-ins; it never sends twice."""

import dataclasses

import httptools
from twisted.internet import defer
from twisted.internet import protocol


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """A complete response.

    Attributes:
      status: HTTP status code.
      headers_by_name: Last value of each header, by lower-case name.
      body: The complete body.
    """

    status: int
    headers_by_name: dict[str, str]
    body: bytes


class RequestError(Exception):
    """No complete response arrived."""


class _Connection(protocol.Protocol):
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
        # The parser forgets this once the message is complete.
        self._keep_alive = self._parser.should_keep_alive()

    def _finish(self) -> None:
        done, self._done = self._done, None
        response = Response(
            status=self._parser.get_status_code(),
            headers_by_name=self._headers_by_name,
            body=b"".join(self._chunks),
        )
        if self._keep_alive:
            self._pool.idle(self)
        else:
            self.transport.loseConnection()
        if not done.called:
            done.callback(response)


class _Dialer(protocol.ClientFactory):
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
        self._client.opened(connection, self._done)
        return connection

    def clientConnectionFailed(self, connector, reason) -> None:
        if not self._done.called:
            self._done.errback(RequestError(reason.getErrorMessage()))


class Client:
    """Sends requests to one address over a pool of connections.

    Args:
      reactor: The reactor.
      address: IP address.
      port: TCP port.
    """

    def __init__(self, *, reactor, address: str, port: int) -> None:
        self._reactor = reactor
        self._address = address
        self._port = port
        self._idle: list[_Connection] = []

    def request(
        self,
        method: str,
        target: str,
        *,
        headers_by_name: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 30.0,
    ) -> "defer.Deferred[Response]":
        """Sends one request; cancelling the Deferred disconnects.

        Args:
          method: HTTP method.
          target: Path and query.
          headers_by_name: Extra headers.
          body: The body.
          timeout_s: Time after which the request fails.

        Returns:
          Fires with the response, or fails with ``RequestError``.
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
        state: list[_Connection] = []
        done: defer.Deferred[Response] = defer.Deferred(
            lambda _: [c.transport.abortConnection() for c in state]
        )
        done.connection_state = state
        timer = self._reactor.callLater(timeout_s, done.cancel)
        done.addBoth(_stop_timer, timer)
        if self._idle:
            connection = self._idle.pop()
            state.append(connection)
            connection.send(data, done)
        else:
            self._reactor.connectTCP(
                self._address,
                self._port,
                _Dialer(client=self, data=data, done=done),
                timeout=timeout_s,
            )
        return done

    def opened(self, connection: _Connection, done) -> None:
        """Notes the connection that carries a request.

        Args:
          connection: The connection.
          done: The request's Deferred.
        """
        done.connection_state.append(connection)

    def idle(self, connection: _Connection) -> None:
        """Keeps a connection for the next request.

        Args:
          connection: The connection.
        """
        self._idle.append(connection)

    def closed(self, connection: _Connection) -> None:
        """Forgets a connection.

        Args:
          connection: The connection.
        """
        if connection in self._idle:
            self._idle.remove(connection)


def _stop_timer(outcome, timer):
    if timer.active():
        timer.cancel()
    return outcome
