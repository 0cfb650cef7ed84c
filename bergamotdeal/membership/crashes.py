"""Crash reports that this node has heard, so that each spreads once."""

from bergamotdeal.membership import core

MAX_KNOWN_REPORTS = 1024


class KnownReports:
    """A bounded set of crash reports, oldest forgotten first."""

    def __init__(self) -> None:
        self._known: dict[core.CrashReport, None] = {}

    def learn(
        self, reports: tuple[core.CrashReport, ...]
    ) -> tuple[core.CrashReport, ...]:
        """Adds reports and returns those that were not known before.

        Args:
          reports: Reports of this node or of others.
        """
        fresh = tuple(r for r in reports if r not in self._known)
        self._known.update(dict.fromkeys(fresh))
        while len(self._known) > MAX_KNOWN_REPORTS:
            del self._known[next(iter(self._known))]
        return fresh
