"""Deduplication of crash reports, so that a node forwards each one once."""

from bergamotdeal.membership import core

MAX_CACHED_REPORTS = 1024


class CrashReportCache:
    """A bounded set of known crash reports that evicts the oldest first."""

    def __init__(self) -> None:
        self._seen: dict[core.CrashReport, None] = {}

    def add_new(
        self, reports: tuple[core.CrashReport, ...]
    ) -> tuple[core.CrashReport, ...]:
        """Adds reports and returns those that were not in the cache.

        Args:
          reports: Reports of this node or of other nodes.
        """
        new_reports = tuple(r for r in reports if r not in self._seen)
        self._seen.update(dict.fromkeys(new_reports))
        while len(self._seen) > MAX_CACHED_REPORTS:
            del self._seen[next(iter(self._seen))]
        return new_reports
