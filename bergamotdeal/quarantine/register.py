"""The register of requests that were running when servers died."""

import collections
import dataclasses

from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model

_EVIDENCE_S = 300.0
_MAX_FINGERPRINTS = 4096
_MAX_DEATHS_PER_FINGERPRINT = 16
_SUCCESSES_PER_DEATH = 3
_MS_PER_S = 1000.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Death:
    host_id: str
    heard: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Suspicion:
    """What is known against and for a fingerprint.

    Attributes:
      deaths_by_id: Deaths with the fingerprint running, oldest first.
      survived: Runs that ended well at this node since the first report.
    """

    deaths_by_id: dict[str, _Death] = dataclasses.field(default_factory=dict)
    survived: int = 0

    def recent(self, now: float) -> list[_Death]:
        """Returns the deaths that still count."""
        return [
            death
            for death in self.deaths_by_id.values()
            if now - death.heard < _EVIDENCE_S
        ]


class QuarantineRegister:
    """Counts server deaths per request fingerprint.

    A fingerprint that was running at the deaths of enough distinct servers is
    refused for a time. Being in flight at a death says little about a request
    that is always in flight: a fingerprint that completed several runs in the
    life of the server is not reported, and one that goes on completing runs
    here after the first report is not refused here.
    """

    def __init__(self, *, policy: model.QuarantinePolicy, host_id: str):
        self._policy = policy
        self._host_id = host_id
        self._fingerprint_by_run: dict[int, str] = {}
        self._successes_by_fingerprint: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._suspicions_by_fingerprint: collections.OrderedDict[
            str, _Suspicion
        ] = collections.OrderedDict()

    def set_policy(self, policy: model.QuarantinePolicy) -> None:
        """Takes the policy of a new preset."""
        self._policy = policy

    def record_run_start(self, fingerprint: str, run_id: int) -> None:
        """Notes that a run of a request was handed over to the server."""
        self._fingerprint_by_run[run_id] = fingerprint

    def record_run_end(self, run_id: int) -> None:
        """Notes that a run ended and the server lives."""
        fingerprint = self._fingerprint_by_run.pop(run_id, None)
        if fingerprint is None:
            return
        successes = self._successes_by_fingerprint
        successes[fingerprint] = successes.get(fingerprint, 0) + 1
        successes.move_to_end(fingerprint)
        if len(successes) > _MAX_FINGERPRINTS:
            successes.popitem(last=False)
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        if suspicion is not None:
            suspicion.survived += 1

    def record_server_death(
        self, now: float, death_id: str
    ) -> list[membership.CrashReport]:
        """Takes the death of the local backend server.

        Args:
          now: Monotonic seconds.
          death_id: Id of this death, unique in the fleet.

        Returns:
          Reports to share with the other nodes, one per suspect fingerprint.
        """
        running = sorted(set(self._fingerprint_by_run.values()))
        successes = self._successes_by_fingerprint
        reports = [
            membership.CrashReport(
                fingerprint=fingerprint,
                host_id=self._host_id,
                death_id=death_id,
            )
            for fingerprint in running
            if successes.get(fingerprint, 0) < _SUCCESSES_PER_DEATH
        ]
        self._fingerprint_by_run.clear()
        successes.clear()
        self.add_reports(reports, now)
        return reports

    def add_reports(
        self, reports: list[membership.CrashReport], now: float
    ) -> None:
        """Takes reports of this or another node; repeated ones count once."""
        for report in reports:
            self._add(report, now)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Tells whether a request is refused for now."""
        if not self._policy.enabled:
            return False
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        if suspicion is None:
            return False
        deaths = suspicion.recent(now)
        host_ids = {death.host_id for death in deaths}
        if len(host_ids) < self._policy.deaths:
            return False
        if suspicion.survived >= _SUCCESSES_PER_DEATH * len(deaths):
            return False
        latest = max(death.heard for death in deaths)
        return now - latest < self._policy.duration_ms / _MS_PER_S

    def _add(self, report: membership.CrashReport, now: float) -> None:
        suspicions = self._suspicions_by_fingerprint
        suspicion = suspicions.setdefault(report.fingerprint, _Suspicion())
        suspicions.move_to_end(report.fingerprint)
        deaths_by_id = suspicion.deaths_by_id
        if report.death_id not in deaths_by_id:
            if not suspicion.recent(now):
                suspicion.survived = 0
            death = _Death(host_id=report.host_id, heard=now)
            deaths_by_id[report.death_id] = death
        if len(deaths_by_id) > _MAX_DEATHS_PER_FINGERPRINT:
            del deaths_by_id[next(iter(deaths_by_id))]
        if len(suspicions) > _MAX_FINGERPRINTS:
            suspicions.popitem(last=False)
