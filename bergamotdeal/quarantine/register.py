"""Detection of requests that repeatedly crash backend servers."""

import collections
from collections.abc import Collection
import math

import msgspec

from bergamotdeal.membership import core as membership
from bergamotdeal.membership import crashes
from bergamotdeal.presets import model

_MAX_FINGERPRINTS = 4096
_MAX_DEATHS_PER_FINGERPRINT = 16
_EXONERATING_RUNS_PER_DEATH = 3
_EXTRA_DEATHS_OF_ONE_HOST = 1
"""Further deaths needed if the servers of one host died only. They may have a
cause on that host, but a service may have no other one."""

_MS_PER_S = 1000.0


class _Death(msgspec.Struct, kw_only=True):
    host_id: str
    happened_at: float


class _Evidence(msgspec.Struct, kw_only=True):
    """Evidence for and against quarantining a fingerprint.

    Attributes:
      deaths_by_id: Server deaths while the fingerprint was running.
      completed_runs: Runs completed at this node since the first report.
    """

    deaths_by_id: dict[str, _Death] = msgspec.field(default_factory=dict)
    completed_runs: int = 0

    def recent_deaths(self, now: float) -> list[_Death]:
        """Returns the deaths that have not expired."""
        return [
            death
            for death in self.deaths_by_id.values()
            if now - death.happened_at < crashes.REPORT_TTL_S
        ]


class QuarantineRegister:
    """Register of server deaths by request fingerprint.

    A fingerprint that was running when enough distinct servers died is
    quarantined for a limited time, which each further death doubles. Each start
    of a server counts as a server of its own; if all were on the same host, one
    more death is needed.

    For a request that is always in flight, running at the time of a death is
    weak evidence. A fingerprint that completed several runs during the lifetime
    of the server is therefore not reported, and one that keeps completing runs
    on this node after the first report is not quarantined here.

    Args:
      policy: Quarantine policy of the preset in force.
      host_id: Id of this host, sent in crash reports.
    """

    def __init__(self, *, policy: model.QuarantinePolicy, host_id: str):
        self._policy = policy
        self._host_id = host_id
        self._fingerprint_by_run: dict[int, str] = {}
        self._held_runs: set[int] = set()
        self._completed_runs_by_fingerprint: collections.OrderedDict[
            str, int
        ] = collections.OrderedDict()
        self._evidence_by_fingerprint: collections.OrderedDict[
            str, _Evidence
        ] = collections.OrderedDict()

    def set_policy(self, policy: model.QuarantinePolicy) -> None:
        """Applies the policy of a new preset."""
        self._policy = policy

    def record_run_start(self, fingerprint: str, run_id: int) -> None:
        """Records that a run of a request was sent to the backend server."""
        self._fingerprint_by_run[run_id] = fingerprint

    def record_run_held(self, run_id: int, *, is_held: bool) -> None:
        """Records whether a run waits for a connection to the server."""
        if is_held and run_id in self._fingerprint_by_run:
            self._held_runs.add(run_id)
        else:
            self._held_runs.discard(run_id)

    def record_run_end(self, run_id: int, *, completed: bool) -> None:
        """Records the end of a run that the server survived.

        Args:
          run_id: Id of the run.
          completed: Whether the server answered it. What was refused or cut off
            is no evidence that the request is harmless.
        """
        self._held_runs.discard(run_id)
        fingerprint = self._fingerprint_by_run.pop(run_id, None)
        if fingerprint is None or not completed:
            return
        completed_by_fingerprint = self._completed_runs_by_fingerprint
        completed_by_fingerprint[fingerprint] = (
            completed_by_fingerprint.get(fingerprint, 0) + 1
        )
        completed_by_fingerprint.move_to_end(fingerprint)
        if len(completed_by_fingerprint) > _MAX_FINGERPRINTS:
            completed_by_fingerprint.popitem(last=False)
        evidence = self._evidence_by_fingerprint.get(fingerprint)
        if evidence is not None:
            evidence.completed_runs += 1

    def record_server_death(
        self, now: float, death_id: str, later_run_ids: Collection[int] = ()
    ) -> list[membership.CrashReport]:
        """Records the death of the local backend server.

        Args:
          now: Monotonic seconds.
          death_id: Id of this death, unique in the fleet.
          later_run_ids: Runs that were sent after the death.

        Returns:
          Crash reports to send to other nodes, one per suspect fingerprint.
        """
        unsent = self._held_runs.union(later_run_ids)
        running = sorted(
            {
                fingerprint
                for run_id, fingerprint in self._fingerprint_by_run.items()
                if run_id not in unsent
            }
        )
        completed_by_fingerprint = self._completed_runs_by_fingerprint
        reports = [
            membership.CrashReport(
                fingerprint=fingerprint,
                host_id=self._host_id,
                death_id=death_id,
            )
            for fingerprint in running
            if completed_by_fingerprint.get(fingerprint, 0)
            < _EXONERATING_RUNS_PER_DEATH
        ]
        self._fingerprint_by_run = {
            run_id: fingerprint
            for run_id, fingerprint in self._fingerprint_by_run.items()
            if run_id in unsent
        }
        completed_by_fingerprint.clear()
        self.add_reports(reports, now)
        return reports

    def add_reports(
        self, reports: list[membership.CrashReport], now: float
    ) -> None:
        """Adds crash reports of any node; duplicates are ignored."""
        for report in reports:
            self._add_report(report, now)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request is currently quarantined."""
        if not self._policy.enabled:
            return False
        evidence = self._evidence_by_fingerprint.get(fingerprint)
        if evidence is None:
            return False
        deaths = evidence.recent_deaths(now)
        if evidence.completed_runs >= _EXONERATING_RUNS_PER_DEATH * len(deaths):
            return False
        return now < self._compute_end(deaths)

    def _compute_end(self, deaths: list[_Death]) -> float:
        """Returns when the quarantine for some deaths ends.

        Each death beyond those that are needed doubles its duration, so that a
        request that comes back each time crashes few servers.
        """
        needed = self._policy.deaths
        if len({death.host_id for death in deaths}) < needed:
            needed += _EXTRA_DEATHS_OF_ONE_HOST
        surplus = len(deaths) - needed
        if surplus < 0:
            return -math.inf
        duration_s = self._policy.duration_ms / _MS_PER_S * 2**surplus
        latest = max(death.happened_at for death in deaths)
        return latest + min(duration_s, crashes.REPORT_TTL_S)

    def _add_report(self, report: membership.CrashReport, now: float) -> None:
        evidence_by_fingerprint = self._evidence_by_fingerprint
        evidence = evidence_by_fingerprint.setdefault(
            report.fingerprint, _Evidence()
        )
        evidence_by_fingerprint.move_to_end(report.fingerprint)
        deaths_by_id = evidence.deaths_by_id
        if report.death_id not in deaths_by_id:
            if not evidence.recent_deaths(now):
                evidence.completed_runs = 0
            death = _Death(
                host_id=report.host_id, happened_at=now - report.age_s
            )
            deaths_by_id[report.death_id] = death
        if len(deaths_by_id) > _MAX_DEATHS_PER_FINGERPRINT:
            oldest = min(
                deaths_by_id, key=lambda key: deaths_by_id[key].happened_at
            )
            del deaths_by_id[oldest]
        if len(evidence_by_fingerprint) > _MAX_FINGERPRINTS:
            evidence_by_fingerprint.popitem(last=False)
