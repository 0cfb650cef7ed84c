"""The hash by which every node sheds the same user requests."""

import hashlib

_HASH_BYTES = 8
_HASH_RANGE = 1 << (8 * _HASH_BYTES)
_MASK = _HASH_RANGE - 1
_PERSON = b"bergamot-share"


def hash_share(user_request_id: str) -> float:
    """Returns the place of a user request in the shedding order.

    Every node computes the same value, so that under overload all of them
    keep and shed the same user requests.

    Args:
      user_request_id: Id of the user request at the root of the call tree.

    Returns:
      A number in [0, 1), uniform over ids. Low values are kept longest.
    """
    digest = hashlib.blake2b(
        user_request_id.encode(), digest_size=_HASH_BYTES, person=_PERSON
    )
    return min(int.from_bytes(digest.digest()) / _HASH_RANGE, 1.0 - 2.0**-53)


def mix_64(number: int) -> int:
    """Scrambles 64 bits by the steps of SplitMix64.

    Source: Steele, Lea and Flood, "Fast splittable pseudorandom number
    generators", 2014.
    """
    value = (number + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def mixed_share(number: int) -> float:
    """Returns a share that differs from node to node for one user request.

    It stands in for the request hash when consistent shedding is off.

    Args:
      number: A job id.
    """
    return (mix_64(number) >> 11) / float(1 << 53)
