"""Data model of presets.

The annotations define the accepted ranges. ``msgspec`` enforces them when a
preset is decoded, and the error messages quote them.
"""

from typing import Annotated

import msgspec

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
KeyDigest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}$")]
Status = Annotated[int, msgspec.Meta(ge=400, le=599)]

CRITICAL = "critical"
BROWSE = "browse"


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """The policy for requests to one service that match a method and path.

    Attributes:
      service: Service that the route belongs to.
      method: HTTP method, or ``*`` for any.
      prefix: Path prefix; it matches whole path segments.
      class_name: Class of the requests, one of the preset's.
      repeatable: Whether running the request twice is harmless (idempotent).
      deadline_ms: Deadline in milliseconds if the caller states none.
      repeatable_below: Whether all calls that the request leads to are
        repeatable too. Only then is it sent again after a lost answer, and
        non-repeatable calls below it are refused.
      target_latency_ms: Target latency in milliseconds, or zero for none. A
        later answer is worth less.
      max_sendings: Maximum number of servers to which one request is sent, or
        zero to limit it only by the allowance of ``[retries]``.
      public: Whether requests need no key of an organisation.
    """

    service: str
    method: str
    prefix: str
    class_name: str = CRITICAL
    repeatable: bool = False
    deadline_ms: Milliseconds = 5000
    repeatable_below: bool = False
    target_latency_ms: Count = 0
    max_sendings: Count = 0
    public: bool = False


class Destination(msgspec.Struct, frozen=True, kw_only=True):
    """A service to which a host route sends requests.

    Attributes:
      service: Name of the service.
      weight: Share of the requests relative to the other destinations.
    """

    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class HostRoute(msgspec.Struct, frozen=True, kw_only=True):
    """The policy for requests that are addressed by host name and path.

    Attributes:
      name: Name of the route, unique in the preset.
      host: Host name, in lower case.
      prefix: Path prefix; the longest matching prefix of a host wins.
      destinations: Services to which the requests are sent, by weight.
      class_name: Class of the requests, one of the preset's.
      repeatable: Whether running the request twice is harmless (idempotent).
      timeout_ms: Maximum time in milliseconds that a request waits for an
        answer.
      target_latency_ms: Target latency in milliseconds, or zero for none. A
        later answer is worth less.
      max_sendings: Maximum number of servers to which one request is sent.
      public: Whether requests need no key of an organisation.
    """

    name: str
    host: str
    prefix: str
    destinations: Annotated[tuple[Destination, ...], msgspec.Meta(min_length=1)]
    class_name: str = CRITICAL
    repeatable: bool = False
    timeout_ms: Milliseconds = 5000
    target_latency_ms: Count = 0
    max_sendings: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    public: bool = False

    def build_route(self, service: str) -> Route:
        """Builds the route of the requests that are sent to one destination.

        Args:
          service: Service of the destination.
        """
        return Route(
            service=service,
            method="*",
            prefix=self.name,
            class_name=self.class_name,
            repeatable=self.repeatable,
            deadline_ms=self.timeout_ms,
            repeatable_below=self.repeatable,
            target_latency_ms=self.target_latency_ms,
            max_sendings=self.max_sendings,
            public=self.public,
        )


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """An organisation whose callers present its keys.

    Attributes:
      name: Name of the organisation.
      key_digests: Digests of its keys; a preset holds no key itself.
      class_name: Class of its requests, or empty for the class of their
        route.
      rate_per_s: Requests per second that the whole fleet accepts, or zero
        for no cap.
      burst: Requests that may exceed the rate at once.
    """

    name: str
    key_digests: tuple[KeyDigest, ...] = ()
    class_name: str = ""
    rate_per_s: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0


class QuotaPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The precision of the caps of organisations.

    Attributes:
      window_ms: Milliseconds of the sliding window in which a cap is judged.
      overshoot: Share by which a window may exceed the cap.
      slack: Requests by which a window may exceed the cap besides.
    """

    window_ms: Milliseconds = 5000
    overshoot: Share = 0.1
    slack: Count = 20


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on requests and connections of callers.

    Attributes:
      body_bytes: Maximum bytes of a request body.
      idle_timeout_ms: Milliseconds after which an idle connection of a caller
        is closed.
    """

    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=2**30)] = 1024 * 1024
    idle_timeout_ms: Milliseconds = 60_000


class ServicePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The policy for one service.

    Attributes:
      shed_status: HTTP status by which a backend server signals that it shed
        the request without running it, or None if there is no such status.
      accepts_cancellation: Whether closing the connection stops the work.
      cold_start_ms: Milliseconds in which the concurrency limit of a new
        server grows to its slots.
      health_path: Path of the health check that identifies the server, or
        empty.
    """

    shed_status: Status | None = None
    accepts_cancellation: bool = False
    cold_start_ms: Count = 2000
    health_path: str = ""


class RetryPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The retry budget.

    Attributes:
      allowance: Maximum retries per user request over the whole call chain.
      ratio: Average retries per first attempt to one service.
      burst: Retries to one service that may exceed the ratio at once.
      fleet_burst: Retries to one service that may exceed the ratio over the
        whole fleet. The nodes of its servers then enforce ratio and burst
        together; zero gives each origin its own ``burst``.
      window_ms: Milliseconds in which ``ratio`` and ``fleet_burst`` hold.
      shed_elsewhere: Whether a request that was shed at one server is retried
        at another server of the service.
      by_progress: Whether the last tokens of the budget are reserved for runs
        that have already made other calls.
    """

    allowance: Annotated[int, msgspec.Meta(ge=0, le=100)] = 3
    ratio: Share = 0.1
    burst: Count = 10
    fleet_burst: Count = 0
    window_ms: Milliseconds = 10_000
    shed_elsewhere: bool = False
    by_progress: bool = False


class AdmissionPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The admission control at a target's node; each rule can be disabled.

    Attributes:
      adapt_limit: Adapt the concurrency limit to the observed delay.
      class_order: Serve and shed requests in the preset's order of classes.
      consistent_hash: Shed by the hash of the user request id.
      feedback: Report thresholds upstream to the entry and refuse there.
      thresholds: Set thresholds at the target from the rates of its windows.
      pricing: Refuse whole user requests at the entry by their cost at the
        overloaded services; for host routes only.
      fair_share: Share what a priority class gets fairly among the callers'
        organisations, at the entries and in the queue of a server.
      deadline_order: Order the queue of a server within a class by progress of
        the call trees and by target latency, instead of by the hash.
      return_times: Assign refused callers the time at which capacity is
        expected and admit them then, instead of drawing a delay; where
        ``pricing`` refuses them.
      preempt: Cancel running work in favour of more important work if the
        backend server accepts cancellation.
      slow_start: Raise the limit of a new server step by step.
      check_deadlines: Refuse work that can't finish before its deadline.
      limits: Enforce the concurrency limit and the queue bound.
      target_delay_ms: Queue wait in milliseconds above which the threshold is
        lowered.
      slots_share: Maximum share of the announced slots to use. A server that
        slows down when nearly full does more work with fewer slots.
      queue_slots_ratio: Queue bound as a multiple of the limit.
      reserved_share: Share of the limit reserved for the first class.
      gain: Gain of the queue depth term of the threshold.
      window_min_ms: Minimum length of the control window in milliseconds.
      window_max_ms: Maximum length of the control window in milliseconds.
      window_completions: Completions that end a window between its minimum and
        maximum length.
    """

    adapt_limit: bool = True
    class_order: bool = True
    consistent_hash: bool = True
    feedback: bool = True
    thresholds: bool = True
    pricing: bool = False
    fair_share: bool = True
    deadline_order: bool = False
    return_times: bool = False
    preempt: bool = True
    slow_start: bool = True
    check_deadlines: bool = True
    limits: bool = True
    target_delay_ms: Milliseconds = 20
    slots_share: Share = 1.0
    queue_slots_ratio: Annotated[float, msgspec.Meta(ge=0, le=100)] = 1.0
    reserved_share: Share = 0.1
    gain: Share = 0.5
    window_min_ms: Milliseconds = 50
    window_max_ms: Milliseconds = 250
    window_completions: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 30


class RoutingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The load balancing between the servers of a service.

    Attributes:
      prefer_near: Prefer servers of this node's data centre, then its region.
      spill_share: Share of the near servers' slots in use above which calls
        spill over to the next ring.
      outlier_share_max: Maximum share of a service's servers that are treated
        as outliers.
      outlier_weight: Relative probability of choosing an outlier.
      weigh_speed: Choose by the expected completion time, from load and run
        time, instead of by load alone.
      slow_start_ms: Milliseconds in which a server that joins a known service
        reaches its full share of the calls.
      refusal_bytes: Bytes between data centres that cost as much as one refused
        request. Calls then go to other data centres only when the near servers
        are full, and not at all if a call has more bytes. Zero decides for each
        call by spill_share.
    """

    prefer_near: bool = True
    spill_share: Share = 0.8
    outlier_share_max: Share = 0.3
    outlier_weight: Share = 0.1
    weigh_speed: bool = False
    slow_start_ms: Milliseconds = 10_000
    refusal_bytes: Count = 0


class QuarantinePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The quarantine of requests that crash servers.

    Attributes:
      enabled: Whether requests that crash servers are quarantined.
      deaths: Number of servers on distinct hosts that crashed running the
        request before it is quarantined; one more if all were on one host.
      duration_ms: Milliseconds for which the request is refused; each further
        death doubles them.
    """

    enabled: bool = True
    deaths: Annotated[int, msgspec.Meta(ge=1, le=100)] = 2
    duration_ms: Milliseconds = 60_000


class TicketPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The idempotency tickets of requests that are not repeatable.

    Attributes:
      required: Whether non-repeatable requests need a ticket.
      lifetime_ms: Milliseconds from issue to expiry.
      table_size: Maximum number of tickets kept per node.
      answer_bytes: Maximum bytes of answers kept per node for replay.
    """

    required: bool = True
    lifetime_ms: Milliseconds = 600_000
    table_size: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 100_000
    answer_bytes: Count = 1_000_000


class Preset(msgspec.Struct, frozen=True, kw_only=True):
    """The policies that operators switch as a whole.

    Attributes:
      name: Name of the preset.
      classes: Class names, most important first.
      internal_class: Class of the requests on host routes that only backend
        servers use, or empty for the class of their route.
      services_by_name: Policies of the services by service name.
      routes: Routes of requests to services; the longest matching prefix wins.
      host_routes: Routes of requests that are addressed by host name.
      organisations: Organisations whose keys callers present; without any,
        callers need no key.
      quotas: Precision of the organisations' caps.
      limits: Limits on requests and connections of callers.
      default_deadline_ms: Deadline in milliseconds of requests that match no
        route.
      hop_margin_ms: Milliseconds subtracted from the deadline at each hop for
        the return of the answer.
      retries: Retry budget.
      admission: Admission control.
      routing: Load balancing.
      quarantine: Quarantine of requests that crash servers.
      tickets: Idempotency tickets.
    """

    name: str
    classes: tuple[str, ...] = (CRITICAL, BROWSE)
    internal_class: str = ""
    services_by_name: dict[str, ServicePolicy] = msgspec.field(
        default_factory=dict
    )
    routes: tuple[Route, ...] = ()
    host_routes: tuple[HostRoute, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    quotas: QuotaPolicy = msgspec.field(default_factory=QuotaPolicy)
    limits: RequestLimits = msgspec.field(default_factory=RequestLimits)
    default_deadline_ms: Milliseconds = 5000
    hop_margin_ms: Count = 5
    retries: RetryPolicy = msgspec.field(default_factory=RetryPolicy)
    admission: AdmissionPolicy = msgspec.field(default_factory=AdmissionPolicy)
    routing: RoutingPolicy = msgspec.field(default_factory=RoutingPolicy)
    quarantine: QuarantinePolicy = msgspec.field(
        default_factory=QuarantinePolicy
    )
    tickets: TicketPolicy = msgspec.field(default_factory=TicketPolicy)

    def find_route(self, service: str, method: str, path: str) -> Route:
        """Returns the route of a request.

        Args:
          service: Service that is called.
          method: HTTP method.
          path: Path and query below the service.

        Returns:
          The matching route with the longest prefix. If none matches, a route
          with the most important class that is not repeatable.
        """
        bare_path = path.partition("?")[0]
        best = None
        for route in self.routes:
            if route.service != service:
                continue
            if route.method not in ("*", method):
                continue
            if not _has_prefix(bare_path, route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        if best is not None:
            return best
        return Route(
            service=service,
            method=method,
            prefix="/",
            class_name=self.classes[0],
            deadline_ms=self.default_deadline_ms,
        )

    def longest_deadline_ms(self) -> int:
        """Returns the longest deadline of any route in milliseconds."""
        deadlines_ms = [route.deadline_ms for route in self.routes]
        deadlines_ms += [route.timeout_ms for route in self.host_routes]
        return max([self.default_deadline_ms, *deadlines_ms])

    def get_class_rank(self, class_name: str) -> int:
        """Returns the rank of a class; zero is the most important.

        Args:
          class_name: Name of the class; an unknown class ranks last.
        """
        try:
            return self.classes.index(class_name)
        except ValueError:
            return len(self.classes)


def _has_prefix(path: str, prefix: str) -> bool:
    if prefix == "/" or path == prefix:
        return True
    return path.startswith(prefix.rstrip("/") + "/")
