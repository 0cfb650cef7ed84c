"""The node's reactor handles sockets and closes those that fail."""

import socket
import sys

from twisted.internet import protocol

from bergamotdeal.node import event_loop


class Recorder(protocol.Protocol):
    def __init__(self):
        self.received = b""
        self.is_lost = False

    def dataReceived(self, data):
        if data == b"raise":
            raise ValueError("a fault of the protocol")
        self.received += data

    def connectionLost(self, reason=protocol.connectionDone):
        self.is_lost = True


def connect(reactor):
    """Returns a protocol on the reactor and the other side's socket."""
    recorder = Recorder()
    factory = protocol.ServerFactory()
    factory.buildProtocol = lambda _: recorder
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    peer = socket.create_connection(("127.0.0.1", port.getHost().port))
    return recorder, peer


def iterate_until(reactor, condition):
    for _ in range(200):
        if condition():
            return
        reactor.iterate(0.01)
    raise AssertionError("condition not met")


def test_bytes_and_the_end_of_a_connection_reach_its_protocol():
    reactor = event_loop.NodeReactor()
    recorder, peer = connect(reactor)
    peer.sendall(b"kit list")
    iterate_until(reactor, lambda: recorder.received == b"kit list")
    peer.close()
    iterate_until(reactor, lambda: recorder.is_lost)


def test_exception_in_a_protocol_ends_only_its_connection():
    reactor = event_loop.NodeReactor()
    failing, failing_peer = connect(reactor)
    other, other_peer = connect(reactor)
    failing_peer.sendall(b"raise")
    iterate_until(reactor, lambda: failing.is_lost)
    other_peer.sendall(b"next")
    iterate_until(reactor, lambda: other.received == b"next")
    failing_peer.close()
    other_peer.close()


def test_reactor_of_the_process_is_not_replaced():
    from twisted.internet import reactor

    event_loop.install()
    assert sys.modules["twisted.internet.reactor"] is reactor
