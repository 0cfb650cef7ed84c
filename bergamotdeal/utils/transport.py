"""What a node asks of its TCP connections beyond Twisted's defaults."""

import socket

from twisted.internet import interfaces
from twisted.internet import tcp


def write_now(transport: interfaces.ITransport, data: bytes) -> None:
    """Writes bytes at once if nothing waits before them.

    ``transport.write`` registers for writability and sends in the reactor's
    next turn, which costs three system calls more per message.

    Args:
      transport: A connected transport; only real TCP is written at once.
      data: The bytes to write.
    """
    if not _can_write_now(transport):
        transport.write(data)
        return
    sent = transport.writeSomeData(data)
    if not isinstance(sent, int) or sent < 0:
        # The connection is lost; write() makes the reactor notice it.
        transport.write(data)
        return
    if sent < len(data):
        transport.write(data[sent:])


def _can_write_now(transport: interfaces.ITransport) -> bool:
    if not isinstance(transport, tcp.Connection):
        return False
    return bool(
        transport.connected
        and not transport.disconnecting
        and not transport.dataBuffer
        and not transport._tempDataBuffer
    )


KEEPALIVE_IDLE_S = 1
"""Silence before the first keep-alive probe; a cut is to be known in 3 s."""

KEEPALIVE_INTERVAL_S = 1
"""Time between keep-alive probes."""

KEEPALIVE_PROBES = 2
"""Probes without an answer after which the connection is lost."""

UNACKED_TIMEOUT_MS = 3000
"""Time for which sent bytes may stay without an acknowledgement."""


def enable_dead_peer_detection(transport: interfaces.ITransport) -> None:
    """Lets the kernel end a connection whose other end has fallen silent.

    Args:
      transport: A connected transport; only real TCP has the options.
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


def has_unsent_data(transport: interfaces.ITransport) -> bool:
    """Whether bytes that were written have not left the process.

    Args:
      transport: A connected transport; only real TCP is looked into.
    """
    if not isinstance(transport, tcp.Connection):
        return False
    return bool(transport.dataBuffer or transport._tempDataBuffer)


def disable_nagle(transport: interfaces.ITransport) -> None:
    """Turns Nagle's algorithm off where there is one.

    Args:
      transport: A connected transport.
    """
    if interfaces.ITCPTransport.providedBy(transport):
        transport.setTcpNoDelay(True)
