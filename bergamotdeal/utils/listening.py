"""Listening sockets that a process opens before its imports.

Callers then wait in the kernel's queue during the start instead of being
refused. The module imports nothing but sockets, so that it is ready at once.
"""

import socket

BACKLOG = 1024
"""Connections that wait to be accepted."""

_open_sockets_by_endpoint: dict[tuple[str, int], socket.socket] = {}


def open_early(address: str, port: int) -> None:
    """Opens a listening TCP socket and keeps it until it is claimed.

    Args:
      address: IPv4 address to bind.
      port: TCP port to bind.

    Raises:
      OSError: The address or the port can't be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((address, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    _open_sockets_by_endpoint[address, port] = listener


def claim(address: str, port: int) -> socket.socket | None:
    """Returns the socket that is open at an address, which it no longer keeps.

    Args:
      address: IPv4 address.
      port: TCP port.
    """
    return _open_sockets_by_endpoint.pop((address, port), None)
