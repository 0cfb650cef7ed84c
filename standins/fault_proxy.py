"""A TCP proxy that injects faults into the connections through it.

The byte counts of faults start when the faults are set, or with a connection
that is opened later. Controlled in process, over HTTP or from the command line:

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
    """A direction through the proxy, seen from the client."""

    UP = "up"
    DOWN = "down"


class Delay(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """Holds each piece of data back for some seconds."""

    direction: Direction
    seconds: float


class Cut(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """Resets both connections once so many bytes have passed."""

    direction: Direction
    after_bytes: int


class Truncate(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """Closes both connections in good order after so many bytes."""

    direction: Direction
    after_bytes: int


class HalfClose(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """Ends one direction after so many bytes; the other goes on."""

    direction: Direction
    after_bytes: int


class Blackhole(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """Swallows everything after so many bytes and closes nothing."""

    direction: Direction
    after_bytes: int = 0


class DuplicateConnect(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """Opens a second, idle connection to the target for each client."""


class Refuse(msgspec.Struct, tag=True, kw_only=True, frozen=True):
    """Resets each new connection at once."""


Fault = (
    Delay | Cut | Truncate | HalfClose | Blackhole | DuplicateConnect | Refuse
)


class Stats(msgspec.Struct, kw_only=True):
    """Counts since the proxy started."""

    accepted: int = 0
    open: int = 0
    duplicated: int = 0
    bytes_up: int = 0
    bytes_down: int = 0


class _Pipe:
    """One direction of one connection pair.

    Args:
      link: The pair.
      direction: Which way the data goes.
    """

    def __init__(self, *, link: "_Link", direction: Direction):
        self._link = link
        self._direction = direction
        self._passed = 0
        self._held: list[bytes] = []
        self.sink: interfaces.ITransport | None = None
        self.closed = False
        self.silent = False

    def restart_count(self) -> None:
        """Counts the bytes of faults from now on."""
        self._passed = 0

    def connect(self, sink: interfaces.ITransport) -> None:
        """Sets where the data goes and passes on what waited."""
        self.sink = sink
        held, self._held = self._held, []
        for data in held:
            self.receive(data)

    def receive(self, data: bytes) -> None:
        """Takes data from the source side."""
        if self.sink is None:
            self._held.append(data)
            return
        delay_s = 0.0
        for fault in self._link.faults:
            match fault:
                case Delay(direction=self._direction, seconds=seconds):
                    delay_s += seconds
        if delay_s:
            self._link.reactor.callLater(delay_s, self._pass, data)
        else:
            self._pass(data)

    def end(self) -> None:
        """Takes the end of the data from the source side."""
        if self.silent or self.closed:
            return
        self.closed = True
        if self.sink is not None:
            self.sink.loseWriteConnection()

    def _pass(self, data: bytes) -> None:
        if self.silent or self.closed:
            return
        fault = self._next_fault()
        if fault is None or self._passed + len(data) < fault.after_bytes:
            self._write(data)
            return
        self._write(data[: fault.after_bytes - self._passed])
        match fault:
            case Cut():
                self._link.abort()
            case Truncate():
                self._link.close()
            case HalfClose():
                self.end()
            case Blackhole():
                self.silent = True

    def _next_fault(self) -> Cut | Truncate | HalfClose | Blackhole | None:
        faults = [
            fault
            for fault in self._link.faults
            if isinstance(fault, Cut | Truncate | HalfClose | Blackhole)
            and fault.direction is self._direction
            and fault.after_bytes >= self._passed
        ]
        return min(faults, key=lambda fault: fault.after_bytes, default=None)

    def _write(self, data: bytes) -> None:
        if not data:
            return
        self._passed += len(data)
        self._link.count(self._direction, len(data))
        self.sink.write(data)


class _Link:
    """A client's connection and the one to the target.

    Args:
      proxy: The proxy that owns it.
    """

    def __init__(self, *, proxy: "FaultProxy"):
        self._proxy = proxy
        self.reactor = proxy.reactor
        self.faults = proxy.faults
        self.up = _Pipe(link=self, direction=Direction.UP)
        self.down = _Pipe(link=self, direction=Direction.DOWN)
        self._transports: list[interfaces.ITransport] = []

    def add(self, transport: interfaces.ITransport) -> None:
        """Adds one of the two connections."""
        transport.setTcpNoDelay(True)
        self._transports.append(transport)

    def count(self, direction: Direction, size: int) -> None:
        """Counts bytes that passed."""
        match direction:
            case Direction.UP:
                self._proxy.stats.bytes_up += size
            case Direction.DOWN:
                self._proxy.stats.bytes_down += size

    def restart_count(self) -> None:
        """Counts the bytes of faults from now on."""
        self.up.restart_count()
        self.down.restart_count()

    def silence(self) -> None:
        """Swallows everything from now on, and closes nothing."""
        self.up.silent = True
        self.down.silent = True

    def lost(self) -> None:
        """Ends the pair after one side closed, unless it is silent."""
        if not (self.up.silent or self.down.silent):
            self.close()

    def close(self) -> None:
        """Closes both connections in good order."""
        for transport in self._transports:
            transport.loseConnection()
        self._proxy.forget(self)

    def abort(self) -> None:
        """Resets both connections."""
        for transport in self._transports:
            transport.abortConnection()
        self._proxy.forget(self)


@interface.implementer(interfaces.IHalfCloseableProtocol)
class _Side(protocol.Protocol):
    """One end of a pair; both halves of it close on their own."""

    def __init__(self, *, link: _Link, out: _Pipe, back: _Pipe):
        self._link = link
        self._out = out
        self._back = back

    def connectionMade(self):
        self._link.add(self.transport)
        self._back.connect(self.transport)

    def dataReceived(self, data):
        self._out.receive(data)

    def readConnectionLost(self):
        self._out.end()
        if self._back.closed:
            self._link.lost()

    def writeConnectionLost(self):
        if self._out.closed:
            self._link.lost()

    def connectionLost(self, reason):
        self._link.lost()


class FaultProxy:
    """Passes TCP connections on to one target, with faults.

    Args:
      reactor: The Twisted reactor.
      address: IP address of the target.
      port: TCP port of the target.
    """

    def __init__(self, *, reactor, address: str, port: int):
        self.reactor = reactor
        self.faults: list[Fault] = []
        self.stats = Stats()
        self._address = address
        self._target_port = port
        self._links: list[_Link] = []
        self._listener: interfaces.IListeningPort | None = None
        self._spare: list[interfaces.IConnector] = []

    def listen(self) -> int:
        """Starts to accept connections; returns the port."""
        factory = protocol.Factory()
        factory.buildProtocol = self._accept
        self._listener = self.reactor.listenTCP(0, factory, interface=_HOST)
        return self._listener.getHost().port

    def set_faults(self, faults: list[Fault]) -> None:
        """Replaces the faults of open and of new connections.

        Their bytes count from now on, or from a connection's start.
        """
        self.faults[:] = faults
        for link in self._links:
            link.restart_count()

    def silence_open(self) -> None:
        """Silences the open connections for good; new ones work."""
        for link in self._links:
            link.silence()

    def cut_open(self) -> None:
        """Resets the open connections."""
        for link in list(self._links):
            link.abort()

    def stop(self):
        """Stops listening and resets everything; returns a Deferred."""
        self.cut_open()
        for connector in self._spare:
            connector.disconnect()
        return self._listener.stopListening()

    def forget(self, link: _Link) -> None:
        """Drops an ended pair."""
        if link in self._links:
            self._links.remove(link)
            self.stats.open -= 1

    def _accept(self, address) -> protocol.Protocol:
        self.stats.accepted += 1
        if any(isinstance(fault, Refuse) for fault in self.faults):
            return _Refused()
        link = _Link(proxy=self)
        self._links.append(link)
        self.stats.open += 1
        self._dial(_Side(link=link, out=link.down, back=link.up), link)
        if any(isinstance(fault, DuplicateConnect) for fault in self.faults):
            self.stats.duplicated += 1
            self._spare.append(self._dial(protocol.Protocol(), None))
        return _Side(link=link, out=link.up, back=link.down)

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


class _Refused(protocol.Protocol):
    def connectionMade(self):
        self.transport.abortConnection()


class _Control(resource.Resource):
    """HTTP control of a proxy."""

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
                self._proxy.silence_open()
            case b"/cut":
                self._proxy.cut_open()
            case _:
                request.setResponseCode(404)
                return b"no such action\n"
        return b"ok\n"


def listen_control(proxy: FaultProxy) -> interfaces.IListeningPort:
    """Opens the HTTP control of a proxy on a port that the kernel chooses."""
    site = server.Site(_Control(proxy=proxy))
    return proxy.reactor.listenTCP(0, site, interface=_HOST)


@click.command()
@click.option("--target", required=True, help="ADDRESS:PORT to pass on to.")
def main(target: str) -> None:
    """Runs a proxy until it is interrupted."""
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
