"""Writes to a transport without waiting for the reactor's next turn."""

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


def send_small_writes_at_once(transport: interfaces.ITransport) -> None:
    """Turns Nagle's algorithm off where there is one.

    Args:
      transport: A connected transport.
    """
    if interfaces.ITCPTransport.providedBy(transport):
        transport.setTcpNoDelay(True)
