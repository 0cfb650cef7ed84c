"""Ticket data type and its encoding."""

import hashlib
import struct

import msgspec
import result

from bergamotdeal.rpc import core as rpc

_VERSION = 1
_HEADER = struct.Struct(">B16sQQQBB")
MAC_BYTES = 16
MAX_TICKET_BYTES = _HEADER.size + 2 * 64 + MAC_BYTES
_FINGERPRINT_BYTES = 16


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to run one request once, on one incarnation of one node.

    Attributes:
      service: Service that the request calls.
      host_id: Host of the node that issued the ticket.
      incarnation: Incarnation of that node in hex.
      serial: Serial number, unique within the incarnation.
      use_by_ms: Time by which the request must have arrived, in milliseconds
        of the issuer's monotonic clock.
      expires_ms: Time until which the answer can be requested, in
        milliseconds of the same clock.
      mac: Message authentication code that only the incarnation can verify.
    """

    service: str
    host_id: str
    incarnation: str
    serial: int
    use_by_ms: int
    expires_ms: int
    mac: bytes = b""

    def signed_part(self) -> bytes:
        """Returns the encoding without the message authentication code."""
        service = self.service.encode()
        host_id = self.host_id.encode()
        header = _HEADER.pack(
            _VERSION,
            bytes.fromhex(self.incarnation),
            self.serial,
            self.use_by_ms,
            self.expires_ms,
            len(service),
            len(host_id),
        )
        return header + service + host_id

    def encode(self) -> bytes:
        """Returns the complete encoding, as callers present it."""
        return self.signed_part() + self.mac


def decode(data: bytes) -> result.Result[Ticket, str]:
    """Decodes a ticket without verifying its authentication code.

    Args:
      data: Encoded ticket, untrusted.

    Returns:
      The ticket, or a description of the error.
    """
    if not _HEADER.size + MAC_BYTES <= len(data) <= MAX_TICKET_BYTES:
        return result.Err("wrong length")
    (
        version,
        incarnation,
        serial,
        use_by_ms,
        expires_ms,
        service_size,
        host_size,
    ) = _HEADER.unpack_from(data)
    if version != _VERSION:
        return result.Err("unknown version")
    host_at = _HEADER.size + service_size
    mac_at = host_at + host_size
    if len(data) != mac_at + MAC_BYTES:
        return result.Err("wrong length")
    try:
        service = data[_HEADER.size : host_at].decode()
        host_id = data[host_at:mac_at].decode()
    except UnicodeDecodeError:
        return result.Err("name is not UTF-8")
    ticket = Ticket(
        service=service,
        host_id=host_id,
        incarnation=incarnation.hex(),
        serial=serial,
        use_by_ms=use_by_ms,
        expires_ms=expires_ms,
        mac=data[mac_at:],
    )
    return result.Ok(ticket)


def compute_fingerprint(request: rpc.Request) -> str:
    """Computes a digest that is equal for all attempts of a request.

    Args:
      request: Request; its headers are not included.

    Returns:
      The digest of service, method, path and body in hex.
    """
    target = f"{request.service}\0{request.method}\0{request.path}\0"
    return hashlib.blake2b(
        target.encode() + request.body, digest_size=_FINGERPRINT_BYTES
    ).hexdigest()
