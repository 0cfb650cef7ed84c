"""Tests of the count of buffered bytes and of the back-pressure."""

import pytest
from twisted.internet import task
from twisted.internet import tcp

from bergamotdeal.memory import core as memory
from bergamotdeal.node import connection_buffers

CAPACITY_BYTES = 1_000_000
LARGE = 400_000


class Transport(tcp.Connection):
    """Connection without a socket, whose other side reads when told to."""

    def __init__(self):
        self.connected = 1
        self.dataBuffer = b""
        self.offset = 0
        self._tempDataBuffer = []
        self._tempDataLen = 0
        self.is_reading = True
        self.is_aborted = False

    def write_unsent(self, size):
        self._tempDataLen += size

    def send(self, size):
        self._tempDataLen -= size

    def pauseProducing(self):
        self.is_reading = False

    def resumeProducing(self):
        self.is_reading = True

    def abortConnection(self):
        self.is_aborted = True
        self.connected = 0


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def body_memory():
    return memory.BodyMemory(capacity_bytes=CAPACITY_BYTES)


@pytest.fixture
def buffers(clock, body_memory):
    return connection_buffers.ConnectionBuffers(
        reactor=clock, body_memory=body_memory
    )


def advance(clock, seconds):
    interval_s = connection_buffers.CHECK_INTERVAL_S
    clock.pump([interval_s] * round(seconds / interval_s))


def test_unsent_bytes_count_until_they_are_sent(clock, body_memory, buffers):
    transport = Transport()
    transport.write_unsent(LARGE)
    buffers.watch_output(transport)
    buffers.watch_output(transport)
    assert body_memory.used_bytes == LARGE
    transport.send(LARGE - 1)
    advance(clock, 0.1)
    assert body_memory.used_bytes == 1
    transport.send(1)
    advance(clock, 0.1)
    assert body_memory.used_bytes == 0
    assert not clock.getDelayedCalls()


def test_sent_bytes_count_while_the_buffer_holds_them(
    clock, body_memory, buffers
):
    """Guards against readers that hold more than the node counts."""
    transport = Transport()
    transport.dataBuffer = bytes(LARGE)
    buffers.watch_output(transport)
    transport.offset = LARGE - 100
    advance(clock, 0.1)
    assert body_memory.used_bytes == LARGE
    transport.dataBuffer, transport.offset = bytes(100), 0
    advance(clock, 0.1)
    assert body_memory.used_bytes == 100
    transport.dataBuffer = b""
    advance(clock, 0.1)
    assert body_memory.used_bytes == 0


def test_lost_connection_buffers_nothing(clock, body_memory, buffers):
    transport = Transport()
    transport.write_unsent(LARGE)
    buffers.watch_output(transport)
    transport.connected = 0
    advance(clock, 0.1)
    assert body_memory.used_bytes == 0


# Guards against memory that callers hold for ever who read nothing of their
# answers, and against answers cut off for callers who read slowly.
def test_connection_is_aborted_only_if_nothing_is_read(clock, buffers):
    stalled, slow = Transport(), Transport()
    for transport in (stalled, slow):
        transport.write_unsent(LARGE)
        buffers.watch_output(transport)
    for _ in range(5):
        advance(clock, connection_buffers.STALL_TIMEOUT_S / 2)
        slow.send(1)
    assert stalled.is_aborted
    assert not slow.is_aborted


def test_unfinished_messages_count_until_they_are_complete(
    body_memory, buffers
):
    transport = Transport()
    buffers.update_input(transport, 100)
    assert body_memory.used_bytes == 0
    for size in (LARGE // 2, LARGE):
        buffers.update_input(transport, size)
        assert body_memory.used_bytes == size
    buffers.update_input(transport, 0)
    assert body_memory.used_bytes == 0


# Guards against unfinished messages that take all memory at a time.
def test_connections_are_not_read_while_memory_is_full(clock, buffers):
    transports = [Transport() for _ in range(4)]
    for transport in transports:
        buffers.update_input(transport, LARGE)
    assert [each.is_reading for each in transports] == [
        True,
        True,
        False,
        False,
    ]
    assert buffers.is_input_paused(transports[2])
    buffers.discard_input(transports[0])
    buffers.discard_input(transports[1])
    advance(clock, 0.05)
    assert all(each.is_reading for each in transports)
    assert not buffers.is_input_paused(transports[2])


def test_paused_connections_are_read_in_turn(clock, buffers):
    """Guards against messages that wait for one another for ever."""
    transports = [Transport() for _ in range(4)]
    for transport in transports:
        buffers.update_input(transport, CAPACITY_BYTES)
    read_counts = [0] * len(transports)
    for _ in range(40):
        advance(clock, 0.05)
        for index, transport in enumerate(transports):
            if transport.is_reading:
                read_counts[index] += 1
                buffers.update_input(transport, CAPACITY_BYTES + 1)
    assert min(read_counts) >= 10


def test_paused_connection_is_read_once_its_message_is_dropped(buffers):
    transport = Transport()
    buffers.update_input(transport, 2 * CAPACITY_BYTES)
    assert not transport.is_reading
    buffers.discard_input(transport)
    assert transport.is_reading
