"""A request that the target's node holds, and the table of them."""

import dataclasses
import enum

from bergamotdeal.calls import core
from bergamotdeal.calls import deadlines
from bergamotdeal.presets import model
from bergamotdeal.retries import allowance
from bergamotdeal.tickets import table as tickets

CONTEXT_SEPARATOR = "."


class Phase(enum.Enum):
    """Where a request at its target's node stands."""

    QUEUED = "queued"
    JOINED = "joined"  # Waits for the answer of another call's run.
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """A request at its target's node.

    Attributes:
      run_id: Number that is unique in the process lifetime.
      link_id: Link on which the call arrived.
      call: The call.
      route: Policy of the call's route.
      class_name: The more important class of user request and route.
      deadline: Time at which the answer must leave, monotonic seconds.
      allowance: Re-sends that may be spent below this run.
      phase: Where the request stands.
      answered: Whether the call has its answer or needs none any more.
      abandoned: Whether the work is of no use any more.
      repeatable: False once a non-repeatable call below may have been handed
        over.
      threshold: The tightest threshold that its own calls reported.
      children: Origin ids of the open calls that it made.
      calls_made: Calls that it has made so far.
      timer: Timer of the deadline.
      started_at: Time of the hand-over, monotonic seconds.
      fingerprint: Digest of the request.
      record: Record of its ticket, or None.
      waits_for: Record of the ticket whose run it waits for, or None.
      joined: Calls that presented the same ticket and wait for the answer.
      tickets_by_key: Tickets of its own calls by service and idempotency
        key.
    """

    run_id: int
    link_id: int
    call: core.Call
    route: model.Route
    class_name: str
    deadline: float
    allowance: allowance.Allowance
    phase: Phase = Phase.QUEUED
    answered: bool = False
    abandoned: bool = False
    repeatable: bool = True
    threshold: float = 1.0
    children: set[int] = dataclasses.field(default_factory=set)
    calls_made: int = 0
    timer: deadlines.Timer | None = None
    started_at: float = 0.0
    fingerprint: str = ""
    record: tickets.TicketRecord | None = None
    waits_for: tickets.TicketRecord | None = None
    joined: list["Run"] = dataclasses.field(default_factory=list)
    tickets_by_key: dict[tuple[str, str], bytes] = dataclasses.field(
        default_factory=dict
    )

    @property
    def may_have_run(self) -> bool:
        """Whether an earlier sending of the request may have run."""
        return self.call.may_have_run


ID_SEPARATOR = "."
"""Stands between the id of a request and what a call below it adds to it."""


class RunTable:
    """Runs by id, by call, by request id and by context."""

    def __init__(self, *, incarnation: str):
        self._incarnation = incarnation
        self._last_id = 0
        self.runs_by_id: dict[int, Run] = {}
        self.runs_by_call: dict[tuple[int, int], Run] = {}
        self._runs_by_request_id: dict[str, Run] = {}

    def next_id(self) -> int:
        """Returns a run id that was never used before."""
        self._last_id += 1
        return self._last_id

    def add(self, run: Run) -> None:
        """Adds a run."""
        self.runs_by_id[run.run_id] = run
        self.runs_by_call[run.link_id, run.call.number] = run
        self._runs_by_request_id[run.call.user_request_id] = run

    def close_call(self, run: Run) -> None:
        """Notes that a run's call is answered."""
        run.answered = True
        self.runs_by_call.pop((run.link_id, run.call.number), None)

    def remove(self, run: Run) -> None:
        """Forgets a run that has ended."""
        run.phase = Phase.ENDED
        self.runs_by_id.pop(run.run_id, None)
        request_id = run.call.user_request_id
        if self._runs_by_request_id.get(request_id) is run:
            del self._runs_by_request_id[request_id]

    def context_of(self, run: Run) -> str:
        """Returns the context that names a run of this incarnation."""
        return f"{run.run_id:x}{CONTEXT_SEPARATOR}{self._incarnation}"

    def find(self, context: str) -> Run | None:
        """Returns the run that a context names, or None.

        Args:
          context: Value of a context header, from any source.
        """
        number, _, incarnation = context.partition(CONTEXT_SEPARATOR)
        if incarnation != self._incarnation:
            return None
        try:
            run_id = int(number, 16)
        except ValueError:
            return None
        return self.runs_by_id.get(run_id)

    def parent_of(self, user_request_id: str) -> Run | None:
        """Returns the run whose request id a call's id continues, or None.

        Some backend servers derive the ids of their calls so. An id from
        elsewhere can't begin with that of a run in progress by chance.

        Args:
          user_request_id: Id of the call.
        """
        above, separator, _ = user_request_id.rpartition(ID_SEPARATOR)
        if not separator:
            return None
        run = self._runs_by_request_id.get(above)
        return run if run and run.phase is Phase.RUNNING else None

    def mark_all_not_repeatable(self) -> None:
        """Notes that each run may have led to non-repeatable work."""
        for run in self.runs_by_id.values():
            run.repeatable = False

    def is_idle(self) -> bool:
        """Whether every call is answered and every run has ended."""
        return not self.runs_by_call and not self.runs_by_id
