"""Issue and verification of tickets by one incarnation of a node."""

import hashlib
import hmac

import result

from bergamotdeal.errors import core as errors
from bergamotdeal.tickets import core

KEY_BYTES = 32


class TicketIssuer:
    """Signs the tickets of one incarnation.

    Args:
      host_id: Host of the node.
      incarnation: The node's incarnation, in hex.
      key: Random key; it is never shared and dies with the incarnation.
    """

    def __init__(self, *, host_id: str, incarnation: str, key: bytes):
        self._host_id = host_id
        self._incarnation = incarnation
        self._key = key

    def issue(
        self, *, service: str, serial: int, use_by_ms: int, expires_ms: int
    ) -> bytes:
        """Returns an encoded ticket.

        Args:
          service: Service that the request calls.
          serial: Number that was used for no other ticket.
          use_by_ms: Latest first use, in milliseconds of this node's clock.
          expires_ms: Expiry, in milliseconds of the same clock.
        """
        ticket = core.Ticket(
            service=service,
            host_id=self._host_id,
            incarnation=self._incarnation,
            serial=serial,
            use_by_ms=use_by_ms,
            expires_ms=expires_ms,
        )
        signed_part = ticket.signed_part()
        return signed_part + self._mac(signed_part)

    def verify(
        self, data: bytes
    ) -> result.Result[core.Ticket, errors.ErrorKind]:
        """Checks that this incarnation issued a ticket.

        Args:
          data: What a caller presented.

        Returns:
          The ticket, or the reason to refuse it.
        """
        match core.decode(data):
            case result.Ok(ticket):
                pass
            case _:
                return result.Err(errors.ErrorKind.TICKET_INVALID)
        if ticket.incarnation != self._incarnation:
            return result.Err(errors.ErrorKind.TICKET_LOST)
        if not hmac.compare_digest(ticket.mac, self._mac(ticket.signed_part())):
            return result.Err(errors.ErrorKind.TICKET_INVALID)
        return result.Ok(ticket)

    def _mac(self, signed_part: bytes) -> bytes:
        digest = hashlib.blake2b(
            signed_part, key=self._key, digest_size=core.MAC_BYTES
        )
        return digest.digest()
