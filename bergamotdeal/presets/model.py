"""The content of a preset.

The annotations carry the accepted ranges; ``msgspec`` checks them at the
border, and the error messages quote them.
"""

import dataclasses
from typing import Annotated

import msgspec

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Status = Annotated[int, msgspec.Meta(ge=400, le=599)]

CRITICAL = "critical"
BROWSE = "browse"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Policy for the requests of one service that match a method and path.

    Attributes:
      service: Service that the route belongs to.
      method: HTTP method, or ``*`` for any.
      prefix: Path prefix; it ends at a path segment.
      class_name: Class of the requests, one of the preset's.
      repeatable: Whether running the request twice is harmless.
      deadline_ms: Deadline when the caller states none.
      repeatable_below: Whether all calls that it leads to are repeatable too.
        Only then is it sent again after a lost answer; non-repeatable calls
        below it are refused.
      target_latency_ms: Time within which an answer is worth most, or zero.
      max_sendings: Servers to which one request is sent at most, or zero for
        the allowance of ``[retries]`` alone.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Destination:
    """A service that a host route leads to.

    Attributes:
      service: Name of the service.
      weight: Its part of the requests, relative to the other destinations.
    """

    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostRoute:
    """Policy for requests that are addressed by host name and path.

    Attributes:
      name: Name of the route, unique in the preset.
      host: Host name, in lower case.
      prefix: Path prefix; among the routes of a host the longest one counts.
      destinations: Services to which the requests go, by weight.
      class_name: Class of the requests, one of the preset's.
      repeatable: Whether running the request twice is harmless.
      timeout_ms: Longest time for which a request is kept waiting.
      target_latency_ms: Time within which an answer is worth most, or zero.
      max_sendings: Servers to which one request is sent at most.
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

    def build_route(self, service: str) -> Route:
        """Returns the policy of the requests that go to one destination.

        Args:
          service: The destination's service.
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
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """Bounds on what callers may send.

    Attributes:
      body_bytes: Longest body in bytes.
      idle_timeout_ms: Time for which callers may leave a connection idle.
    """

    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=2**30)] = 1024 * 1024
    idle_timeout_ms: Milliseconds = 60_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServicePolicy:
    """Policy for one service.

    Attributes:
      shed_status: Status by which a backend server says that it did not run
        the request, or None when no status says so.
      accepts_cancellation: Whether a closed connection stops the work.
      cold_start_ms: Time over which a new server's limit grows to its slots.
      health_path: Path of the health check that tells who the server is, or
        empty.
    """

    shed_status: Status | None = None
    accepts_cancellation: bool = False
    cold_start_ms: Count = 2000
    health_path: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryPolicy:
    """Bounds on re-sends.

    Attributes:
      allowance: Re-sends per user request over the whole chain.
      ratio: Re-sends per first sending to one service, on average.
      burst: Re-sends to one service above the ratio at once.
      fleet_burst: The same for all nodes together, divided among them; zero
        for a burst of each node's own.
      shed_elsewhere: Whether a request that one node shed is offered to
        another server of the service.
      by_progress: Whether the last tokens are kept for the calls of runs that
        have made others before.
    """

    allowance: Annotated[int, msgspec.Meta(ge=0, le=100)] = 3
    ratio: Share = 0.1
    burst: Count = 10
    fleet_burst: Count = 0
    shed_elsewhere: bool = False
    by_progress: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionPolicy:
    """Admission at a target's node; each rule can be switched off.

    Attributes:
      adapt_limit: Adapt the concurrency limit to the observed delay.
      class_order: Serve and keep classes in the preset's order.
      consistent_hash: Shed by the hash of the user request id.
      feedback: Report thresholds up to the entry and refuse there.
      thresholds: Set thresholds at the target by the rates of its windows.
      pricing: Refuse whole user requests at the entry by what they cost at
        the services under pressure; for host routes only.
      preempt: Cancel running work in favour of more important work, where the
        backend server accepts it.
      slow_start: Raise a new server's limit step by step.
      check_deadlines: Refuse work that can't finish in time.
      limits: Enforce concurrency limits and the queue bound at all.
      target_delay_ms: Queue wait above which the threshold falls.
      slots_share: Share of the announced slots that is used at most; a server
        that slows down when it is nearly full does more work with fewer.
      queue_slots_ratio: Queue bound as a multiple of the limit.
      reserved_share: Share of the limit kept for the first class.
      gain: Gain of the queue depth term of the threshold.
      window_min_ms: Shortest control window.
      window_max_ms: Longest control window.
      window_completions: Completions that end a window within its bounds.
    """

    adapt_limit: bool = True
    class_order: bool = True
    consistent_hash: bool = True
    feedback: bool = True
    thresholds: bool = True
    pricing: bool = False
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingPolicy:
    """Choice of a server.

    Attributes:
      prefer_near: Prefer the own data centre, then the region.
      spill_share: Share of near servers' slots in use above which calls
        spill to the next ring.
      outlier_share_max: Share of a service's servers set aside at most.
      outlier_weight: Relative pick probability of an outlier.
      weigh_speed: Choose by the time in which a call is expected to end, from
        load and run time, instead of by load alone.
      slow_start_ms: Time over which a server that joins a known service
        comes to its full share of the picks.
    """

    prefer_near: bool = True
    spill_share: Share = 0.8
    outlier_share_max: Share = 0.3
    outlier_weight: Share = 0.1
    weigh_speed: bool = False
    slow_start_ms: Milliseconds = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuarantinePolicy:
    """Quarantine of requests that crash servers.

    Attributes:
      enabled: Whether crashing requests are quarantined.
      deaths: Distinct servers that died running the request.
      duration_ms: Time for which the request is refused.
    """

    enabled: bool = True
    deaths: Annotated[int, msgspec.Meta(ge=1, le=100)] = 2
    duration_ms: Milliseconds = 60_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TicketPolicy:
    """Tickets of requests that are not repeatable.

    Attributes:
      required: Whether non-repeatable requests need a ticket.
      lifetime_ms: Time from issue to expiry.
      table_size: Tickets kept per node.
      answer_bytes: Bytes of answers kept for replay per node.
    """

    required: bool = True
    lifetime_ms: Milliseconds = 600_000
    table_size: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 100_000
    answer_bytes: Count = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preset:
    """Everything that operators can switch.

    Attributes:
      name: Name of the preset.
      classes: Class names, most important first.
      internal_class: Class of the requests on host routes that only backend
        servers use, or empty for the class of their route.
      services_by_name: Policies of the services by service name.
      routes: Routes; the longest matching prefix wins.
      host_routes: Routes of requests that are addressed by host name.
      limits: Bounds on what callers may send.
      default_deadline_ms: Deadline of requests that match no route.
      hop_margin_ms: Time kept back at each hop for the answer's way.
    """

    name: str
    classes: tuple[str, ...] = (CRITICAL, BROWSE)
    internal_class: str = ""
    services_by_name: dict[str, ServicePolicy] = dataclasses.field(
        default_factory=dict
    )
    routes: tuple[Route, ...] = ()
    host_routes: tuple[HostRoute, ...] = ()
    limits: RequestLimits = dataclasses.field(default_factory=RequestLimits)
    default_deadline_ms: Milliseconds = 5000
    hop_margin_ms: Count = 5
    retries: RetryPolicy = dataclasses.field(default_factory=RetryPolicy)
    admission: AdmissionPolicy = dataclasses.field(
        default_factory=AdmissionPolicy
    )
    routing: RoutingPolicy = dataclasses.field(default_factory=RoutingPolicy)
    quarantine: QuarantinePolicy = dataclasses.field(
        default_factory=QuarantinePolicy
    )
    tickets: TicketPolicy = dataclasses.field(default_factory=TicketPolicy)

    def find_route(self, service: str, method: str, path: str) -> Route:
        """Returns the policy for a request.

        Args:
          service: Service that is called.
          method: HTTP method.
          path: Path and query below the service.

        Returns:
          The matching route with the longest prefix. A request that matches
          none counts as most important and not repeatable.
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

    def get_class_rank(self, class_name: str) -> int:
        """Returns a class's rank, zero for the most important one.

        Args:
          class_name: Name of a class; an unknown one ranks last.
        """
        try:
            return self.classes.index(class_name)
        except ValueError:
            return len(self.classes)


def _has_prefix(path: str, prefix: str) -> bool:
    if prefix == "/" or path == prefix:
        return True
    return path.startswith(prefix.rstrip("/") + "/")
