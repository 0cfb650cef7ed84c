"""Bytes without end that are no message, until the receiver closes."""

import itertools
import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest
from twisted.internet import testing

from bergamotdeal.calls import messages
from bergamotdeal.node import http_server
from bergamotdeal.node import peer_link
from bergamotdeal.node import server_connection
from bergamotdeal.node.tests import test_peer_link
from bergamotdeal.rpc import core as rpc

CHUNK_BYTES = 4096
MAX_ACCEPTED_BYTES = 2 * rpc.MAX_HEADER_BYTES
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

# The bytes before, and those that are repeated without end.
ENDLESS_ANSWERS = {
    "no protocol": (b"", b"\x00\xff"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "header name": (HEAD, b"x"),
    "header value": (HEAD + b"x: ", b"x"),
    "headers": (HEAD, b"x: y\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;", b"x"),
    "trailer": (CHUNKED + b"0\r\nx: ", b"x"),
}
ENDLESS_REQUESTS = {
    "no protocol": (b"", b"\x00\xff"),
    "target": (b"GET /", b"x"),
    "header name": (b"GET / HTTP/1.1\r\n", b"x"),
    "headers": (b"GET / HTTP/1.1\r\n", b"x: y\r\n"),
    "chunk extension": (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        b"x",
    ),
    "trailer": (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx: ",
        b"x",
    ),
}


def iterate_chunks(start, repeated):
    yield start
    piece = repeated * (CHUNK_BYTES // len(repeated))
    yield from itertools.repeat(piece)


def count_accepted_bytes(receive, is_closed, start, repeated):
    """Returns how many bytes a receiver takes before it closes."""
    accepted = 0
    chunks = iterate_chunks(start, repeated)
    while not is_closed():
        assert accepted < 10 * MAX_ACCEPTED_BYTES, "still open"
        chunk = next(chunks)
        receive(chunk)
        accepted += len(chunk)
    return accepted


def make_server_connection():
    events = []
    connection = server_connection.ServerConnection(
        on_idle=lambda _: None, on_closed=lambda _: None, post=events.append
    )
    connection.makeConnection(testing.StringTransport())
    request = rpc.Request(
        service="kitview", method="GET", path="/", headers=[], body=b""
    )
    connection.send_request(
        messages.StartRun(
            run_id=4,
            request=request,
            user_request_id="r-1",
            context="",
            deadline_ms=60_000,
        )
    )
    return connection, events


@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
def test_answer_without_end_fails_the_run_at_once(name):
    connection, events = make_server_connection()
    accepted = count_accepted_bytes(
        connection.dataReceived, lambda: events, *ENDLESS_ANSWERS[name]
    )
    (event,) = events
    assert isinstance(event, messages.RunFailed)
    assert accepted <= MAX_ACCEPTED_BYTES
    assert not connection.is_available
    assert connection.transport.disconnecting


def test_connection_with_an_endless_body_keeps_none_of_it():
    """Its transport refers to it until the next garbage collection."""
    start = HEAD + b"Content-Length: 1000000000\r\n\r\n"
    connection, events = make_server_connection()
    tracemalloc.start()
    try:
        for chunk in iterate_chunks(start, b"x"):
            if events:
                break
            connection.dataReceived(chunk)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert isinstance(events[0], messages.RunFailed)
    assert held_bytes < rpc.MAX_BODY_BYTES / 4


@pytest.mark.parametrize("name", ENDLESS_REQUESTS)
def test_request_without_end_is_rejected(name):
    factory = http_server.Factory(handler=lambda *_: None)
    channel = factory.buildProtocol(None)
    channel.makeConnection(testing.StringTransport())
    accepted = count_accepted_bytes(
        channel.dataReceived,
        lambda: channel.transport.disconnecting,
        *ENDLESS_REQUESTS[name],
    )
    assert accepted <= MAX_ACCEPTED_BYTES
    assert channel.transport.value().startswith(b"HTTP/1.1 4")


def test_peer_without_proof_can_not_make_a_node_hold_a_large_frame():
    side = test_peer_link.LinkSide("orderline-1", is_dialer=False)
    length = peer_link.MAX_HANDSHAKE_FRAME_BYTES + 1
    side.link.dataReceived(length.to_bytes(4, "big"))
    assert side.close_count == 1


@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            strategies.binary(max_size=300),
            strategies.sampled_from(
                [
                    start + repeated
                    for start, repeated in ENDLESS_ANSWERS.values()
                ]
            ),
        ),
        max_size=12,
    )
)
def test_any_bytes_end_a_run_at_most_once(chunks):
    connection, events = make_server_connection()
    for chunk in chunks:
        connection.dataReceived(chunk)
    connection.connectionLost()
    assert len(events) == 1
