"""A request that a caller waits for at this node."""

import dataclasses

from bergamotdeal.calls import core
from bergamotdeal.calls import deadlines
from bergamotdeal.calls import messages
from bergamotdeal.calls import runs
from bergamotdeal.presets import model
from bergamotdeal.retries import allowance


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Exchange:
    """A request of a caller or of the local backend server.

    Attributes:
      origin_id: Number that the face chose.
      face: Face on which the request arrived.
      request: The request.
      user_request_id: Id of the user request at the root.
      call_id: Id of this call, the same for each of its dispatches.
      route: Policy of the request's route.
      class_name: Class of the user request as known here.
      arrived_at: Time of its arrival, monotonic seconds.
      deadline: Time at which the caller gets its answer at the latest.
      depth: Number of calls above this one.
      attempt: The caller's own count of re-sends.
      allowance: Where its re-sends are paid from.
      parent: The run that made this call, or None.
      is_internal: Whether the local backend server made it, as far as can be
        told.
      is_priced: Whether it is known to be a user request, which may be
        refused for what it costs.
      prior_calls: Calls that the run which makes this one has made before.
      may_have_run: Whether an earlier sending may have run.
      key: Idempotency key of a run's call, or empty.
      ticket: Encoded ticket to present, or empty.
      minting: Whether the dispatch in flight only asks for a ticket.
      ticket_is_own: Whether this node got the ticket on the caller's behalf.
      number: Number of the dispatch in flight, zero without one.
      last_number: Number of the last dispatch, zero before the first.
      host_id: Host that the last dispatch went to.
      carried: Tokens that the dispatch in flight took along.
      sent_at: Time of the last dispatch, monotonic seconds.
      resends: Re-sends so far.
      losses: Dispatches whose answer was lost.
      repeatable: False once a dispatch may have led to non-repeatable work.
      tried: Hosts that refused or lost a dispatch.
      timer: Timer of the deadline.
    """

    origin_id: int
    face: messages.Face
    request: core.Request
    user_request_id: str
    call_id: str
    route: model.Route
    class_name: str
    arrived_at: float
    deadline: float
    depth: int
    attempt: int
    allowance: allowance.Allowance
    parent: runs.Run | None = None
    is_internal: bool = False
    is_priced: bool = False
    prior_calls: int = 0
    may_have_run: bool = False
    key: str = ""
    ticket: bytes = b""
    minting: bool = False
    ticket_is_own: bool = False
    number: int = 0
    last_number: int = 0
    host_id: str = ""
    carried: int = 0
    sent_at: float = 0.0
    resends: int = 0
    losses: int = 0
    repeatable: bool = True
    tried: frozenset[str] = frozenset()
    timer: deadlines.Timer | None = None

    @property
    def own_refusal_may_have_run(self) -> bool:
        """Whether a refusal by this node must leave open that it has run.

        Only the node that a ticket names knows whether the request has run
        under it, unless no other sending can have presented the ticket.
        """
        if self.ticket and (self.key or not self.ticket_is_own):
            return True
        return self.may_have_run
