"""Scenarios and results of the study."""

import dataclasses

from bergamotdeal.presets import model


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Level:
    """One service of the chain.

    Attributes:
      slots: Requests that one server runs at the same time.
      service_s: Mean own work of a request, seconds.
    """

    slots: int
    service_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """One run of the study.

    Attributes:
      name: Name in the table.
      levels: Services from the entry to the deepest.
      demand: User requests per second in calm.
      policy: Admission policy of all nodes.
      seed: Seed of the random source.
      servers: Servers of each service.
      entries: Nodes that take user requests, each a part of them.
      critical_share: Share of user requests in the first class.
      surge: Factor on the demand during the trigger.
      slowdown: Factor on the deepest service's work during the trigger.
      warm_s: Time at the start that no figure counts, seconds.
      calm_s: Time before the trigger, seconds.
      trigger_s: Length of the trigger, seconds.
      after_s: Time after the trigger, seconds.
      deadline_s: Time that a caller waits for one sending, seconds.
      resends: Times that a caller sends again.
      resend_wait_s: Mean wait before a caller sends again, seconds.
      tries: Sendings of one call inside the chain.
      cancels: Whether an expired call is cancelled down the chain.
      link_s: One-way delay between two nodes, seconds.
      knee: Requests at once above which the deepest servers contend: their
        work then takes longer by the square of the excess. None when it
        never does.
      cold_s: Time for which the servers' work takes longer at the start,
        seconds.
    """

    name: str
    levels: tuple[Level, ...]
    demand: float
    policy: model.AdmissionPolicy = dataclasses.field(
        default_factory=model.AdmissionPolicy
    )
    seed: int = 1
    servers: int = 1
    entries: int = 3
    critical_share: float = 0.2
    surge: float = 2.0
    slowdown: float = 3.0
    warm_s: float = 2.0
    calm_s: float = 4.0
    trigger_s: float = 6.0
    after_s: float = 10.0
    deadline_s: float = 1.0
    resends: int = 3
    resend_wait_s: float = 0.1
    tries: int = 1
    cancels: bool = True
    link_s: float = 0.0003
    knee: int | None = None
    cold_s: float = 0.0

    def trigger_end(self) -> float:
        """Returns the end of the trigger, seconds from the start."""
        return self.calm_s + self.trigger_s

    def slow_capacity(self) -> float:
        """Returns what the slowed deepest service carries per second."""
        deepest = self.levels[-1]
        slots = deepest.slots if self.knee is None else self.knee
        slots *= self.servers
        return slots / (deepest.service_s * self.slowdown)


@dataclasses.dataclass(kw_only=True, slots=True)
class UserRequest:
    """A request of a caller with all its sendings.

    Attributes:
      number: Its number; the request id is made from it.
      share: Its place in the shedding order.
      critical: Whether it is in the first class.
      arrived: Time of the first sending, seconds.
      sendings: Sendings so far.
      completed: Time of its answer, or None.
    """

    number: int
    share: float
    critical: bool
    arrived: float
    sendings: int = 0
    completed: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Figures of one run.

    Attributes:
      goodput: Completions in the trigger over what the chain could carry.
      wasted: Share of the servers' own work spent on calls whose answer was
        of no use.
      held: Share of slot time, waits for children included, that such calls
        held.
      recovery_s: Time from the trigger's end until user requests complete as
        in calm and go on doing so, or None when that never came.
      critical: Share of critical user requests of the trigger that completed.
      calm: Share of user requests that completed among those that arrived
        early enough before the trigger to be done when it begins.
    """

    goodput: float
    wasted: float
    held: float
    recovery_s: float | None
    critical: float
    calm: float
