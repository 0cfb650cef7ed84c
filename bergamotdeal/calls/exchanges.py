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
      deadline: Time at which the caller gets its answer at the latest.
      depth: Number of calls above this one.
      attempt: The caller's own count of re-sends.
      allowance: Where its re-sends are paid from.
      parent: The run that made this call, or None.
      may_have_run: Whether an earlier sending may have run.
      ticket: Encoded ticket to present, or empty.
      number: Number of the dispatch in flight, zero without one.
      host_id: Host that the last dispatch went to.
      carried: Tokens that the dispatch in flight took along.
      sent_at: Time of the last dispatch, monotonic seconds.
      resends: Re-sends so far.
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
    deadline: float
    depth: int
    attempt: int
    allowance: allowance.Allowance
    parent: runs.Run | None = None
    may_have_run: bool = False
    ticket: bytes = b""
    number: int = 0
    host_id: str = ""
    carried: int = 0
    sent_at: float = 0.0
    resends: int = 0
    tried: frozenset[str] = frozenset()
    timer: deadlines.Timer | None = None
