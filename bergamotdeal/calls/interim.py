"""Plain admission, routing and quarantine until the real ones are composed."""

# ruff: noqa: ARG002

import dataclasses
import random

from bergamotdeal.calls import core
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A request that asks for a slot."""

    job_id: int
    class_rank: int
    hash_share: float
    deadline: float
    arrived: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """The job may run."""

    job_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """The job is refused."""

    job_id: int
    kind: errors.ErrorKind


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preempt:
    """The running job should be cancelled."""

    job_id: int


Verdict = Start | Refuse | Preempt


class Controller:
    """Starts jobs up to the slots and queues as many again."""

    def __init__(self, *, policy, service_policy, class_count, slots, now):
        self._slots = slots
        self._running: set[int] = set()
        self._queue: list[Job] = []

    def submit(self, job: Job, now: float) -> list[Verdict]:
        """Starts, queues or refuses a job."""
        if len(self._queue) >= self._slots:
            return [Refuse(job_id=job.job_id, kind=errors.ErrorKind.SHED)]
        self._queue.append(job)
        return self.advance(now)

    def finish(self, job_id, now, *, completed) -> list[Verdict]:
        """Frees the slot of a running job."""
        self._running.discard(job_id)
        return self.advance(now)

    def withdraw(self, job_id, now) -> list[Verdict]:
        """Forgets a queued job."""
        self._queue = [job for job in self._queue if job.job_id != job_id]
        return []

    def advance(self, now) -> list[Verdict]:
        """Starts what fits."""
        verdicts = []
        while self._queue and len(self._running) < self._slots:
            job = self._queue.pop(0)
            self._running.add(job.job_id)
            verdicts.append(Start(job_id=job.job_id))
        return verdicts

    def set_slots(self, slots, now) -> list[Verdict]:
        """Changes the slots."""
        self._slots = slots
        return self.advance(now)

    def set_policy(self, **_policies) -> list[Verdict]:
        """Ignores the policy."""
        return []

    def next_wakeup(self) -> float | None:
        """Needs no wake-up."""

    def threshold(self, class_rank) -> float:
        """Admits all."""
        return 1.0

    def load(self) -> core.Load:
        """Reports what runs and waits."""
        return core.Load(
            running=len(self._running),
            queued=len(self._queue),
            limit=self._slots,
        )


class Router:
    """Picks any live server of the service."""

    def __init__(self, *, policy, host_id, data_centre, region, rng):
        self._rng: random.Random = rng
        self._hosts_by_service: dict[str, list[str]] = {}

    def update_members(self, members_by_id) -> None:
        """Takes over a view of the members."""
        self._hosts_by_service = {}
        for member in members_by_id.values():
            if member.server is None:
                continue
            hosts = self._hosts_by_service.setdefault(member.server.service, [])
            if member.state is membership.MemberState.ALIVE:
                hosts.append(member.host_id)

    def set_policy(self, policy) -> None:
        """Ignores the policy."""

    def knows(self, service) -> bool:
        """Whether any server announced the service."""
        return service in self._hosts_by_service

    def choose(self, service, *, exclude, now) -> str | None:
        """Picks a host."""
        hosts = [
            host_id
            for host_id in self._hosts_by_service.get(service, ())
            if host_id not in exclude
        ]
        return self._rng.choice(hosts) if hosts else None

    def choose_by_hash(self, service, key, *, exclude) -> str | None:
        """Picks the first host."""
        hosts = self._hosts_by_service.get(service, ())
        return min((h for h in hosts if h not in exclude), default=None)

    def started(self, host_id, now) -> None:
        """Counts nothing."""

    def finished(self, host_id, *, latency_s, succeeded, load, now) -> None:
        """Counts nothing."""
