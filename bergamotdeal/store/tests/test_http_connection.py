"""HTTP connection pool against malformed, truncated and late responses."""

import pytest
from twisted.internet import address
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import testing

from bergamotdeal.store import http_connection

MAX_RESPONSE_BYTES = 100
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSeal: a\r\n\r\nok"


class Network:
    """A pool on a reactor that connects at once."""

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        self.connections = []
        self.pool = http_connection.ConnectionPool(
            reactor=self.reactor,
            connect_timeout_s=1.0,
            max_response_bytes=MAX_RESPONSE_BYTES,
        )

    def send(self, method="GET", body=b""):
        pending = self.pool.send(
            http_connection.Request(
                address="127.0.0.1",
                port=80,
                method=method,
                target="/k?v=1",
                headers_by_name={"Token": "t"},
                body=body,
            )
        )
        outcomes = []
        pending.addBoth(outcomes.append)
        return pending, outcomes

    def connect(self):
        host, port, factory, _, _ = self.reactor.tcpClients[-1]
        connection = factory.buildProtocol(
            address.IPv4Address("TCP", host, port)
        )
        wire = testing.StringTransportWithDisconnection()
        wire.protocol = connection
        wire.abortConnection = wire.loseConnection
        connection.makeConnection(wire)
        self.connections.append(connection)
        return connection


@pytest.fixture
def network():
    return Network()


def test_request_is_rendered_with_its_host_and_length(network):
    network.send("PUT", b"body")
    sent = network.connect().transport.value()
    assert sent == (
        b"PUT /k?v=1 HTTP/1.1\r\nhost: 127.0.0.1:80\r\ncontent-length: 4\r\n"
        b"Token: t\r\n\r\nbody"
    )


def test_complete_response_frees_its_connection_for_the_next_request(network):
    _, outcomes = network.send()
    connection = network.connect()
    connection.dataReceived(COMPLETE[:20])
    connection.dataReceived(COMPLETE[20:])
    assert outcomes[0].body == b"ok"
    assert outcomes[0].headers_by_name["seal"] == "a"
    network.send()
    assert len(network.reactor.tcpClients) == 1


def test_interim_response_is_skipped(network):
    _, outcomes = network.send()
    connection = network.connect()
    connection.dataReceived(
        b"HTTP/1.1 100 Continue\r\nOld: 1\r\n\r\n" + COMPLETE
    )
    assert outcomes[0].status == 200
    assert "old" not in outcomes[0].headers_by_name


@pytest.mark.parametrize(
    "received",
    [
        COMPLETE[:-1],
        b"HTTP/1.1 200 OK\r\n\r\nbody without a length",
        b"",
    ],
)
def test_response_that_ends_early_fails(network, received):
    """A truncated body must not be taken for a complete one."""
    _, outcomes = network.send()
    connection = network.connect()
    connection.dataReceived(received)
    connection.transport.loseConnection()
    assert outcomes[0].check(error.ConnectionLost)


@pytest.mark.parametrize(
    "received",
    [
        b"not HTTP at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + 101 * b"x",
        b"HTTP/1.1 200 OK\r\nA: " + 65_537 * b"x",
    ],
)
def test_invalid_response_fails_and_closes_the_connection(network, received):
    _, outcomes = network.send()
    connection = network.connect()
    connection.dataReceived(received)
    assert outcomes[0].check(http_connection.InvalidResponseError)
    assert not connection.transport.connected


def test_bytes_on_an_idle_connection_close_it(network):
    """A late second response would otherwise answer the next request."""
    network.send()
    connection = network.connect()
    connection.dataReceived(COMPLETE)
    connection.dataReceived(COMPLETE)
    assert not connection.transport.connected
    network.send()
    assert len(network.reactor.tcpClients) == 2


def test_second_response_after_the_first_closes_the_connection(network):
    _, outcomes = network.send()
    connection = network.connect()
    connection.dataReceived(COMPLETE + COMPLETE)
    assert outcomes[0].status == 200
    assert not connection.transport.connected


def test_cancelled_request_closes_its_connection(network):
    pending, outcomes = network.send()
    connection = network.connect()
    pending.cancel()
    assert outcomes[0].check(defer.CancelledError)
    assert not connection.transport.connected


def test_at_most_two_idle_connections_are_kept(network):
    connections = []
    for _ in range(3):
        network.send()
        connections.append(network.connect())
    for connection in connections:
        connection.dataReceived(COMPLETE)
    open_connections = [each.transport.connected for each in connections]
    assert open_connections == [True, True, False]
    closed = network.pool.close()
    assert closed.called
    assert not any(each.transport.connected for each in connections)
