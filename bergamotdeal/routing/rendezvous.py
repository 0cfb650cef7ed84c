"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from collections.abc import Mapping
import hashlib

from bergamotdeal.admission import hashing

_DIGEST_BYTES = 8


def digest(text: str) -> int:
    """Returns 64 bits that every node computes alike for a text."""
    hashed = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest())


def best(key: str, digests_by_name: Mapping[str, int]) -> str | None:
    """Returns the name with the highest weight, or None without names.

    Args:
      key: What the choice depends on.
      digests_by_name: The candidates' own digests.
    """
    key_digest = digest(key)
    mix = hashing.split_mix_64
    return max(
        digests_by_name,
        key=lambda name: (mix(key_digest ^ digests_by_name[name]), name),
        default=None,
    )


def ranked(
    key: str, digests_by_name: Mapping[str, int], count: int
) -> list[str]:
    """Returns the names with the highest weights, best first.

    Args:
      key: What the names are ranked for.
      digests_by_name: The candidates' own digests.
      count: Names to return at most.
    """
    key_digest = digest(key)
    mix = hashing.split_mix_64
    by_weight = sorted(
        digests_by_name,
        key=lambda name: (mix(key_digest ^ digests_by_name[name]), name),
        reverse=True,
    )
    return by_weight[:count]
