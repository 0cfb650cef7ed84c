"""Passes the bytes of TCP connections on, unread.

Two of them in a row make the same hops as two nodes, so that what the
machine costs for the hops can be told from what the nodes cost.
"""

import sys

import click
from twisted.internet import protocol

_ADDRESS = "127.0.0.1"


class _Upstream(protocol.Protocol):
    """The connection to the target."""

    def __init__(self, *, client: protocol.Protocol):
        self._client = client

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self._client.opened(self.transport)

    def dataReceived(self, data):
        self._client.transport.write(data)

    def connectionLost(self, reason):
        self._client.transport.loseConnection()


class _Downstream(protocol.Protocol):
    """The connection of a client."""

    def __init__(self, *, dial):
        self._dial = dial
        self._upstream = None
        self._held = b""

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self._dial(_Upstream(client=self))

    def opened(self, upstream) -> None:
        """Passes on what arrived before the target was connected."""
        self._upstream = upstream
        upstream.write(self._held)

    def dataReceived(self, data):
        if self._upstream is None:
            self._held += data
        else:
            self._upstream.write(data)

    def connectionLost(self, reason):
        if self._upstream is not None:
            self._upstream.loseConnection()


@click.command()
@click.option("--target", required=True, help="ADDRESS:PORT to pass on to.")
def main(target: str) -> None:
    """Runs a relay until it is ended."""
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
