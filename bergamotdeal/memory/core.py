"""Limit on the bytes of bodies that a node holds at a time."""

from collections.abc import Callable

BASE_BYTES = 64 * 1024 * 1024
"""Memory of a node that holds no body, with the views of a large fleet."""

BODY_SHARE = 0.4
"""Share of the other memory that bodies may take. The rest is for the copies
that exist while a message is parsed, framed or sent, and for fragmentation."""

MIN_CAPACITY_BYTES = 8 * 1024 * 1024
"""Capacity at the least: two of the largest frames between nodes."""

LEAST_SHARE = 0.5
"""Share of the capacity that is open to requests of the last class."""


class BodyMemory:
    """Memory for the bodies of requests and answers.

    The parts of a node that hold bodies count their own bytes; this adds them
    up when a decision depends on the sum.

    Attributes:
      capacity_bytes: Bytes of bodies that the node may hold.

    Args:
      capacity_bytes: See the attribute.
    """

    def __init__(self, *, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self._holders: list[Callable[[], int]] = []

    def add_holder(self, get_held_bytes: Callable[[], int]) -> None:
        """Adds a part of the node that holds bodies.

        Args:
          get_held_bytes: Returns the number of bytes that the part holds now.
        """
        self._holders.append(get_held_bytes)

    @property
    def used_bytes(self) -> int:
        """Number of bytes that all parts hold."""
        return sum(get_held_bytes() for get_held_bytes in self._holders)

    @property
    def is_full(self) -> bool:
        """Whether the capacity is used up."""
        return self.used_bytes >= self.capacity_bytes

    def has_room(self, size_bytes: int, *, share: float = 1.0) -> bool:
        """Returns whether a body may be taken in.

        A body that is larger than the share passes while no other is held.

        Args:
          size_bytes: Size of the body.
          share: Share of the capacity that is open to it.
        """
        used_bytes = self.used_bytes
        return (
            not used_bytes
            or used_bytes + size_bytes <= share * self.capacity_bytes
        )


def compute_capacity(limit_bytes: int) -> int:
    """Returns the capacity for bodies of a process.

    Args:
      limit_bytes: Memory that the process may take.
    """
    return max(MIN_CAPACITY_BYTES, int(BODY_SHARE * (limit_bytes - BASE_BYTES)))


def compute_share(class_rank: int, class_count: int) -> float:
    """Returns the share of the capacity that is open to a class of requests.

    Classes of lower importance are refused while there is still room for the
    more important ones.

    Args:
      class_rank: Rank of the class; zero is the most important.
      class_count: Number of classes; unknown ones have this as their rank.
    """
    if not class_count:
        return 1.0
    return 1.0 - (1.0 - LEAST_SHARE) * class_rank / class_count
