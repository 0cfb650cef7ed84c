"""TCP relay that forwards bytes without reading them.

Two relays in sequence make the same network hops as two nodes. Their latency is
the baseline that separates the cost of the hops from that of the nodes.
"""

import sys

import click
from twisted.internet import protocol

_ADDRESS = "127.0.0.1"


class _Upstream(protocol.Protocol):
    """A connection from the relay to the target."""

    def __init__(self, *, client: protocol.Protocol):
        self._client = client

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self._client.connect_upstream(self.transport)

    def dataReceived(self, data):
        self._client.transport.write(data)

    def connectionLost(self, reason):
        self._client.transport.loseConnection()


class _Downstream(protocol.Protocol):
    """A connection from a client to the relay."""

    def __init__(self, *, dial):
        self._dial = dial
        self._upstream = None
        self._buffer = b""

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self._dial(_Upstream(client=self))

    def connect_upstream(self, upstream) -> None:
        """Forwards the data received before the target was connected."""
        self._upstream = upstream
        upstream.write(self._buffer)

    def dataReceived(self, data):
        if self._upstream is None:
            self._buffer += data
        else:
            self._upstream.write(data)

    def connectionLost(self, reason):
        if self._upstream is not None:
            self._upstream.loseConnection()


@click.command()
@click.option(
    "--target", required=True, help="ADDRESS:PORT on which the target listens."
)
def main(target: str) -> None:
    """Runs a relay until the process is terminated."""
    from twisted.internet import reactor

    address, _, port = target.rpartition(":")

    def dial(upstream: protocol.Protocol) -> None:
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _: upstream
        reactor.connectTCP(address, int(port), factory)

    factory = protocol.Factory()
    factory.buildProtocol = lambda _: _Downstream(dial=dial)
    listener = reactor.listenTCP(0, factory, interface=_ADDRESS)
    click.echo(f"port {listener.getHost().port}")
    sys.stdout.flush()
    reactor.run()


if __name__ == "__main__":
    main()
