"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from collections.abc import Mapping
import hashlib

from bergamotdeal.utils import hashing

_DIGEST_BYTES = 8


def digest(text: str) -> int:
    """Returns a 64-bit digest of a text, equal on every node."""
    hashed = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest())


def select_name(key: str, digests_by_name: Mapping[str, int]) -> str | None:
    """Returns the candidate with the highest weight for a key.

    Args:
      key: Key to place, such as a user request id.
      digests_by_name: Digests of the candidates by name.

    Returns:
      The name of the candidate, or None if there are none.
    """
    key_digest = digest(key)
    mix = hashing.split_mix_64
    return max(
        digests_by_name,
        key=lambda name: (mix(key_digest ^ digests_by_name[name]), name),
        default=None,
    )


def rank_names(
    key: str, digests_by_name: Mapping[str, int], count: int
) -> list[str]:
    """Returns the candidates with the highest weights in descending order.

    Args:
      key: Key for which the candidates are ranked.
      digests_by_name: Digests of the candidates by name.
      count: Maximum number of names to return.
    """
    key_digest = digest(key)
    mix = hashing.split_mix_64
    names_by_weight = sorted(
        digests_by_name,
        key=lambda name: (mix(key_digest ^ digests_by_name[name]), name),
        reverse=True,
    )
    return names_by_weight[:count]
