"""Simulation of one server behind an admission controller."""

import dataclasses
import heapq

from bergamotdeal.admission import controller
from bergamotdeal.admission import core
from bergamotdeal.presets import model


@dataclasses.dataclass(kw_only=True)
class Arrival:
    """A request that arrives at the server's node.

    Attributes:
      at: Time of arrival, seconds.
      run_s: Time that its run takes.
      deadline_s: Time to its deadline.
      started_at: Time of its start, or None.
      ended_at: Time at which its run completed, or None.
      fields: Further fields of its job.
    """

    at: float
    run_s: float
    deadline_s: float = 2.0
    rank: int = 1
    started_at: float | None = None
    ended_at: float | None = None
    fields: dict = dataclasses.field(default_factory=dict)


def run_server(arrivals, *, slots, policy, on_end=None):
    """Serves arrivals in order of time and fills in their times.

    Args:
      arrivals: The arrivals.
      slots: Slots of the server.
      policy: Admission policy.
      on_end: Called with an arrival that is refused or has run and the time;
        returns further arrivals.
    """
    admission = controller.AdmissionController(
        policy=policy,
        service_policy=model.ServicePolicy(cold_start_ms=0),
        class_count=4,
        slots=slots,
        now=0.0,
    )
    events = [(each.at, n, each) for n, each in enumerate(arrivals)]
    heapq.heapify(events)
    number = len(events)
    arrivals_by_id = {}

    def end(arrival, now):
        nonlocal number
        for further in on_end(arrival, now) if on_end else ():
            number += 1
            heapq.heappush(events, (further.at, number, further))

    def apply(decisions, now):
        nonlocal number
        for decision in decisions:
            arrival = arrivals_by_id[decision.job_id]
            match decision:
                case core.Start():
                    arrival.started_at = now
                    number += 1
                    entry = (now + arrival.run_s, number, decision.job_id)
                    heapq.heappush(events, entry)
                case core.Refuse():
                    end(arrival, now)

    while events:
        now, key, event = heapq.heappop(events)
        if isinstance(event, Arrival):
            arrivals_by_id[key] = event
            job = core.Job(
                job_id=key,
                class_rank=event.rank,
                hash_share=0.0,
                deadline=now + event.deadline_s,
                arrived=now,
                **event.fields,
            )
            apply(admission.submit(job, now), now)
        else:
            arrivals_by_id[event].ended_at = now
            apply(admission.release_slot(event, now, completed=True), now)
            end(arrivals_by_id[event], now)
