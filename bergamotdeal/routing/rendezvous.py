"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from collections.abc import Iterable
import hashlib

_DIGEST_BYTES = 8


def weight(key: str, name: str) -> int:
    """Returns the weight of a name for a key; the highest weight wins."""
    text = f"{key}\0{name}".encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest())


def best(key: str, names: Iterable[str]) -> str | None:
    """Returns the name with the highest weight, or None without names."""
    return max(names, key=lambda name: weight(key, name), default=None)


def ranked(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the names with the highest weights.

    Args:
      key: What the names are ranked for.
      names: Candidates.
      count: Names to return at most.
    """
    by_weight = sorted(names, key=lambda name: weight(key, name), reverse=True)
    return by_weight[:count]
