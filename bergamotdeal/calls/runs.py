"""Requests at their target's node and the table that holds them."""

import collections
import enum
import math

import msgspec

from bergamotdeal.calls import deadlines
from bergamotdeal.presets import model
from bergamotdeal.retries import allowance
from bergamotdeal.rpc import core as rpc
from bergamotdeal.tickets import table as tickets

CONTEXT_SEPARATOR = "."


class Phase(enum.Enum):
    """Phase of a request at its target's node."""

    QUEUED = "queued"
    JOINED = "joined"  # Waits for another call with the same ticket.
    RUNNING = "running"
    ENDED = "ended"


class Run(msgspec.Struct, kw_only=True, eq=False):
    """Request at its target's node.

    Attributes:
      run_id: Number that is unique during the lifetime of the process.
      link_id: Link on which the call arrived.
      call: The call.
      route: Route of the call.
      class_name: Class of the user request or of the route, whichever is more
        important.
      deadline: Latest time to send the answer, in monotonic seconds.
      target: Time by which the answer to the user request keeps its full value,
        in monotonic seconds; infinite without a target latency.
      allowance: Retry allowance of the calls below this run.
      phase: Current phase.
      is_answered: Whether the call is answered or cancelled.
      is_abandoned: Whether the result is no longer needed.
      repeatable: False once a non-repeatable call below may have been handed
        over to a backend server.
      threshold: Lowest threshold that the run's own calls reported.
      child_origin_ids: Origin ids of the run's open calls.
      calls_made: Number of calls that the run has made.
      holds_retry_token: Whether a token of the retry budget was taken for a run
        that has not started.
      timer: Timer of the deadline.
      started_at: Time at which the request was sent to the backend server, in
        monotonic seconds.
      is_held: Whether the request waits for a connection to the backend server;
        no byte of it was sent then.
      fingerprint: Digest of the request.
      has_room: Whether the node has memory for the request's body.
      ticket_record: Record of the presented ticket, or None.
      awaited_record: Record of the ticket whose run this call waits for, or
        None.
      joined: Calls that presented the same ticket and wait for the answer.
      tickets_by_key: Tickets of the run's own calls by service and
        idempotency key.
    """

    run_id: int
    link_id: int
    call: rpc.Call
    route: model.Route
    class_name: str
    deadline: float
    allowance: allowance.Allowance
    target: float = math.inf
    phase: Phase = Phase.QUEUED
    is_answered: bool = False
    is_abandoned: bool = False
    repeatable: bool = True
    threshold: float = 1.0
    child_origin_ids: set[int] = msgspec.field(default_factory=set)
    calls_made: int = 0
    holds_retry_token: bool = False
    timer: deadlines.Timer | None = None
    started_at: float = 0.0
    is_held: bool = False
    fingerprint: str = ""
    has_room: bool = True
    ticket_record: tickets.TicketRecord | None = None
    awaited_record: tickets.TicketRecord | None = None
    joined: list["Run"] = msgspec.field(default_factory=list)
    tickets_by_key: dict[tuple[str, str], bytes] = msgspec.field(
        default_factory=dict
    )

    @property
    def tree_calls(self) -> int:
        """Number of calls that this run and the runs above it have made."""
        return self.call.prior_calls + self.calls_made

    @property
    def may_have_run(self) -> bool:
        """Whether an earlier attempt of the request may have run."""
        return self.call.may_have_run

    def keep_ticket(self, service: str, key: str, ticket: bytes) -> None:
        """Keeps the ticket of a call for a repeat of this run.

        Args:
          service: Service that the run calls.
          key: Idempotency key of the call; without one it is not recognised.
          ticket: Encoded ticket.
        """
        if key:
            self.tickets_by_key[service, key] = ticket

    def discard_ticket(self, service: str, key: str) -> None:
        """Discards the ticket of a call, as its issuer has burnt it."""
        self.tickets_by_key.pop((service, key), None)

    @property
    def is_unsent(self) -> bool:
        """Whether the request has certainly not reached the backend server.

        Another call with the same ticket may still run the request.
        """
        if self.call.ticket:
            return False
        return self.phase is Phase.QUEUED or self.is_held


MAX_ENDED_REQUESTS = 4096
"""Number of remembered ids of ended runs, some tens of seconds at one node."""

REQUEST_ID_SEPARATOR = "."
"""Separates the id of a request from the suffix for a call below it."""


class RunTable:
    """Table of runs, indexed by run id, call, request id and context.

    Attributes:
      runs_by_id: Runs by run id.
      runs_by_call: Unanswered runs by link id and number of the call.
      held_bytes: Bytes of the bodies of all runs.
      complete_from: Time from which all runs that may still make calls are
        known, in monotonic seconds. Those of an earlier process never were,
        and the memory of ended runs is bounded.
    """

    def __init__(self, *, incarnation: str):
        self._incarnation = incarnation
        self._last_id = 0
        self.runs_by_id: dict[int, Run] = {}
        self.runs_by_call: dict[tuple[int, int], Run] = {}
        self._runs_by_request_id: dict[str, Run] = {}
        self._repeat_count = 0
        self.held_bytes = 0
        self.complete_from = -math.inf
        self._deadlines_by_ended_id: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    @property
    def repeat_share(self) -> float:
        """Share of the current runs that are retries."""
        if not self._repeat_count:
            return 0.0
        return self._repeat_count / len(self.runs_by_id)

    def allocate_id(self) -> int:
        """Allocates an unused run id."""
        self._last_id += 1
        return self._last_id

    def add(self, run: Run) -> None:
        """Adds a run."""
        self._repeat_count += run.call.is_repeat
        self.held_bytes += len(run.call.request.body)
        self.runs_by_id[run.run_id] = run
        self.runs_by_call[run.link_id, run.call.number] = run
        self._runs_by_request_id[run.call.user_request_id] = run

    def record_hold(self, run_id: int, *, is_held: bool) -> None:
        """Records whether a run waits for a connection."""
        run = self.runs_by_id.get(run_id)
        if run is not None:
            run.is_held = is_held

    def close_call(self, run: Run) -> None:
        """Marks the call of a run as answered."""
        run.is_answered = True
        self.runs_by_call.pop((run.link_id, run.call.number), None)

    def remove(self, run: Run) -> None:
        """Removes a run that has ended."""
        run.phase = Phase.ENDED
        if self.runs_by_id.pop(run.run_id, None) is not None:
            self._repeat_count -= run.call.is_repeat
            self.held_bytes -= len(run.call.request.body)
        request_id = run.call.user_request_id
        if self._runs_by_request_id.get(request_id) is run:
            del self._runs_by_request_id[request_id]
        if run.started_at:
            self._deadlines_by_ended_id[request_id] = run.deadline
            self._deadlines_by_ended_id.move_to_end(request_id)
            if len(self._deadlines_by_ended_id) > MAX_ENDED_REQUESTS:
                _, deadline = self._deadlines_by_ended_id.popitem(last=False)
                self.complete_from = max(self.complete_from, deadline)

    def build_context(self, run: Run) -> str:
        """Builds the context value that identifies a run."""
        return f"{run.run_id:x}{CONTEXT_SEPARATOR}{self._incarnation}"

    def find_by_context(self, context: str) -> Run | None:
        """Finds the run that a context value identifies, or None.

        Args:
          context: Value of a context header, untrusted.
        """
        run_id = self._parse_context(context)
        return None if run_id is None else self.runs_by_id.get(run_id)

    def _parse_context(self, context: str) -> int | None:
        """Returns the run id in a context value of this process, or None."""
        number, _, incarnation = context.partition(CONTEXT_SEPARATOR)
        if incarnation != self._incarnation:
            return None
        try:
            return int(number, 16)
        except ValueError:
            return None

    def find_parent(self, user_request_id: str) -> Run | None:
        """Finds the running parent of a call whose id extends a run's id.

        Some backend servers derive the ids of their calls in this way. An id
        from another source doesn't start with the id of a current run by
        chance.

        Args:
          user_request_id: Id of the call.

        Returns:
          The parent, or None.
        """
        above, separator, _ = user_request_id.rpartition(REQUEST_ID_SEPARATOR)
        if not separator:
            return None
        run = self._runs_by_request_id.get(above)
        return run if run and run.phase is Phase.RUNNING else None

    def has_ended_parent(self, user_request_id: str, context: str) -> bool:
        """Returns whether the run that made a call has ended recently.

        Args:
          user_request_id: Id of the call.
          context: Value of a context header, untrusted.
        """
        above, separator, _ = user_request_id.rpartition(REQUEST_ID_SEPARATOR)
        if separator and above in self._deadlines_by_ended_id:
            return True
        run_id = self._parse_context(context)
        return (
            run_id is not None
            and 0 < run_id <= self._last_id
            and run_id not in self.runs_by_id
        )

    def may_have_forgotten_parent(
        self, user_request_id: str, context: str, now: float
    ) -> bool:
        """Returns whether a call may be that of a run that isn't known.

        Args:
          user_request_id: Id of the call.
          context: Value of a context header, untrusted.
          now: Current time in monotonic seconds.
        """
        may_name_parent = context or REQUEST_ID_SEPARATOR in user_request_id
        return bool(may_name_parent) and now < self.complete_from

    def mark_all_not_repeatable(self) -> None:
        """Marks all runs as possible causes of non-repeatable work."""
        for run in self.runs_by_id.values():
            run.repeatable = False

    def has_running(self) -> bool:
        """Returns whether the backend server is working on a request."""
        return any(
            run.phase is Phase.RUNNING for run in self.runs_by_id.values()
        )

    def is_idle(self) -> bool:
        """Returns whether all calls are answered and all runs have ended."""
        return not self.runs_by_call and not self.runs_by_id
