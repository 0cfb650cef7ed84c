"""Limit on the bytes of an HTTP message that are not its body."""

from bergamotdeal.rpc import core as rpc

_MAX_FRAMING_PER_BODY_BYTE = 8
"""Bytes of chunk sizes for each byte of a body; a chunk of one byte takes 5."""


def exceeds_limit(received_bytes: int, body_bytes: int) -> bool:
    """Returns whether an incomplete message has too many bytes but its body.

    It bounds a head, interim responses, chunk extensions and trailers without
    end, of which the parser reports nothing or collects all.

    Args:
      received_bytes: Bytes of the message so far.
      body_bytes: Bytes of its body among them.
    """
    framing_bytes = received_bytes - body_bytes
    limit = rpc.MAX_HEADER_BYTES + _MAX_FRAMING_PER_BODY_BYTE * body_bytes
    return framing_bytes > limit
