"""The handshake, the frames and the heartbeat of a peer link."""

import random

import pytest
from twisted.internet import testing

from bergamotdeal.calls import core as calls
from bergamotdeal.errors import core as errors
from bergamotdeal.node import peer_link
from bergamotdeal.wire import codec
from bergamotdeal.wire import messages

KEY = b"0123456789abcdef"


class Side:
    def __init__(self, host_id, *, is_dialer, key=KEY, expects=None):
        self.now = 0.0
        self.opened = 0
        self.frames = []
        self.closed = 0
        builder = peer_link.LinkBuilder(
            host_id=host_id,
            incarnation=host_id * 2,
            key=key,
            rng=random.Random(host_id),
            seconds=lambda: self.now,
        )
        self.link = builder.build(
            is_dialer=is_dialer,
            expected_host_id=expects,
            on_open=self._on_open,
            on_frame=lambda _, frame: self.frames.append(frame),
            on_closed=self._on_closed,
        )
        self.transport = testing.StringTransport()
        self.link.makeConnection(self.transport)

    def _on_open(self, _):
        self.opened += 1

    def _on_closed(self, _):
        self.closed += 1

    def take(self):
        data = self.transport.value()
        self.transport.clear()
        return data

    @property
    def is_open(self):
        return self.link.state is peer_link.LinkState.OPEN


def exchange(a, b):
    while True:
        from_a, from_b = a.take(), b.take()
        if not from_a and not from_b:
            return
        b.link.dataReceived(from_a)
        a.link.dataReceived(from_b)


def connected(**listener):
    dialer = Side("kitview-1", is_dialer=True, expects="orderline-1")
    other = Side("orderline-1", is_dialer=False, **listener)
    exchange(dialer, other)
    return dialer, other


def answer_frame(number):
    return messages.AnswerFrame(
        number=number,
        user_request_id="r-1",
        answer=calls.Answer(
            outcome=errors.Outcome.COMPLETED, status=200, body=b"hello"
        ),
    )


def framed(frame):
    data = codec.encode(frame)
    return len(data).to_bytes(4, "big") + data


def test_both_sides_open():
    dialer, listener = connected()
    assert dialer.is_open and listener.is_open
    assert (dialer.opened, listener.opened) == (1, 1)


def test_wrong_key_closes_both_sides():
    dialer, listener = connected(key=b"another key 0123")
    assert not dialer.opened and not listener.opened
    assert "wrong key" in (dialer.link.close_reason, listener.link.close_reason)


def test_reflected_proof_is_refused():
    """A peer without the key can't answer with what it was sent."""
    victim = Side("orderline-1", is_dialer=False)
    hello = victim.take()
    victim.link.dataReceived(hello)
    proof = victim.take()
    victim.link.dataReceived(proof)
    assert not victim.opened


def test_other_host_at_the_address_is_refused():
    dialer = Side("kitview-1", is_dialer=True, expects="orderline-9")
    listener = Side("orderline-1", is_dialer=False)
    exchange(dialer, listener)
    assert not dialer.opened
    assert (
        dialer.link.close_reason == "host orderline-1 answers for orderline-9"
    )


@pytest.mark.parametrize(
    "data",
    [
        framed(answer_frame(1)),
        framed(messages.Proof(digest=b"x" * 32)),
        framed(messages.Hello(host_id="h", incarnation="i", nonce=b"short")),
        b"\x00\x00\x00\x08notcapnp",
        b"\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 10,
    ],
    ids=["answer", "proof", "nonce", "garbage", "length", "http"],
)
def test_anything_but_a_handshake_closes_the_link(data):
    side = Side("orderline-1", is_dialer=False)
    side.link.dataReceived(data)
    assert side.closed == 1
    assert side.frames == []


def test_second_handshake_closes_the_link():
    dialer, _ = connected()
    hello = messages.Hello(host_id="h", incarnation="i", nonce=b"n" * 16)
    dialer.link.dataReceived(framed(hello))
    assert dialer.closed == 1


def test_answer_cut_at_any_byte_is_never_delivered():
    data = framed(answer_frame(7))
    for length in range(len(data)):
        dialer, _ = connected()
        dialer.link.dataReceived(data[:length])
        dialer.link.connectionLost()
        assert dialer.frames == []
    dialer, _ = connected()
    dialer.link.dataReceived(data)
    assert dialer.frames == [answer_frame(7)]


def test_frame_after_the_close_is_not_delivered():
    dialer, _ = connected()
    dialer.link.close("test")
    dialer.link.dataReceived(framed(answer_frame(7)))
    assert dialer.frames == []


def test_silent_busy_link_closes_after_two_missed_heartbeats():
    dialer, _ = connected()
    for _ in range(peer_link.MISSED_HEARTBEATS):
        dialer.now += peer_link.BUSY_PING_S
        dialer.link.check(dialer.now, busy=True)
        assert dialer.is_open
    dialer.now += peer_link.BUSY_PING_S
    dialer.link.check(dialer.now, busy=True)
    assert dialer.closed == 1
    assert dialer.link.close_reason == "silent"


def test_answered_heartbeats_keep_the_link():
    dialer, listener = connected()
    for _ in range(20):
        dialer.now += peer_link.BUSY_PING_S
        dialer.link.check(dialer.now, busy=True)
        exchange(dialer, listener)
    assert dialer.is_open


def test_incoming_link_of_a_silent_dialer_closes():
    _, listener = connected()
    listener.now += peer_link.INCOMING_SILENCE_S + 0.1
    listener.link.check(listener.now, busy=False)
    assert listener.closed == 1


def test_unfinished_handshake_times_out():
    side = Side("kitview-1", is_dialer=True)
    side.now += peer_link.HANDSHAKE_TIMEOUT_S + 0.1
    side.link.check(side.now, busy=True)
    assert side.link.close_reason == "handshake timed out"


def test_a_malformed_frame_is_told_from_a_lost_link():
    dialer, other = connected()
    other.link.dataReceived(b"\x00\x00\x00\x03abc")
    assert other.link.is_malformed
    assert not dialer.link.is_malformed
