"""Handshake, frames and heartbeats of a peer link."""

import random

import pytest
from twisted.internet import task
from twisted.internet import testing

from bergamotdeal.errors import core as errors
from bergamotdeal.memory import core as memory
from bergamotdeal.node import connection_buffers
from bergamotdeal.node import peer_link
from bergamotdeal.rpc import core as rpc
from bergamotdeal.wire import codec
from bergamotdeal.wire import messages

KEY = b"0123456789abcdef"


class LinkSide:
    def __init__(
        self,
        host_id,
        *,
        is_dialer,
        key=KEY,
        expected_host_id=None,
        data_centre="",
        buffers=None,
    ):
        self.now = 0.0
        self.open_count = 0
        self.frames = []
        self.close_count = 0
        builder = peer_link.LinkBuilder(
            host_id=host_id,
            incarnation=host_id * 2,
            key=key,
            rng=random.Random(host_id),
            clock=lambda: self.now,
            data_centre=data_centre,
            buffers=buffers,
        )
        self.link = builder.build(
            is_dialer=is_dialer,
            expected_host_id=expected_host_id,
            on_open=self._on_open,
            on_frame=lambda _, frame: self.frames.append(frame),
            on_closed=self._on_closed,
        )
        self.transport = testing.StringTransport()
        self.link.makeConnection(self.transport)

    def _on_open(self, _):
        self.open_count += 1

    def _on_closed(self, _):
        self.close_count += 1

    def take_sent_bytes(self):
        data = self.transport.value()
        self.transport.clear()
        return data

    @property
    def is_open(self):
        return self.link.state is peer_link.LinkState.OPEN


def exchange_bytes(a, b):
    while True:
        from_a, from_b = a.take_sent_bytes(), b.take_sent_bytes()
        if not from_a and not from_b:
            return
        b.link.dataReceived(from_a)
        a.link.dataReceived(from_b)


def connect_sides(**listener):
    dialer = LinkSide(
        "kitview-1", is_dialer=True, expected_host_id="orderline-1"
    )
    other = LinkSide("orderline-1", is_dialer=False, **listener)
    exchange_bytes(dialer, other)
    return dialer, other


def answer_frame(number):
    return messages.AnswerFrame(
        number=number,
        user_request_id="r-1",
        answer=rpc.Answer(
            outcome=errors.Outcome.COMPLETED, status=200, body=b"hello"
        ),
    )


def encode_frame(frame):
    data = codec.encode(frame)
    return len(data).to_bytes(4, "big") + data


def test_handshake_with_shared_key_opens_both_sides():
    dialer, listener = connect_sides()
    assert dialer.is_open and listener.is_open
    assert (dialer.open_count, listener.open_count) == (1, 1)


def test_handshake_with_different_keys_opens_neither_side():
    dialer, listener = connect_sides(key=b"another key 0123")
    assert not dialer.open_count and not listener.open_count
    assert "invalid proof of the shared key" in (
        dialer.link.close_reason,
        listener.link.close_reason,
    )


def test_handshake_with_reflected_proof_does_not_open():
    """Guards against a peer without the key that echoes the proof it got."""
    victim = LinkSide("orderline-1", is_dialer=False)
    hello = victim.take_sent_bytes()
    victim.link.dataReceived(hello)
    proof = victim.take_sent_bytes()
    victim.link.dataReceived(proof)
    assert not victim.open_count


def test_handshake_with_unexpected_host_is_rejected():
    dialer = LinkSide(
        "kitview-1", is_dialer=True, expected_host_id="orderline-9"
    )
    listener = LinkSide("orderline-1", is_dialer=False)
    exchange_bytes(dialer, listener)
    assert not dialer.open_count
    assert (
        dialer.link.close_reason
        == "host orderline-1 answered instead of orderline-9"
    )


@pytest.mark.parametrize(
    "data",
    [
        encode_frame(answer_frame(1)),
        encode_frame(messages.Proof(digest=b"x" * 32)),
        encode_frame(
            messages.Hello(host_id="h", incarnation="i", nonce=b"short")
        ),
        b"\x00\x00\x00\x08notcapnp",
        b"\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 10,
    ],
    ids=["answer", "proof", "nonce", "garbage", "length", "http"],
)
def test_invalid_data_before_handshake_closes_link(data):
    side = LinkSide("orderline-1", is_dialer=False)
    side.link.dataReceived(data)
    assert side.close_count == 1
    assert side.frames == []


def test_second_hello_closes_link():
    dialer, _ = connect_sides()
    hello = messages.Hello(host_id="h", incarnation="i", nonce=b"n" * 16)
    dialer.link.dataReceived(encode_frame(hello))
    assert dialer.close_count == 1


def test_answer_truncated_at_any_byte_is_not_delivered():
    data = encode_frame(answer_frame(7))
    for length in range(len(data)):
        dialer, _ = connect_sides()
        dialer.link.dataReceived(data[:length])
        dialer.link.connectionLost()
        assert dialer.frames == []
    dialer, _ = connect_sides()
    dialer.link.dataReceived(data)
    assert dialer.frames == [answer_frame(7)]


def test_frame_after_close_is_not_delivered():
    dialer, _ = connect_sides()
    dialer.link.close("test")
    dialer.link.dataReceived(encode_frame(answer_frame(7)))
    assert dialer.frames == []


def test_busy_link_closes_after_two_unanswered_pings():
    dialer, _ = connect_sides()
    for _ in range(peer_link.MAX_UNANSWERED_PINGS):
        dialer.now += peer_link.BUSY_PING_INTERVAL_S
        dialer.link.check(dialer.now, has_pending_calls=True)
        assert dialer.is_open
    dialer.now += peer_link.BUSY_PING_INTERVAL_S
    dialer.link.check(dialer.now, has_pending_calls=True)
    assert dialer.close_count == 1
    assert dialer.link.close_reason == "silent"


def test_answered_pings_keep_link_open():
    dialer, listener = connect_sides()
    for _ in range(20):
        dialer.now += peer_link.BUSY_PING_INTERVAL_S
        dialer.link.check(dialer.now, has_pending_calls=True)
        exchange_bytes(dialer, listener)
    assert dialer.is_open


def test_incoming_link_of_silent_dialer_is_closed():
    _, listener = connect_sides()
    listener.now += peer_link.INCOMING_TIMEOUT_S + 0.1
    listener.link.check(listener.now, has_pending_calls=False)
    assert listener.close_count == 1


def test_unfinished_handshake_times_out():
    side = LinkSide("kitview-1", is_dialer=True)
    side.now += peer_link.HANDSHAKE_TIMEOUT_S + 0.1
    side.link.check(side.now, has_pending_calls=True)
    assert side.link.close_reason == "handshake timed out"


def test_malformed_frame_is_distinguished_from_lost_link():
    dialer, other = connect_sides()
    other.link.dataReceived(b"\x00\x00\x00\x03abc")
    assert other.link.has_malformed_input
    assert not dialer.link.has_malformed_input


def _send_answers(data_centres, count=20):
    """Returns the bytes of some answers on a link, and the frames received."""
    dialer, listener = (
        LinkSide(f"host-{i}", is_dialer=i == 0, data_centre=data_centre)
        for i, data_centre in enumerate(data_centres)
    )
    exchange_bytes(dialer, listener)
    sent = 0
    for number in range(count):
        dialer.link.send(answer_frame(number))
        data = dialer.take_sent_bytes()
        sent += len(data)
        listener.link.dataReceived(data)
    return sent, listener.frames


def test_frames_between_data_centres_are_compressed():
    """Bytes between data centres are the dearest price of a large fleet."""
    local_bytes, local_frames = _send_answers(("prai", "prai"))
    remote_bytes, remote_frames = _send_answers(("prai", "kulim"))
    assert remote_frames == local_frames
    assert len(remote_frames) == 20
    assert remote_bytes < 0.4 * local_bytes


def test_malformed_compressed_frame_closes_link():
    dialer = LinkSide("host-1", is_dialer=True, data_centre="prai")
    listener = LinkSide("host-2", is_dialer=False, data_centre="kulim")
    exchange_bytes(dialer, listener)
    listener.link.dataReceived((3).to_bytes(4, "big") + b"\x01\xff\xff")
    assert listener.close_count == 1
    assert listener.link.has_malformed_input


def build_large_frame(number, size):
    return messages.AnswerFrame(
        number=number,
        user_request_id="r-1",
        answer=rpc.Answer(
            outcome=errors.Outcome.COMPLETED, status=200, body=b"x" * size
        ),
    )


@pytest.mark.parametrize("step", [1, 3, 1000, 65_536, 10**6])
def test_large_frames_arrive_whole_in_parts_of_any_size(step):
    dialer, _ = connect_sides()
    sizes = [0, 2000, 5, 4096, 1] if step < 1000 else [0, 200_000, 5, 90_000, 1]
    sent = [build_large_frame(n, size) for n, size in enumerate(sizes)]
    data = b"".join(map(encode_frame, sent))
    for start in range(0, len(data), step):
        dialer.link.dataReceived(data[start : start + step])
    assert dialer.frames == sent


class TestFullMemory:
    """Guards against links that a node without memory reads on or loses."""

    def connect(self):
        body_memory = memory.BodyMemory(capacity_bytes=100_000)
        self.buffers = connection_buffers.ConnectionBuffers(
            reactor=task.Clock(), body_memory=body_memory
        )
        self.memory = body_memory
        return connect_sides(buffers=self.buffers)

    def test_unfinished_frame_counts_until_it_is_complete(self):
        _, listener = self.connect()
        data = encode_frame(build_large_frame(1, 80_000))
        listener.link.dataReceived(data[:50_000])
        assert self.memory.used_bytes == 50_000
        listener.link.dataReceived(data[50_000:])
        assert self.memory.used_bytes == 0
        assert len(listener.frames) == 1

    def test_unfinished_frame_of_a_lost_link_does_not_count(self):
        _, listener = self.connect()
        data = encode_frame(build_large_frame(1, 80_000))
        listener.link.dataReceived(data[:50_000])
        listener.link.connectionLost()
        assert self.memory.used_bytes == 0

    def test_link_that_is_not_read_is_not_taken_for_silent(self):
        dialer, listener = self.connect()
        data = encode_frame(build_large_frame(1, 300_000))
        listener.link.dataReceived(data[:150_000])
        assert listener.transport.producerState == "paused"
        for now in range(1, 40):
            dialer.now = listener.now = now / 2
            # The listener reads nothing of what the dialer sends.
            dialer.link.check(dialer.now, has_pending_calls=True)
            dialer.take_sent_bytes()
            listener.link.check(listener.now, has_pending_calls=False)
            dialer.link.dataReceived(listener.take_sent_bytes())
        assert dialer.is_open and listener.is_open


# Guards against a link that is closed as silent, with all its calls, while a
# large frame takes its time on a slow network.
def test_link_is_not_silent_while_a_large_frame_arrives():
    dialer, listener = connect_sides()
    data = encode_frame(build_large_frame(1, 100_000))
    for index in range(0, len(data), 10_000):
        for side in (dialer, listener):
            side.now += 0.6
        dialer.link.dataReceived(data[index : index + 10_000])
        dialer.link.check(dialer.now, has_pending_calls=True)
    assert dialer.is_open
    assert len(dialer.frames) == 1


def test_link_is_not_silent_while_a_large_frame_is_sent(monkeypatch):
    dialer, _ = connect_sides()
    unsent_bytes = iter(range(10_000_000, 0, -500_000))
    monkeypatch.setattr(
        peer_link.transport, "get_unsent_bytes", lambda _: next(unsent_bytes)
    )
    for _ in range(20):
        dialer.now += 0.6
        dialer.link.check(dialer.now, has_pending_calls=True)
    assert dialer.is_open
    monkeypatch.setattr(
        peer_link.transport, "get_unsent_bytes", lambda _: 500_000
    )
    for _ in range(5):
        dialer.now += 0.6
        dialer.link.check(dialer.now, has_pending_calls=True)
    assert dialer.link.close_reason == "silent"
