"""Keyed handshake of a peer link.

Each side sends a nonce, then a digest over both greetings under the shared
key; the role in the digest keeps one side's proof from being sent back to it.
"""

import hashlib
import hmac

from bergamotdeal.wire import messages

NONCE_BYTES = 16
DIALER = b"dialer"
LISTENER = b"listener"


def proof(
    *,
    key: bytes,
    role: bytes,
    own: messages.Hello,
    other: messages.Hello,
) -> bytes:
    """Computes the digest that a side sends.

    Args:
      key: The shared key.
      role: ``DIALER`` or ``LISTENER``, the sender's role.
      own: The sender's greeting.
      other: The receiver's greeting.

    Returns:
      The digest.
    """
    digest = hmac.new(key, role, hashlib.sha256)
    for hello in (own, other):
        for part in (
            hello.host_id.encode(),
            hello.incarnation.encode(),
            hello.nonce,
        ):
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
    return digest.digest()


def is_proof_valid(
    *,
    key: bytes,
    role: bytes,
    sender: messages.Hello,
    receiver: messages.Hello,
    digest: bytes,
) -> bool:
    """Checks the digest that the other side sent.

    Args:
      key: The shared key.
      role: The sender's role.
      sender: The sender's greeting.
      receiver: The receiver's greeting.
      digest: What was received.

    Returns:
      Whether the sender knows the key.
    """
    expected = proof(key=key, role=role, own=sender, other=receiver)
    return hmac.compare_digest(expected, digest)
