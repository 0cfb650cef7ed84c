"""State of a request whose caller waits for the answer at this node."""

import math

import msgspec

from bergamotdeal.calls import deadlines
from bergamotdeal.calls import messages
from bergamotdeal.calls import runs
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.retries import allowance
from bergamotdeal.rpc import core as rpc


class Exchange(msgspec.Struct, kw_only=True, eq=False):
    """Request of a caller or of the local backend server.

    Attributes:
      origin_id: Exchange number assigned by the face.
      face: Face on which the request arrived.
      request: The request.
      user_request_id: Id of the user request at the root of the call tree.
      call_id: Id of this call, the same for all of its dispatches.
      route: Route of the request.
      class_name: Class of the user request as known to this node.
      arrived_at: Arrival time in monotonic seconds.
      deadline: Latest time of the answer to the caller, in monotonic seconds.
      fingerprint: Hash that identifies the request when its caller returns.
      target: Time by which the answer to the user request keeps its full value,
        in monotonic seconds; infinite without a target latency.
      depth: Number of calls above this one in the call tree.
      attempt: Number of retries according to the caller.
      allowance: Retry allowance of the call.
      parent: Run that made this call, or None.
      is_internal: Whether the local backend server made the call, as far as
        this node can tell.
      is_matched: Whether the id of the call names the run that made it.
      is_priced: Whether this is known to be a user request, which pricing may
        refuse.
      prior_calls: Number of earlier calls of the call tree above this one.
      may_have_run: Whether an earlier attempt may have run.
      key: Idempotency key of a run's call, or empty.
      ticket: Encoded ticket to present, or empty.
      is_requesting_ticket: Whether the dispatch in flight only requests a
        ticket.
      has_own_ticket: Whether this node obtained the ticket for the caller.
      number: Number of the dispatch in flight, zero if there is none.
      is_held: Whether the dispatch in flight waits for its link to open; no
        byte of it was sent then.
      last_number: Number of the last dispatch, zero before the first.
      host_id: Host of the last dispatch.
      delegated_tokens: Number of retries that the dispatch in flight carries
        to its target.
      sent_at: Time of the last dispatch in monotonic seconds.
      retry_count: Number of retries so far.
      is_repeat: Whether the next dispatch counts as a retry at its service.
      lost_dispatches: Number of dispatches whose answer was lost.
      repeatable: False once a dispatch may have caused non-repeatable work.
      organisation: Organisation of the caller, or empty.
      key_digest: Digest of the key that the organisation was found by; empty
        if the organisation is inherited from a run.
      key_epoch: Epoch of the preset in which the key was last found.
      key_refusal: Reason to refuse the request for want of a valid key, or
        None.
      is_waiting_for_quota: Whether the request waits for a token of the
        organisation's cap.
      quota_expires_at: Expiry of the token while it can be returned, or None.
      tried_host_ids: Hosts that refused or lost a dispatch.
      timer: Timer of the deadline.
    """

    origin_id: int
    face: messages.Face
    request: rpc.Request
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
    is_matched: bool = False
    is_priced: bool = False
    prior_calls: int = 0
    may_have_run: bool = False
    key: str = ""
    ticket: bytes = b""
    is_requesting_ticket: bool = False
    has_own_ticket: bool = False
    number: int = 0
    is_held: bool = False
    last_number: int = 0
    host_id: str = ""
    delegated_tokens: int = 0
    sent_at: float = 0.0
    retry_count: int = 0
    is_repeat: bool = False
    lost_dispatches: int = 0
    repeatable: bool = True
    organisation: str = ""
    key_digest: str = ""
    key_epoch: int = 0
    key_refusal: errors.ErrorKind | None = None
    fingerprint: int = 0
    target: float = math.inf
    is_waiting_for_quota: bool = False
    quota_expires_at: float | None = None
    tried_host_ids: frozenset[str] = frozenset()
    timer: deadlines.Timer | None = None

    @property
    def is_call_of_run(self) -> bool:
        """Whether this is known to be a call of a run of the local server."""
        return self.is_matched or self.parent is not None

    @property
    def may_have_run_despite_refusal(self) -> bool:
        """Whether the request may have run although this node refuses it.

        Only the node that issued a ticket knows whether the request has run
        under it, unless no other attempt can have presented the ticket.
        """
        if self.ticket and (self.key or not self.has_own_ticket):
            return True
        return self.may_have_run


class ExchangeTable:
    """Table of the exchanges that are not answered yet.

    Attributes:
      exchanges_by_origin_id: The exchanges by origin id.
      held_bytes: Bytes of the bodies of their requests.
    """

    def __init__(self) -> None:
        self.exchanges_by_origin_id: dict[int, Exchange] = {}
        self.held_bytes = 0

    def add(self, exchange: Exchange) -> None:
        """Adds an exchange."""
        self.exchanges_by_origin_id[exchange.origin_id] = exchange
        self.held_bytes += len(exchange.request.body)

    def remove(self, exchange: Exchange) -> None:
        """Removes an exchange that is answered."""
        del self.exchanges_by_origin_id[exchange.origin_id]
        self.held_bytes -= len(exchange.request.body)

    def find(self, origin_id: int) -> Exchange | None:
        """Returns the exchange with an origin id, or None."""
        return self.exchanges_by_origin_id.get(origin_id)

    def find_by_event(self, event: messages.Event) -> Exchange | None:
        """Finds the unanswered exchange that an event belongs to, or None.

        For events whose handling failed; searches all exchanges.
        """
        match event:
            case (
                messages.CallArrived()
                | messages.CallerDisconnected()
                | messages.QuotaGranted()
                | messages.QuotaRefused()
            ):
                return self.find(event.origin_id)
            case messages.PeerAnswered() | messages.DispatchFailed():
                for exchange in self.exchanges_by_origin_id.values():
                    if exchange.last_number == event.number:
                        return exchange
        return None
