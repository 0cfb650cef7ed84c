"""Crash reports that a node knows, to be compared with those of other nodes.

A report spreads once as a rumour. The comparison of all known reports in the
syncs tells it to nodes that were not running or not reachable at that time.
"""

import collections
import hashlib

import msgspec

from bergamotdeal.membership import core

REPORT_TTL_S = 300.0
"""Age above which a crash is no evidence any more."""

MAX_REPORTS = 1024

_RETENTION_S = 2 * REPORT_TTL_S
"""Age up to which a report is remembered. A copy from a host that was suspended
is too young, and would be taken for a new report if it were forgotten."""

_SWEEP_INTERVAL_S = 10.0
"""Time between searches for reports to forget; a crash reports a crowd."""

_EMPTY_DIGEST = 1
"""Digest of no reports; zero stands for nodes that send no digest."""


class _KnownReport(msgspec.Struct, kw_only=True):
    report: core.CrashReport
    crashed_at: float
    digest: int


class CrashReportLog:
    """A bounded log of crash reports that evicts the oldest crashes first.

    Times are monotonic seconds of this node.
    """

    def __init__(self) -> None:
        self._known_by_id: dict[tuple[str, str], _KnownReport] = {}
        self._next_sweep_at = 0.0

    def add_new(
        self, reports: tuple[core.CrashReport, ...], now: float
    ) -> tuple[core.CrashReport, ...]:
        """Adds reports and returns those that are new and have not expired.

        Args:
          reports: Reports of this node or of other nodes.
          now: Current time.
        """
        new_ids = []
        for report in reports:
            report_id = _get_id(report)
            if report.age_s >= REPORT_TTL_S or report_id in self._known_by_id:
                continue
            self._known_by_id[report_id] = _KnownReport(
                report=report,
                crashed_at=now - report.age_s,
                digest=_compute_digest(report),
            )
            new_ids.append(report_id)
        self._evict(now)
        return tuple(
            self._known_by_id[report_id].report
            for report_id in new_ids
            if report_id in self._known_by_id
        )

    def list_current(self, now: float) -> tuple[core.CrashReport, ...]:
        """Returns the reports that have not expired, with their present age."""
        return tuple(
            _update_age(known, now)
            for known in self._known_by_id.values()
            if _is_current(known, now)
        )

    def update_age(
        self, report: core.CrashReport, now: float
    ) -> core.CrashReport | None:
        """Returns a report with its present age; None if it has expired."""
        known = self._known_by_id.get(_get_id(report))
        if known is None or not _is_current(known, now):
            return None
        return _update_age(known, now)

    def list_missing(
        self, reports: tuple[core.CrashReport, ...], now: float
    ) -> tuple[core.CrashReport, ...]:
        """Returns the current reports that are not among the given ones."""
        given_ids = {_get_id(report) for report in reports}
        return tuple(
            report
            for report in self.list_current(now)
            if _get_id(report) not in given_ids
        )

    def list_confirmed(
        self, host_id: str, now: float
    ) -> tuple[core.CrashReport, ...]:
        """Returns the current reports of a host that another crash confirms.

        Args:
          host_id: Id of the host.
          now: Current time.
        """
        crash_counts = collections.Counter(
            known.report.fingerprint
            for known in self._known_by_id.values()
            if _is_current(known, now)
        )
        return tuple(
            _update_age(known, now)
            for known in self._known_by_id.values()
            if known.report.host_id == host_id
            and _is_current(known, now)
            and crash_counts[known.report.fingerprint] > 1
        )

    def compute_digest(self, now: float) -> int:
        """Returns a digest of the current reports, which is never zero."""
        digest = 0
        for known in self._known_by_id.values():
            if _is_current(known, now):
                digest ^= known.digest
        return digest or _EMPTY_DIGEST

    def _evict(self, now: float) -> None:
        known_by_id = self._known_by_id
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + _SWEEP_INTERVAL_S
            for report_id, known in list(known_by_id.items()):
                if now - known.crashed_at >= _RETENTION_S:
                    del known_by_id[report_id]
        excess = len(known_by_id) - MAX_REPORTS
        if excess > 0:
            oldest_first = sorted(
                known_by_id, key=lambda key: known_by_id[key].crashed_at
            )
            for report_id in oldest_first[:excess]:
                del known_by_id[report_id]


def _get_id(report: core.CrashReport) -> tuple[str, str]:
    return (report.death_id, report.fingerprint)


def _is_current(known: _KnownReport, now: float) -> bool:
    return now - known.crashed_at < REPORT_TTL_S


def _update_age(known: _KnownReport, now: float) -> core.CrashReport:
    return msgspec.structs.replace(known.report, age_s=now - known.crashed_at)


def _compute_digest(report: core.CrashReport) -> int:
    text = f"{report.death_id} {report.fingerprint}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
