"""TCP proxy that injects faults into the forwarded connections.

The byte counts of a fault start when the fault is set, or when the connection
is opened if that is later. The proxy is controlled in process or over HTTP:

    python -m standins.fault_proxy --target 127.0.0.1:8080
    curl -X PUT -d '[{"type": "Cut", "direction": "down", "after_bytes": 9}]' \
      http://127.0.0.1:CONTROL/faults
    curl -X POST http://127.0.0.1:CONTROL/silence
"""

import enum
import sys

import click
import msgspec
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.web import resource
from twisted.web import server
from zope import interface

_HOST = "127.0.0.1"


class Direction(enum.Enum):
    """Direction of the data, seen from the client."""

    UP = "up"
    DOWN = "down"


class Delay(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """A fault that delays each chunk of data by some seconds."""

    direction: Direction
    seconds: float


class Cut(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """A fault that resets both connections after a number of bytes."""

    direction: Direction
    after_bytes: int


class Truncate(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """A fault that closes both connections after a number of bytes.

    Unlike with `Cut`, data already forwarded is delivered before the close.
    """

    direction: Direction
    after_bytes: int


class HalfClose(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """A fault that closes one direction after a number of bytes.

    The other direction stays open.
    """

    direction: Direction
    after_bytes: int


class Blackhole(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """A fault that drops all data after a number of bytes.

    The connections stay open.
    """

    direction: Direction
    after_bytes: int = 0


class DuplicateConnect(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """A fault that opens a second, idle target connection for each client."""


class Refuse(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """A fault that resets each new connection as soon as it is accepted."""


Fault = (
    Delay | Cut | Truncate | HalfClose | Blackhole | DuplicateConnect | Refuse
)


class Stats(msgspec.Struct, kw_only=True):
    """Counters since the proxy started.

    Attributes:
      accepted: Number of accepted connections.
      open: Number of open connection pairs.
      duplicated: Number of duplicate connections to the target.
      bytes_up: Bytes forwarded to the target.
      bytes_down: Bytes forwarded to the clients.
    """

    accepted: int = 0
    open: int = 0
    duplicated: int = 0
    bytes_up: int = 0
    bytes_down: int = 0


class _Pipe:
    """One direction of a connection pair.

    Args:
      link: Connection pair.
      direction: Direction of the data.

    Attributes:
      sink: Transport to forward to, or None while it is connecting.
      closed: Whether the direction is closed.
      silent: Whether all data is dropped.
    """

    def __init__(self, *, link: "_Link", direction: Direction):
        self._link = link
        self._direction = direction
        self._forwarded_bytes = 0
        self._buffer: list[bytes] = []
        self.sink: interfaces.ITransport | None = None
        self.closed = False
        self.silent = False

    def restart_count(self) -> None:
        """Restarts the byte counts of the faults."""
        self._forwarded_bytes = 0

    def connect(self, sink: interfaces.ITransport) -> None:
        """Sets the sink and forwards the data received before."""
        self.sink = sink
        buffer, self._buffer = self._buffer, []
        for data in buffer:
            self.receive(data)

    def receive(self, data: bytes) -> None:
        """Forwards data from the source after the injected delay."""
        if self.sink is None:
            self._buffer.append(data)
            return
        delay_s = 0.0
        for fault in self._link.faults:
            match fault:
                case Delay(direction=self._direction, seconds=seconds):
                    delay_s += seconds
        if delay_s:
            self._link.reactor.callLater(delay_s, self._apply_faults, data)
        else:
            self._apply_faults(data)

    def close_write(self) -> None:
        """Closes the direction after the source has closed its side."""
        if self.silent or self.closed:
            return
        self.closed = True
        if self.sink is not None:
            self.sink.loseWriteConnection()

    def _apply_faults(self, data: bytes) -> None:
        if self.silent or self.closed:
            return
        fault = self._next_fault()
        if (
            fault is None
            or self._forwarded_bytes + len(data) < fault.after_bytes
        ):
            self._write(data)
            return
        self._write(data[: fault.after_bytes - self._forwarded_bytes])
        match fault:
            case Cut():
                self._link.abort()
            case Truncate():
                self._link.close()
            case HalfClose():
                self.close_write()
            case Blackhole():
                self.silent = True

    def _next_fault(self) -> Cut | Truncate | HalfClose | Blackhole | None:
        faults = [
            fault
            for fault in self._link.faults
            if isinstance(fault, Cut | Truncate | HalfClose | Blackhole)
            and fault.direction is self._direction
            and fault.after_bytes >= self._forwarded_bytes
        ]
        return min(faults, key=lambda fault: fault.after_bytes, default=None)

    def _write(self, data: bytes) -> None:
        if not data:
            return
        self._forwarded_bytes += len(data)
        self._link.count(self._direction, len(data))
        self.sink.write(data)


class _Link:
    """A pair of connections, one from a client and one to the target.

    Args:
      proxy: Proxy that owns the pair.
    """

    def __init__(self, *, proxy: "FaultProxy"):
        self._proxy = proxy
        self.reactor = proxy.reactor
        self.faults = proxy.faults
        self.up = _Pipe(link=self, direction=Direction.UP)
        self.down = _Pipe(link=self, direction=Direction.DOWN)
        self._transports: list[interfaces.ITransport] = []

    def add(self, transport: interfaces.ITransport) -> None:
        """Adds the transport of one of the two connections."""
        transport.setTcpNoDelay(True)
        self._transports.append(transport)

    def count(self, direction: Direction, size: int) -> None:
        """Adds forwarded bytes to the counters."""
        match direction:
            case Direction.UP:
                self._proxy.stats.bytes_up += size
            case Direction.DOWN:
                self._proxy.stats.bytes_down += size

    def restart_count(self) -> None:
        """Restarts the byte counts of the faults."""
        self.up.restart_count()
        self.down.restart_count()

    def silence(self) -> None:
        """Drops all further data in both directions and closes nothing."""
        self.up.silent = True
        self.down.silent = True

    def lost(self) -> None:
        """Closes the pair once a connection is lost, unless it is silent."""
        if not (self.up.silent or self.down.silent):
            self.close()

    def close(self) -> None:
        """Closes both connections after their pending data is sent."""
        for transport in self._transports:
            transport.loseConnection()
        self._proxy.remove_link(self)

    def abort(self) -> None:
        """Resets both connections."""
        for transport in self._transports:
            transport.abortConnection()
        self._proxy.remove_link(self)


@interface.implementer(interfaces.IHalfCloseableProtocol)
class _PairEndpoint(protocol.Protocol):
    """A connection of a pair whose two directions close independently."""

    def __init__(self, *, link: _Link, outgoing: _Pipe, incoming: _Pipe):
        self._link = link
        self._outgoing = outgoing
        self._incoming = incoming

    def connectionMade(self):
        self._link.add(self.transport)
        self._incoming.connect(self.transport)

    def dataReceived(self, data):
        self._outgoing.receive(data)

    def readConnectionLost(self):
        self._outgoing.close_write()
        if self._incoming.closed:
            self._link.lost()

    def writeConnectionLost(self):
        if self._outgoing.closed:
            self._link.lost()

    def connectionLost(self, reason):
        self._link.lost()


class FaultProxy:
    """A TCP proxy to one target that injects faults.

    Args:
      reactor: Twisted reactor.
      address: IP address of the target.
      port: TCP port of the target.

    Attributes:
      faults: Faults of all connections.
      stats: Counters of the proxy.
    """

    def __init__(self, *, reactor, address: str, port: int):
        self.reactor = reactor
        self.faults: list[Fault] = []
        self.stats = Stats()
        self._address = address
        self._target_port = port
        self._links: list[_Link] = []
        self._listener: interfaces.IListeningPort | None = None
        self._duplicate_connectors: list[interfaces.IConnector] = []

    def listen(self) -> int:
        """Starts accepting connections and returns the port."""
        factory = protocol.Factory()
        factory.buildProtocol = self._accept
        self._listener = self.reactor.listenTCP(0, factory, interface=_HOST)
        return self._listener.getHost().port

    def set_faults(self, faults: list[Fault]) -> None:
        """Replaces the faults of open and new connections.

        Their byte counts start now, or when a connection is opened later.
        """
        self.faults[:] = faults
        for link in self._links:
            link.restart_count()

    def silence_open_connections(self) -> None:
        """Drops all further data of the open connections; new ones work."""
        for link in self._links:
            link.silence()

    def reset_open_connections(self) -> None:
        """Resets the open connections."""
        for link in list(self._links):
            link.abort()

    def stop(self):
        """Stops listening and resets all connections.

        Returns:
          A Deferred that fires once the listening port is closed.
        """
        self.reset_open_connections()
        for connector in self._duplicate_connectors:
            connector.disconnect()
        return self._listener.stopListening()

    def remove_link(self, link: _Link) -> None:
        """Removes a closed connection pair."""
        if link in self._links:
            self._links.remove(link)
            self.stats.open -= 1

    def _accept(self, address) -> protocol.Protocol:
        self.stats.accepted += 1
        if any(isinstance(fault, Refuse) for fault in self.faults):
            return _ResetConnection()
        link = _Link(proxy=self)
        self._links.append(link)
        self.stats.open += 1
        self._dial(
            _PairEndpoint(link=link, outgoing=link.down, incoming=link.up), link
        )
        if any(isinstance(fault, DuplicateConnect) for fault in self.faults):
            self.stats.duplicated += 1
            self._duplicate_connectors.append(
                self._dial(protocol.Protocol(), None)
            )
        return _PairEndpoint(link=link, outgoing=link.up, incoming=link.down)

    def _dial(
        self, side: protocol.Protocol, link: _Link | None
    ) -> interfaces.IConnector:
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: side
        if link is not None:
            factory.clientConnectionFailed = lambda *_: link.abort()
        return self.reactor.connectTCP(
            self._address, self._target_port, factory
        )


class _ResetConnection(protocol.Protocol):
    """A connection that is reset as soon as it is accepted."""

    def connectionMade(self):
        self.transport.abortConnection()


class _Control(resource.Resource):
    """An HTTP resource that controls a proxy."""

    isLeaf = True

    def __init__(self, *, proxy: FaultProxy):
        super().__init__()
        self._proxy = proxy

    def render_GET(self, request):
        return msgspec.json.encode(self._proxy.stats)

    def render_PUT(self, request):
        try:
            faults = msgspec.json.decode(
                request.content.read(), type=list[Fault]
            )
        except msgspec.MsgspecError as e:
            request.setResponseCode(400)
            return f"{e}\n".encode()
        self._proxy.set_faults(faults)
        return b"ok\n"

    def render_POST(self, request):
        match request.path:
            case b"/silence":
                self._proxy.silence_open_connections()
            case b"/cut":
                self._proxy.reset_open_connections()
            case _:
                request.setResponseCode(404)
                return b"no such action\n"
        return b"ok\n"


def listen_control(proxy: FaultProxy) -> interfaces.IListeningPort:
    """Starts the HTTP control of a proxy on a free port."""
    site = server.Site(_Control(proxy=proxy))
    return proxy.reactor.listenTCP(0, site, interface=_HOST)


@click.command()
@click.option(
    "--target", required=True, help="ADDRESS:PORT on which the target listens."
)
def main(target: str) -> None:
    """Runs a proxy until the process is terminated."""
    from twisted.internet import reactor

    address, _, port = target.rpartition(":")
    proxy = FaultProxy(reactor=reactor, address=address, port=int(port))
    listening = proxy.listen()
    control = listen_control(proxy).getHost().port
    click.echo(f"port {listening} control {control}")
    sys.stdout.flush()
    reactor.run()


if __name__ == "__main__":
    main()
