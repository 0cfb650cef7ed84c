"""Callers that connect while a node still imports its modules."""

import itertools
import random
import socket

import pytest
from twisted.internet import reactor

from bergamotdeal.calls import messages
from bergamotdeal.node import faces
from bergamotdeal.utils import listening

ADDRESS = "127.0.0.1"
REQUEST = b"GET /kitview/kits HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def port():
    with socket.create_server((ADDRESS, 0)) as probe:
        return probe.getsockname()[1]


def build_listener():
    return faces.CallListener(
        face=messages.Face.ENTRY,
        post=lambda event: None,
        is_ready=lambda: False,
        rng=random.Random(1),
        origin_ids=itertools.count(),
    )


def test_caller_that_connects_before_the_reactor_runs_is_answered(port):
    """Guards against callers who are refused during the start of a node."""
    listening.open_early(ADDRESS, port)
    with socket.create_connection((ADDRESS, port), timeout=1.0) as caller:
        caller.sendall(REQUEST)
        caller.setblocking(False)
        listener = build_listener()
        listener.start(reactor=reactor, address=ADDRESS, port=port)
        answer = b""
        end = reactor.seconds() + 5.0
        while not answer:
            assert reactor.seconds() < end, "no answer in time"
            reactor.iterate(0.01)
            try:
                answer = caller.recv(4096)
            except BlockingIOError:
                continue
        listener.stop(reactor)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert listening.claim(ADDRESS, port) is None


def test_listener_opens_its_own_socket_without_an_early_one(port):
    listener = build_listener()
    listener.start(reactor=reactor, address=ADDRESS, port=port)
    assert listener.port == port
    listener.stop(reactor)


def test_port_in_use_is_not_opened(port):
    with (
        socket.create_server((ADDRESS, port)),
        pytest.raises(OSError, match="in use"),
    ):
        listening.open_early(ADDRESS, port)
    assert listening.claim(ADDRESS, port) is None
