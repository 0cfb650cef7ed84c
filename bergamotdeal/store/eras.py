"""Eras of the store, which begins a new one when it is restored from a copy.

A restored store has lost its last writes and gives out their revisions again.
A version therefore combines era and revision: versions of a later era are
higher, and a revision of an earlier era matches nothing of a later one.
"""

from collections.abc import Callable

NO_ERA = 0
"""Era of a store that tells none."""

_REVISION_BITS = 48


def combine(era: int, revision: int) -> int:
    """Returns the version of an object.

    Args:
      era: Era of the answer that told the revision.
      revision: Revision of the object in that era.
    """
    return era << _REVISION_BITS | revision


def get_era(version: int) -> int:
    """Returns the era of a version."""
    return version >> _REVISION_BITS


def get_revision(version: int) -> int:
    """Returns the revision of a version within its era."""
    return version & ((1 << _REVISION_BITS) - 1)


class EraTracker:
    """The newest known era of the store.

    Attributes:
      newest: The newest known era, ``NO_ERA`` before the first answer.
      listeners: Called with the new era when one began since the last answer.
    """

    def __init__(self) -> None:
        self.newest = NO_ERA
        self.listeners: list[Callable[[int], None]] = []

    def is_outdated(self, version: int) -> bool:
        """Returns whether a version was told in an earlier era.

        Args:
          version: A version; zero stands for none.
        """
        return version != 0 and get_era(version) < self.newest

    def observe(self, era: int) -> bool:
        """Records the era of an answer or the one that another node told.

        Args:
          era: The era.

        Returns:
          Whether it is the newest one; an older answer must be ignored.
        """
        if era <= self.newest:
            return era == self.newest
        is_restored = self.newest != NO_ERA
        self.newest = era
        if is_restored:
            for listener in self.listeners:
                listener(era)
        return True
