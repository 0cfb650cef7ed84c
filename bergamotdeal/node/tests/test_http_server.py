"""Tests of the HTTP server: a request is dispatched as it was sent."""

import re

import pytest
from twisted.internet import testing

from bergamotdeal.errors import core as errors
from bergamotdeal.node import http_server
from bergamotdeal.rpc import core as rpc

BODY = b"hello"
LENGTH = b"Content-Length: 5\r\n"
CHUNKED_BODY = b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
OFFERS = {
    "h2c": (
        b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        b"HTTP2-Settings: AAMAAABk\r\n"
    ),
    "websocket": b"Upgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n",
    "anything": b"connection: upgrade\r\nUPGRADE: foo/2, bar\r\n",
}
SECOND = b"GET /second HTTP/1.1\r\nHost: a\r\n\r\n"


class Harness:
    def __init__(self):
        self.requests = []
        self.exchanges = []
        factory = http_server.Factory(handler=self._handle)
        self.channel = factory.buildProtocol(None)
        self.transport = testing.StringTransport()
        self.channel.makeConnection(self.transport)

    def _handle(self, exchange, request):
        self.exchanges.append(exchange)
        self.requests.append(request)

    def respond(self):
        answer = rpc.Answer(
            outcome=errors.Outcome.COMPLETED, status=200, body=b"ok"
        )
        self.exchanges[-1].respond(answer, [])


def build_request(headers, body, target=b"/first"):
    return b"POST %s HTTP/1.1\r\nHost: a\r\n%s\r\n%s" % (target, headers, body)


# Guards against a request that is run without its body, since the parser stops
# at the head of one that offers another protocol.
@pytest.mark.parametrize("step", [1, 7, 10_000])
@pytest.mark.parametrize(
    ("framing", "body"),
    [(LENGTH, BODY), (CHUNKED, CHUNKED_BODY)],
    ids=["length", "chunked"],
)
@pytest.mark.parametrize("offer", OFFERS.values(), ids=OFFERS)
def test_request_that_offers_an_upgrade_keeps_its_body(
    offer, framing, body, step
):
    for headers in (offer + framing, framing + offer):
        harness = Harness()
        data = build_request(headers, body) + SECOND
        for start in range(0, len(data), step):
            harness.channel.dataReceived(data[start : start + step])
        (first,) = harness.requests
        assert (first.method, first.target) == ("POST", "/first")
        assert (first.body, first.header("host")) == (BODY, "a")
        assert first.header("upgrade") == ""
        assert "upgrade" not in first.header("connection").lower()
        harness.respond()
        assert harness.requests[1].target == "/second"
        assert not harness.transport.disconnecting


def test_offer_behind_another_request_keeps_its_body():
    harness = Harness()
    offer = build_request(OFFERS["h2c"] + LENGTH, BODY, b"/third")
    harness.channel.dataReceived(SECOND + offer + SECOND + offer)
    for expected in ("/second", "/third", "/second", "/third"):
        assert harness.requests[-1].target == expected
        harness.respond()
    assert [each.body for each in harness.requests] == [b"", BODY] * 2


def test_offer_with_expectation_is_told_to_continue_once():
    harness = Harness()
    headers = OFFERS["h2c"] + b"Expect: 100-continue\r\n" + LENGTH
    harness.channel.dataReceived(build_request(headers, b""))
    assert harness.transport.value() == b"HTTP/1.1 100 Continue\r\n\r\n"
    harness.channel.dataReceived(BODY)
    assert harness.requests[0].body == BODY


def test_offer_does_not_lift_the_limit_of_the_body():
    harness = Harness()
    harness.channel.factory.max_body_bytes = 4
    harness.channel.dataReceived(build_request(OFFERS["h2c"] + LENGTH, BODY))
    assert harness.requests == []
    assert b" 413 " in harness.transport.value()


def test_request_for_a_tunnel_is_rejected():
    harness = Harness()
    harness.channel.dataReceived(
        b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n%s\r\n%s" % (LENGTH, BODY)
    )
    assert harness.requests == []
    assert harness.transport.value().startswith(b"HTTP/1.1 400 ")


class MemoryHarness:
    """Channel of a node whose memory has room or has not."""

    def __init__(self):
        self.has_room = True
        self.requests = []
        self.exchanges = []
        self.asked = []
        self.factory = http_server.Factory(
            handler=self._handle, has_room=self._has_room
        )
        self.channel = self.factory.buildProtocol(None)
        self.transport = testing.StringTransport()
        self.channel.makeConnection(self.transport)

    def _has_room(self, size_bytes, build_request):
        self.asked.append((size_bytes, build_request().target))
        return self.has_room

    def _handle(self, exchange, request):
        self.requests.append(request)
        self.exchanges.append(exchange)
        if request.is_refused:
            kind = errors.ErrorKind.MEMORY_EXHAUSTED
            exchange.respond(rpc.build_error_answer(kind), [])

    def send(self, data, step=1):
        for start in range(0, len(data), step):
            self.channel.dataReceived(data[start : start + step])

    def respond(self):
        answer = rpc.Answer(
            outcome=errors.Outcome.COMPLETED, status=200, body=b"ok"
        )
        self.exchanges[-1].respond(answer, [])

    def read_statuses(self):
        return re.findall(rb"HTTP/1\.1 (\d{3}) ", self.transport.value())


@pytest.mark.parametrize("step", [1, 7, 10_000])
@pytest.mark.parametrize(
    ("framing", "body"),
    [(LENGTH, BODY), (CHUNKED, CHUNKED_BODY)],
    ids=["length", "chunked"],
)
def test_body_is_held_until_the_request_is_dispatched(framing, body, step):
    harness = MemoryHarness()
    request = build_request(framing, body)
    harness.send(request[:-2], step)
    if framing is LENGTH:
        assert harness.factory.held_bytes == len(BODY)
    harness.send(request[-2:], step)
    assert harness.factory.held_bytes == 0
    harness.send(request, step)  # Waits behind the first one.
    assert harness.factory.held_bytes == len(BODY)
    harness.respond()
    assert harness.factory.held_bytes == 0
    assert [each.body for each in harness.requests] == [BODY, BODY]


def test_body_of_a_lost_connection_is_not_held():
    harness = MemoryHarness()
    harness.send(build_request(LENGTH, BODY)[:-1])
    harness.channel.connectionLost()
    assert harness.factory.held_bytes == 0


# Guards against an answer that is destroyed by the reset of a connection which
# is closed while the client still sends the body.
@pytest.mark.parametrize("step", [1, 7, 10_000])
@pytest.mark.parametrize(
    ("framing", "body"),
    [(LENGTH, BODY), (CHUNKED, CHUNKED_BODY)],
    ids=["length", "chunked"],
)
def test_request_without_memory_is_refused_at_once_and_its_body_skipped(
    framing, body, step
):
    harness = MemoryHarness()
    harness.has_room = False
    request = build_request(framing, body)
    head_bytes = request.index(b"\r\n\r\n") + 4
    harness.send(request[: head_bytes + 1], step)
    if framing is LENGTH:
        assert harness.read_statuses() == [b"503"]
    harness.send(request[head_bytes + 1 :], step)
    assert harness.read_statuses() == [b"503"]
    assert harness.factory.held_bytes == 0
    assert not harness.transport.disconnecting
    harness.has_room = True
    harness.send(request, step)
    assert harness.requests[-1].body == BODY
    harness.respond()
    assert harness.read_statuses() == [b"503", b"200"]


def test_memory_that_ends_within_a_chunked_body_refuses_it():
    harness = MemoryHarness()
    request = build_request(CHUNKED, CHUNKED_BODY)
    harness.send(request[: request.index(b"3\r\nllo")])
    assert harness.factory.held_bytes == 2
    harness.has_room = False
    harness.send(request[request.index(b"3\r\nllo") :])
    assert harness.factory.held_bytes == 0
    assert harness.read_statuses() == [b"503"]
    assert [each.is_refused for each in harness.requests] == [True]


def test_refusal_behind_another_request_waits_for_its_turn():
    harness = MemoryHarness()
    harness.send(SECOND)
    harness.has_room = False
    harness.send(build_request(LENGTH, BODY))
    assert harness.read_statuses() == []
    harness.respond()
    assert harness.read_statuses() == [b"200", b"503"]


def test_refused_client_that_waits_to_continue_is_closed():
    harness = MemoryHarness()
    harness.has_room = False
    headers = b"Expect: 100-continue\r\n" + LENGTH
    harness.send(build_request(headers, b""))
    assert harness.read_statuses() == [b"503"]
    assert b"Continue" not in harness.transport.value()
    assert harness.transport.disconnecting


def test_refused_connection_that_is_to_close_is_read_to_the_end_of_the_body():
    harness = MemoryHarness()
    harness.has_room = False
    request = build_request(b"Connection: close\r\n" + LENGTH, BODY)
    harness.send(request[:-1])
    assert harness.read_statuses() == [b"503"]
    assert not harness.transport.disconnecting
    harness.send(request[-1:])
    assert harness.transport.disconnecting


def test_malformed_rest_of_a_refused_body_gets_no_second_answer():
    harness = MemoryHarness()
    harness.has_room = False
    harness.send(build_request(CHUNKED, b"5\r\nhello\r\nx\r\n"))
    assert harness.read_statuses() == [b"503"]
    assert harness.transport.disconnecting


def test_request_without_a_body_is_refused_too():
    harness = MemoryHarness()
    harness.has_room = False
    harness.send(SECOND + SECOND)
    assert harness.asked == [(0, "/second")] * 2
    assert harness.read_statuses() == [b"503", b"503"]


# Guards against requests that are refused as without a route since their target
# names the host, too.
@pytest.mark.parametrize(
    ("target", "expected"),
    [
        (b"http://b.example:8080/kits?x=1", ("/kits?x=1", "b.example:8080")),
        (b"HTTP://b.example/", ("/", "b.example")),
        (b"https://b.example", ("/", "b.example")),
        (b"http://b.example?x=/1", ("/?x=/1", "b.example")),
        (b"/to?u=http://c/", ("/to?u=http://c/", "a")),
        (b"*", ("*", "a")),
    ],
)
def test_target_in_absolute_form_names_host_and_path(target, expected):
    harness = Harness()
    harness.channel.dataReceived(build_request(LENGTH, BODY, target))
    (request,) = harness.requests
    assert (request.target, request.header("host")) == expected
    assert [name for name, _ in request.headers].count("host") == 1
    assert request.body == BODY


# Guards against clients that stop in the middle of their bodies and keep the
# memory of the node until their connections are closed as idle.
@pytest.mark.parametrize("has_room", [False, True])
def test_stalled_body_gives_up_its_memory_only_if_there_is_no_other(has_room):
    harness = MemoryHarness()
    now = [100.0]
    harness.factory.seconds = lambda: now[0]
    harness.send(build_request(LENGTH, BODY)[:-1])
    harness.has_room = has_room
    now[0] += http_server.STALLED_BODY_TIMEOUT_S - 1
    harness.factory.enforce_idle_timeout()
    assert harness.factory.held_bytes == len(BODY)
    now[0] += 2
    harness.factory.enforce_idle_timeout()
    harness.factory.enforce_idle_timeout()
    assert harness.factory.held_bytes == (len(BODY) if has_room else 0)
    assert harness.read_statuses() == ([] if has_room else [b"503"])
    harness.send(BODY[-1:])
    assert [each.is_refused for each in harness.requests] == [not has_room]
    assert harness.factory.held_bytes == 0
    assert not harness.transport.disconnecting


def test_draining_channel_answers_all_that_was_read_and_closes():
    """Guards against pipelined requests that a planned stop drops."""
    harness = Harness()
    harness.channel.dataReceived(3 * SECOND)
    harness.channel.factory.drain_connections()
    for number in (1, 2, 3):
        assert len(harness.requests) == number
        assert not harness.transport.disconnecting
        harness.respond()
    assert harness.transport.disconnecting
    responses = harness.transport.value().lower()
    assert responses.count(b"http/1.1 200") == 3
    assert responses.count(b"connection: close") == 1
