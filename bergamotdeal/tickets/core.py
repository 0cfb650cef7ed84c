"""A ticket and its encoding."""

import dataclasses
import hashlib
import struct

import result

from bergamotdeal.calls import core as calls

_VERSION = 1
_HEAD = struct.Struct(">B16sQQQBB")
MAC_BYTES = 16
MAX_TICKET_BYTES = _HEAD.size + 2 * 64 + MAC_BYTES
_FINGERPRINT_BYTES = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """The right to run one request once, on one incarnation of one node.

    Attributes:
      service: Service that the request calls.
      host_id: Host of the node that issued it.
      incarnation: That node's incarnation, in hex.
      serial: Number that the incarnation gave to no other ticket.
      use_by_ms: Time by which its request must have arrived, in milliseconds
        of the node's own monotonic clock.
      expires_ms: Time up to which its answer can be asked for, by the same
        clock.
      mac: Authentication code that only the incarnation can check.
    """

    service: str
    host_id: str
    incarnation: str
    serial: int
    use_by_ms: int
    expires_ms: int
    mac: bytes = b""

    def signed_part(self) -> bytes:
        """Returns the encoding without the authentication code."""
        service = self.service.encode()
        host_id = self.host_id.encode()
        head = _HEAD.pack(
            _VERSION,
            bytes.fromhex(self.incarnation),
            self.serial,
            self.use_by_ms,
            self.expires_ms,
            len(service),
            len(host_id),
        )
        return head + service + host_id

    def encode(self) -> bytes:
        """Returns the encoding that callers present."""
        return self.signed_part() + self.mac


def decode(data: bytes) -> result.Result[Ticket, str]:
    """Reads a ticket; its authentication code is not checked.

    Args:
      data: What a caller presented.

    Returns:
      The ticket, or what is wrong with it.
    """
    if not _HEAD.size + MAC_BYTES <= len(data) <= MAX_TICKET_BYTES:
        return result.Err("wrong length")
    (
        version,
        incarnation,
        serial,
        use_by_ms,
        expires_ms,
        service_size,
        host_size,
    ) = _HEAD.unpack_from(data)
    if version != _VERSION:
        return result.Err("unknown version")
    host_at = _HEAD.size + service_size
    mac_at = host_at + host_size
    if len(data) != mac_at + MAC_BYTES:
        return result.Err("wrong length")
    try:
        service = data[_HEAD.size : host_at].decode()
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


def fingerprint(request: calls.Request) -> str:
    """Returns what two sendings of the same request have in common.

    Args:
      request: A request; its headers don't count.

    Returns:
      A digest of service, method, path and body, in hex.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (request.service, request.method, request.path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
