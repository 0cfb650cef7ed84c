"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from collections.abc import Mapping
import hashlib
import heapq

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
    return rank_names_by_digest(digest(key), digests_by_name, count)


def rank_names_by_digest(
    key_digest: int, digests_by_name: Mapping[str, int], count: int
) -> list[str]:
    """Returns the candidates with the highest weights in descending order.

    Args:
      key_digest: Digest of the key for which the candidates are ranked.
      digests_by_name: Digests of the candidates by name.
      count: Maximum number of names to return.
    """
    mix = hashing.split_mix_64
    return heapq.nlargest(
        count,
        digests_by_name,
        key=lambda name: (mix(key_digest ^ digests_by_name[name]), name),
    )


def find_rank(
    key_digest: int, name: str, digests_by_name: Mapping[str, int], count: int
) -> int | None:
    """Returns the rank of a candidate if it is among the first, else None.

    Args:
      key_digest: Digest of the key.
      name: Name of the candidate.
      digests_by_name: Digests of the candidates by name.
      count: Number of candidates that are among the first.

    Returns:
      The number of candidates with a higher weight, below ``count``, or None.
    """
    own_digest = digests_by_name.get(name)
    if own_digest is None:
        return None
    mix = hashing.split_mix_64
    own_weight = (mix(key_digest ^ own_digest), name)
    higher_count = 0
    for other, other_digest in digests_by_name.items():
        if (mix(key_digest ^ other_digest), other) > own_weight:
            higher_count += 1
            if higher_count >= count:
                return None
    return higher_count
