"""Main types of routing: what a node knows about one target."""

import dataclasses

from bergamotdeal.calls import core as calls
from bergamotdeal.membership import core as membership

REPORT_LIFETIME_S = 2.0
LATENCY_WEIGHT = 0.1


@dataclasses.dataclass(kw_only=True, slots=True)
class Target:
    """A server of a service as this node sees it.

    Attributes:
      member: Its node.
      ring: Distance: 0 same data centre, 1 same region, 2 beyond.
      in_flight: Own calls that wait for its answer.
      reported: Latest load report, or None.
      reported_at: Time of the report, monotonic seconds.
      in_flight_at_report: Own calls in flight after the report's answer.
      calls: Own calls answered so far.
      failure_share: Moving share of failed calls.
      latency_s: Moving mean latency of own successful calls, seconds.
      first_chosen: Time of the first call to it, or None.
      is_new: Whether it joined a service whose servers were known before.
      is_outlier: Whether it gets fewer picks.
    """

    member: membership.Member
    ring: int
    in_flight: int = 0
    reported: calls.Load | None = None
    reported_at: float = 0.0
    in_flight_at_report: int = 0
    calls: int = 0
    failure_share: float = 0.0
    latency_s: float = 0.0
    first_chosen: float | None = None
    is_new: bool = False
    is_outlier: bool = False

    def slots(self) -> int:
        """Returns the requests that it can run at the same time."""
        announced = self.member.server.slots if self.member.server else 1
        if self.reported is None or self.reported.limit < 1:
            return max(1, announced)
        return max(1, min(announced, self.reported.limit))

    def in_use(self, now: float) -> float:
        """Returns the estimate of requests that run or wait there.

        Own calls in flight are certain. What the report says beyond them
        fades with the report's age, so that a stale or false report can't
        hide a server for good.

        Args:
          now: Monotonic seconds.
        """
        if self.reported is None:
            return float(self.in_flight)
        fresh = 1.0 - (now - self.reported_at) / REPORT_LIFETIME_S
        if fresh <= 0.0:
            return float(self.in_flight)
        total = max(0, self.reported.running) + max(0, self.reported.queued)
        others = max(0, total - self.in_flight_at_report)
        return self.in_flight + min(1.0, fresh) * others

    def run_ms(self) -> float:
        """Returns the mean run time that it reported, zero when unknown."""
        return self.reported.run_ms if self.reported is not None else 0.0

    def finish(self, fill: float, usual_ms: float) -> float:
        """Returns the time in which one more call is expected to end.

        The unit is the service's usual run time. A call takes the server's
        own run time while there is a free slot, and waits for a turn of the
        slots for each round of calls before it; a server close to full is
        avoided, since other nodes choose at the same time.

        Args:
          fill: Share of its slots that the call would fill, see ``score``.
          usual_ms: Usual run time of the service's servers, zero if unknown.
        """
        own_ms = self.run_ms()
        slowness = own_ms / usual_ms if own_ms > 0 and usual_ms > 0 else 1.0
        waiting = max(0.0, fill - 1.0)
        return slowness * (1.0 + min(1.0, fill) ** 3 + 2.0 * waiting)

    def score(self, now: float) -> float:
        """Returns the share of its slots that one more call would fill."""
        return (self.in_use(now) + 1.0) / self.slots()
