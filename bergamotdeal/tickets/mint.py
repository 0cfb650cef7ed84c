"""Issue and verification of the tickets of one incarnation of a node."""

import hashlib
import hmac

import result

from bergamotdeal.errors import core as errors
from bergamotdeal.tickets import core

KEY_BYTES = 32


class TicketIssuer:
    """Issuer and verifier of the tickets of one incarnation.

    Args:
      host_id: Host of the node.
      incarnation: Incarnation of the node in hex.
      key: Random secret key, never shared and discarded with the incarnation.
    """

    def __init__(self, *, host_id: str, incarnation: str, key: bytes):
        self._host_id = host_id
        self._incarnation = incarnation
        self._key = key

    def issue(
        self, *, service: str, serial: int, use_by_ms: int, expires_ms: int
    ) -> bytes:
        """Issues a ticket.

        Args:
          service: Service that the request calls.
          serial: Serial number that no other ticket has.
          use_by_ms: Latest first use, in milliseconds of this node's clock.
          expires_ms: Expiry, in milliseconds of the same clock.

        Returns:
          The encoded ticket.
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
        """Verifies that this incarnation issued a ticket.

        Args:
          data: Encoded ticket, untrusted.

        Returns:
          The ticket, or the error kind to refuse it with.
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
