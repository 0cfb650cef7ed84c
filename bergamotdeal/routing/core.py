"""State that a node keeps about each server it can route calls to."""

import msgspec

from bergamotdeal.membership import core as membership
from bergamotdeal.rpc import core as rpc

REPORT_TTL_S = 2.0
REPORT_MAX_AGE_S = 5.0
RESULT_MAX_AGE_S = 8.0

_QUEUE_PENALTY = 2.0
_UNEVEN_QUEUE_PENALTY = 6.0
"""Growth of the expected completion time per full turn of the slots. Where
speeds are uneven, a lower penalty makes all nodes queue calls at the fast
servers while slow ones are idle."""

SPEED_EXACT_S = 0.2
"""Age up to which a reported work factor counts as it is."""

SPEED_UNKNOWN_S = 0.8
"""Age from which a reported work factor counts as unknown. Servers are slowed
down for 0.6 s at a time."""

_AGE_PENALTY_PER_S = 4.0
"""Growth of the expected completion time with the age of the report, where
speeds are uneven. A server may have slowed down since its report, and the
calls of one node keep the reports of few servers more recent than of many."""

_MAX_PENALISED_AGE_S = 0.3

EWMA_WEIGHT = 0.1


class Target(msgspec.Struct, kw_only=True):
    """Routing state of one server of a service, as observed by this node.

    Attributes:
      member: Membership record of the server's node.
      locality_tier: 0 for the same data centre, 1 for the same region and 2
        for any other region.
      in_flight: Calls of this node that await an answer.
      load_report: Latest load report, or None.
      reported_at: Time of the report, monotonic seconds.
      in_flight_at_report: Calls of this node in flight when the report arrived.
      calls: Number of calls of this node that have ended.
      ended_at: Time at which the latest call ended, monotonic seconds.
      failure_rate: Moving average of the failure rate, in [0, 1].
      latency_s: Moving average of the latency of successful calls, seconds.
      first_call_at: Time of the first call, monotonic seconds, or None.
      is_new: Whether the server joined a service that had known servers.
      is_outlier: Whether the server is an outlier with a reduced weight.
    """

    member: membership.Member
    locality_tier: int
    in_flight: int = 0
    load_report: rpc.Load | None = None
    reported_at: float = 0.0
    in_flight_at_report: int = 0
    calls: int = 0
    ended_at: float = 0.0
    failure_rate: float = 0.0
    latency_s: float = 0.0
    first_call_at: float | None = None
    is_new: bool = False
    is_outlier: bool = False

    def slots(self) -> int:
        """Returns the server's concurrency limit in requests."""
        announced = self.announced_slots()
        report = self.load_report
        if report is None or not 1 <= report.limit < announced:
            return announced
        return report.limit

    def announced_slots(self) -> int:
        """Returns the number of requests the server can run concurrently."""
        server = self.member.server
        return server.slots if server is not None and server.slots > 1 else 1

    def estimated_load(self, now: float) -> float:
        """Returns the estimated number of requests running or queued.

        Calls in flight from this node are certain. The load that a report
        shows beyond them is discounted by the age of the report, so that a
        stale or wrong report cannot exclude a server permanently.

        Args:
          now: Monotonic seconds.
        """
        report = self.load_report
        if report is None:
            return float(self.in_flight)
        freshness = 1.0 - (now - self.reported_at) / REPORT_TTL_S
        other_load = report.running + report.queued - self.in_flight_at_report
        if freshness <= 0.0 or other_load <= 0:
            return float(self.in_flight)
        return self.in_flight + min(1.0, freshness) * other_load

    def run_ms(self) -> float:
        """Returns the reported mean run time in ms; zero when unknown."""
        return self.load_report.run_ms if self.load_report is not None else 0.0

    def work_factor(self, now: float) -> float:
        """Returns how long work takes as a multiple of the server's usual time.

        The reported factor decays to 1.0 with the age of the report.
        """
        if self.load_report is None:
            return 1.0
        age_s = now - self.reported_at
        if age_s >= SPEED_UNKNOWN_S:
            return 1.0
        weight = (SPEED_UNKNOWN_S - age_s) / (SPEED_UNKNOWN_S - SPEED_EXACT_S)
        return 1.0 + min(1.0, weight) * (self.load_report.work_factor - 1.0)

    def expected_completion(
        self,
        utilization: float,
        mean_run_ms: float,
        *,
        now: float,
        has_uneven_speeds: bool = False,
    ) -> float:
        """Returns the expected completion time of one more call.

        The unit is the mean run time of the service. While a slot is free, a
        call takes the run time of this server; beyond that it also queues for
        each full turn of the slots ahead of it. A server close to full is
        penalised, because other nodes select servers at the same time.

        Args:
          utilization: Utilization with the call, see
            ``projected_utilization``.
          mean_run_ms: Mean run time of the service's servers, milliseconds;
            zero if unknown.
          now: Monotonic seconds.
          has_uneven_speeds: Whether servers of the service report that their
            speed differs from the usual one.
        """
        server_run_ms = self.run_ms()
        relative_run_time = (
            server_run_ms / mean_run_ms
            if server_run_ms > 0 and mean_run_ms > 0
            else 1.0
        )
        if has_uneven_speeds:
            relative_run_time *= self.work_factor(now)
            if self.load_report is not None:
                age_s = min(_MAX_PENALISED_AGE_S, now - self.reported_at)
                relative_run_time *= 1.0 + _AGE_PENALTY_PER_S * age_s
        queued_turns = max(0.0, utilization - 1.0)
        queue_penalty = (
            _UNEVEN_QUEUE_PENALTY if has_uneven_speeds else _QUEUE_PENALTY
        )
        return relative_run_time * (
            1.0 + min(1.0, utilization) ** 3 + queue_penalty * queued_turns
        )

    def projected_utilization(self, now: float) -> float:
        """Returns the slot utilization if one more call were sent.

        While a reported limit leaves a slot free, the additional call counts as
        one of the announced slots. As one of the few slots of a limited server
        it would make an idle server look fuller than any other.

        Args:
          now: Monotonic seconds.
        """
        slots = self.slots()
        load = self.estimated_load(now)
        if load + 1.0 > slots:
            return (load + 1.0) / slots
        return load / slots + 1.0 / self.announced_slots()

    def expire_report(self, now: float) -> None:
        """Drops the load report if it is too old to describe the server."""
        if now - self.reported_at >= REPORT_MAX_AGE_S:
            self.load_report = None

    def has_recent_result(self, now: float) -> bool:
        """Returns whether a call has ended lately, so that its result counts.

        Args:
          now: Monotonic seconds.
        """
        return now - self.ended_at < RESULT_MAX_AGE_S
