"""TCP connection options and writes beyond Twisted's defaults."""

import socket

from twisted.internet import interfaces
from twisted.internet import tcp


def write_now(transport: interfaces.ITransport, data: bytes) -> None:
    """Writes bytes immediately if the write buffer is empty.

    ``transport.write`` registers for writability and sends in the next reactor
    iteration, which costs three more system calls per message.

    Args:
      transport: A connected transport; any but a TCP connection is written to
        through its buffer.
      data: The bytes to write.
    """
    if (
        not isinstance(transport, tcp.Connection)
        or not transport.connected
        or transport.disconnecting
        or transport.dataBuffer
        or transport._tempDataBuffer
    ):
        transport.write(data)
        return
    try:
        sent = transport.socket.send(data)
    except OSError:
        # The kernel's buffer is full, or the connection is lost, which write()
        # lets the reactor detect.
        sent = 0
    if sent < len(data):
        transport.write(data[sent:])


KEEPALIVE_IDLE_S = 1
"""Idle time before the first probe; a dead peer is to be detected in 3 s."""

KEEPALIVE_INTERVAL_S = 1
"""Interval between keep-alive probes."""

KEEPALIVE_PROBES = 2
"""Unanswered probes after which the kernel closes the connection."""

UNACKED_TIMEOUT_MS = 3000
"""Maximum time that sent bytes may stay unacknowledged."""

WINDOW_BYTES = 64 * 1024
"""Bytes that a receiver takes before it reads. More of them wait while its
window is closed, which the kernel counts as unacknowledged as well."""


def enable_dead_peer_detection(transport: interfaces.ITransport) -> None:
    """Enables TCP keep-alive and the user timeout on a connection.

    The kernel then closes the connection if the peer stops responding.

    Args:
      transport: A connected transport; ignored unless it is a TCP connection.
    """
    if not isinstance(transport, tcp.Connection):
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
    )
    for level, option, value in options:
        transport.socket.setsockopt(level, option, value)


def set_unacked_timeout(
    transport: interfaces.ITransport, timeout_ms: int
) -> None:
    """Sets the time after which a peer that acknowledges nothing is gone.

    Args:
      transport: A connected transport; ignored unless it is a TCP connection.
      timeout_ms: The time in milliseconds; ``UNACKED_TIMEOUT_MS`` at least.
    """
    if isinstance(transport, tcp.Connection):
        transport.socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            max(UNACKED_TIMEOUT_MS, timeout_ms),
        )


def has_unsent_data(transport: interfaces.ITransport) -> bool:
    """Returns whether written bytes are still buffered in the process.

    Args:
      transport: A connected transport; False unless it is a TCP connection.
    """
    return get_unsent_bytes(transport) > 0


def get_unsent_bytes(transport: interfaces.ITransport) -> int:
    """Returns the number of written bytes that the process still buffers.

    Args:
      transport: A transport; zero unless it is an open TCP connection.
    """
    if not isinstance(transport, tcp.Connection) or not transport.connected:
        return 0
    return len(transport.dataBuffer) - transport.offset + transport._tempDataLen


def get_buffered_bytes(transport: interfaces.ITransport) -> int:
    """Returns the number of bytes that the write buffer of a transport holds.

    Bytes that are sent are held with the unsent ones until the buffer is
    copied or empty.

    Args:
      transport: A transport; zero unless it is an open TCP connection.
    """
    if not isinstance(transport, tcp.Connection) or not transport.connected:
        return 0
    return len(transport.dataBuffer) + transport._tempDataLen


def disable_nagle(transport: interfaces.ITransport) -> None:
    """Disables Nagle's algorithm so that small writes are sent at once.

    Args:
      transport: A connected transport; ignored unless it provides
        ``ITCPTransport``.
    """
    if interfaces.ITCPTransport.providedBy(transport):
        transport.setTcpNoDelay(True)
