"""Mutual authentication of a peer link by a shared key.

Each side sends a nonce, then a keyed digest (HMAC) of both hello messages. The
digest includes the sender's role, so that a side's proof can't be reflected
to it.
"""

import hashlib
import hmac

from bergamotdeal.wire import messages

NONCE_BYTES = 16
DIALER = b"dialer"
LISTENER = b"listener"


def compute_proof(
    *,
    key: bytes,
    role: bytes,
    sender: messages.Hello,
    receiver: messages.Hello,
) -> bytes:
    """Computes the proof that a side sends.

    Args:
      key: The shared key.
      role: Role of the sender, ``DIALER`` or ``LISTENER``.
      sender: The sender's hello message.
      receiver: The receiver's hello message.

    Returns:
      The HMAC-SHA256 digest.
    """
    digest = hmac.new(key, role, hashlib.sha256)
    for hello in (sender, receiver):
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
    """Verifies the proof of the other side.

    Args:
      key: The shared key.
      role: Role of the sender, ``DIALER`` or ``LISTENER``.
      sender: The sender's hello message.
      receiver: The receiver's hello message.
      digest: The received digest.

    Returns:
      Whether the sender knows the key.
    """
    expected = compute_proof(
        key=key, role=role, sender=sender, receiver=receiver
    )
    return hmac.compare_digest(expected, digest)
