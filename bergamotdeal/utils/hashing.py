"""Hashes that determine which requests are shed first."""

import hashlib

_HASH_BYTES = 8
_HASH_VALUES = 1 << (8 * _HASH_BYTES)
_UINT64_MASK = _HASH_VALUES - 1
_PERSONALIZATION = b"bergamot-share"


def hash_share(user_request_id: str) -> float:
    """Returns the position of a user request in the shedding order.

    Every node computes the same value, so under overload all nodes keep
    and shed the same user requests.

    Args:
      user_request_id: Id of the user request at the root of the call tree.

    Returns:
      A number in [0, 1), uniform over ids. Low values are shed last.
    """
    digest = hashlib.blake2b(
        user_request_id.encode(),
        digest_size=_HASH_BYTES,
        person=_PERSONALIZATION,
    )
    return min(int.from_bytes(digest.digest()) / _HASH_VALUES, 1.0 - 2.0**-53)


def split_mix_64(number: int) -> int:
    """Applies the SplitMix64 mixing function to a 64-bit integer.

    Source: Steele, Lea and Flood, "Fast splittable pseudorandom number
    generators", 2014.
    """
    value = (number + 0x9E3779B97F4A7C15) & _UINT64_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _UINT64_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _UINT64_MASK
    return value ^ (value >> 31)


def job_hash_share(job_id: int) -> float:
    """Returns a pseudorandom position in the shedding order for a job.

    It replaces ``hash_share`` when consistent shedding is disabled; nodes then
    shed different user requests.

    Args:
      job_id: Identifier of the job on this node.
    """
    return (split_mix_64(job_id) >> 11) / float(1 << 53)
