"""Loopback networks for the fleets of tests and measurements.

Each fleet has a network of its own in 127.0.0.0/8, with fixed ports on each
address. A socket that stays bound to one address of the network claims it, so
that fleets of concurrent processes can't share one.
"""

import os
import socket

_CLAIM_PORT = 6999
_CLAIM_HOST = 254
_SECOND_OCTETS = 250
_THIRD_OCTETS = 250
_NETWORKS_PER_PROCESS = 8


class NetworkClaim:
    """A claim on a loopback network, held until it is released.

    Attributes:
      prefix: First three octets of the network's addresses.

    Raises:
      OSError: All networks are claimed.
    """

    def __init__(self) -> None:
        first = os.getpid() * _NETWORKS_PER_PROCESS
        for offset in range(_SECOND_OCTETS * _THIRD_OCTETS):
            number = first + offset
            second = 1 + number // _THIRD_OCTETS % _SECOND_OCTETS
            self.prefix = f"127.{second}.{number % _THIRD_OCTETS}"
            self._socket = socket.socket()
            try:
                self._socket.bind((self.address(_CLAIM_HOST), _CLAIM_PORT))
            except OSError:
                self._socket.close()
                continue
            return
        raise OSError("all loopback networks are claimed")

    def address(self, host: int) -> str:
        """Returns an address of the network.

        Args:
          host: Last octet of the address.
        """
        return f"{self.prefix}.{host}"

    def release(self) -> None:
        """Lets other fleets use the network; its processes have ended."""
        self._socket.close()
