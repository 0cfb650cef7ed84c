"""Scenarios, user requests and results of the simulation."""

import dataclasses

from bergamotdeal.presets import model


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tier:
    """One service of the chain.

    Attributes:
      slots: Concurrency limit of each server.
      service_s: Mean service time of a request without its downstream call,
        in seconds.
    """

    slots: int
    service_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """Configuration of one run; all durations are in seconds.

    Attributes:
      name: Name in the table.
      tiers: Services of the chain, the bottleneck last.
      arrival_rate_per_s: User requests per second outside the trigger.
      policy: Admission policy of all nodes.
      seed: Seed of the random number generator.
      servers_per_tier: Number of servers of each service.
      entries: Number of entry nodes; each receives a part of the user
        requests.
      critical_share: Share of user requests of the most important class.
      surge_factor: Factor on the arrival rate during the trigger.
      slowdown_factor: Factor on the bottleneck's service time during the
        trigger.
      warm_up_s: Time at the start that the figures exclude.
      steady_s: Time from the start to the trigger.
      trigger_s: Duration of the trigger.
      after_s: Time from the end of the trigger to the last arrival.
      deadline_s: Deadline of each attempt of a caller.
      max_retries: Maximum number of retries of a caller.
      mean_backoff_s: Mean backoff before a retry of a caller.
      max_attempts: Maximum number of attempts of a call inside the chain.
      propagates_cancellation: Whether the cancellation of an expired call
        propagates down the chain.
      link_delay_s: One-way delay between two nodes.
      knee_concurrency: Concurrency above which requests contend for the
        bottleneck's servers; service times then grow by the square of
        concurrency over this value. None without contention.
      cold_start_s: Time at the start during which service times are longer.
    """

    name: str
    tiers: tuple[Tier, ...]
    arrival_rate_per_s: float
    policy: model.AdmissionPolicy = dataclasses.field(
        default_factory=model.AdmissionPolicy
    )
    seed: int = 1
    servers_per_tier: int = 1
    entries: int = 3
    critical_share: float = 0.2
    surge_factor: float = 2.0
    slowdown_factor: float = 3.0
    warm_up_s: float = 2.0
    steady_s: float = 4.0
    trigger_s: float = 6.0
    after_s: float = 10.0
    deadline_s: float = 1.0
    max_retries: int = 3
    mean_backoff_s: float = 0.1
    max_attempts: int = 1
    propagates_cancellation: bool = True
    link_delay_s: float = 0.0003
    knee_concurrency: int | None = None
    cold_start_s: float = 0.0

    def trigger_end_s(self) -> float:
        """Returns the end of the trigger, in seconds from the start."""
        return self.steady_s + self.trigger_s

    def degraded_capacity_per_s(self) -> float:
        """Returns the bottleneck's capacity in the trigger, per second."""
        bottleneck = self.tiers[-1]
        slots = (
            bottleneck.slots
            if self.knee_concurrency is None
            else self.knee_concurrency
        )
        slots *= self.servers_per_tier
        return slots / (bottleneck.service_s * self.slowdown_factor)


@dataclasses.dataclass(kw_only=True, slots=True)
class UserRequest:
    """Request of a user with all its attempts.

    Attributes:
      number: Sequence number, from which the request id is derived.
      share: Hash of the request id in [0, 1), its place in the shedding order.
      is_critical: Whether it belongs to the most important class.
      arrived_at: Time of the first attempt, in seconds.
      sendings: Number of attempts so far.
      completed: Time of the successful answer in seconds, or None.
    """

    number: int
    share: float
    is_critical: bool
    arrived_at: float
    sendings: int = 0
    completed: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Figures of one run.

    Attributes:
      goodput: Completions during the trigger, as a share of the chain's
        capacity or of the arrivals where those are fewer.
      wasted_work_share: Share of service time spent on calls whose answer was
        of no use.
      wasted_slot_share: Share of slot time, waits for downstream calls
        included, that such calls held.
      recovery_s: Time in seconds from the trigger's end until the completion
        rate has returned to its steady level for good, or None when it never
        did.
      critical_completion_share: Share of the critical user requests of the
        trigger that completed.
      steady_completion_share: Share of user requests that completed among
        those that arrived early enough before the trigger to be done when it
        begins.
    """

    goodput: float
    wasted_work_share: float
    wasted_slot_share: float
    recovery_s: float | None
    critical_completion_share: float
    steady_completion_share: float
