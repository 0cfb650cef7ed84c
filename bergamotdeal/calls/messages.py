"""Events that enter the call engine and effects that leave it.

The engine has no clock, socket or random source. The node's tasks turn what
happens on sockets into events, and carry out the effects.
"""

import dataclasses
import enum

from bergamotdeal.calls import core
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.telemetry import catalogue


class Face(enum.Enum):
    """Where a call enters the node."""

    ENTRY = "entry"
    EGRESS = "egress"


# --- Events --------------------------------------------------------------


@dataclasses.dataclass(kw_only=True, slots=True)
class CallArrived:
    """A caller or the local backend server sent a request.

    Attributes:
      origin_id: Number that the face chose for this exchange.
      face: Face on which the request arrived.
      request: The request; its headers hold none of the system's own.
      user_request_id: From the caller, or minted by the face.
      deadline_ms: Time that the caller grants, or None for the route's.
      attempt: The caller's own count of re-sends.
      ticket: Encoded ticket, empty when none was presented.
      context: Value of the context header; on egress it names the run that
        makes this call, empty when the backend server did not copy it.
      idempotency_key: The caller's key for this call, or empty.
    """

    origin_id: int
    face: Face
    request: core.Request
    user_request_id: str
    deadline_ms: int | None = None
    attempt: int = 0
    ticket: bytes = b""
    context: str = ""
    idempotency_key: str = ""


@dataclasses.dataclass(kw_only=True, slots=True)
class CallerDisconnected:
    """The caller of an exchange disconnected before its answer."""

    origin_id: int


@dataclasses.dataclass(kw_only=True, slots=True)
class PeerCalled:
    """A call frame arrived on an incoming peer link."""

    link_id: int
    call: core.Call


@dataclasses.dataclass(kw_only=True, slots=True)
class PeerCancelled:
    """The origin of a call no longer wants its answer."""

    link_id: int
    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class PeerLinkClosed:
    """An incoming peer link closed; its calls can't be answered any more."""

    link_id: int


@dataclasses.dataclass(kw_only=True, slots=True)
class PeerAnswered:
    """An answer frame arrived for a call that this node dispatched."""

    host_id: str
    number: int
    user_request_id: str
    answer: core.Answer


@dataclasses.dataclass(kw_only=True, slots=True)
class DispatchFailed:
    """A dispatched call can't be answered on its link any more.

    Attributes:
      number: The call's number.
      may_have_been_sent: Whether the first byte of its frame may have left.
    """

    number: int
    may_have_been_sent: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class RunAnswered:
    """The local backend server gave a complete answer."""

    run_id: int
    status: int
    headers: core.Headers
    body: bytes


class RunFailure(enum.Enum):
    """Why a run ended without a complete answer."""

    UNREACHABLE = "unreachable"  # Nothing was sent.
    LOST = "lost"  # The connection closed after the hand-over.
    SHED = "shed"  # The server says that it did not run the request.
    MISDIRECTED = "misdirected"  # Another server has the address; not run.
    TIMED_OUT = "timed-out"
    INVALID = "invalid"  # The answer was malformed or cut short.
    TOO_LARGE = "too-large"


@dataclasses.dataclass(kw_only=True, slots=True)
class RunFailed:
    """A run on the local backend server ended without an answer."""

    run_id: int
    failure: RunFailure


@dataclasses.dataclass(kw_only=True, slots=True)
class ServerAnnounced:
    """The local backend server announced itself to its node."""

    service: str
    slots: int
    connections: int


@dataclasses.dataclass(kw_only=True, slots=True)
class ServerStopped:
    """The local backend server died: refused or reset its connections."""


@dataclasses.dataclass(kw_only=True, slots=True)
class ServerUnresponsive:
    """The local backend server's announcements stopped."""


@dataclasses.dataclass(kw_only=True, slots=True)
class ServerLeaving:
    """The local backend server leaves; what it runs may end.

    Attributes:
      instance: The instance that leaves.
    """

    instance: str


@dataclasses.dataclass(kw_only=True, slots=True)
class DrainStarted:
    """The node is to leave; work from other nodes is refused.

    Attributes:
      entry_open: Whether callers are still served.
    """

    entry_open: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class MembersChanged:
    """The membership view changed.

    Attributes:
      members_by_id: Every known member by host id, this node included.
    """

    members_by_id: dict[str, membership.Member]


@dataclasses.dataclass(kw_only=True, slots=True)
class PresetInForce:
    """A preset came into force.

    Attributes:
      epoch: Its epoch, higher than any before.
      preset: The preset's content.
    """

    epoch: int
    preset: model.Preset


@dataclasses.dataclass(kw_only=True, slots=True)
class CrashReportsReceived:
    """Crash reports arrived from other nodes."""

    reports: list[membership.CrashReport]


@dataclasses.dataclass(kw_only=True, slots=True)
class TimePassed:
    """The wake-up time that the engine asked for has come."""


Event = (
    CallArrived
    | CallerDisconnected
    | PeerCalled
    | PeerCancelled
    | PeerLinkClosed
    | PeerAnswered
    | DispatchFailed
    | RunAnswered
    | RunFailed
    | ServerAnnounced
    | ServerStopped
    | ServerUnresponsive
    | ServerLeaving
    | DrainStarted
    | MembersChanged
    | PresetInForce
    | CrashReportsReceived
    | TimePassed
)


# --- Effects -------------------------------------------------------------


@dataclasses.dataclass(kw_only=True, slots=True)
class ReplyToCaller:
    """Send the final answer of an exchange; exactly one per origin id."""

    origin_id: int
    user_request_id: str
    answer: core.Answer


@dataclasses.dataclass(kw_only=True, slots=True)
class SendCall:
    """Send a call frame to a host; dial the link if there is none."""

    host_id: str
    call: core.Call


@dataclasses.dataclass(kw_only=True, slots=True)
class SendCancel:
    """Tell the target that a call's answer is no longer wanted."""

    host_id: str
    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class SendAnswer:
    """Answer a call that arrived on an incoming peer link."""

    link_id: int
    number: int
    user_request_id: str
    answer: core.Answer


@dataclasses.dataclass(kw_only=True, slots=True)
class StartRun:
    """Hand a request over to the local backend server.

    Attributes:
      run_id: Number of the run, unique in the process lifetime.
      request: What to send.
      user_request_id: Sent along as the request id header.
      context: Value of the context header that the server copies.
      deadline_ms: Time left; the run fails as timed out after it.
      caller_service: Service of the host where the request began, or empty.
    """

    run_id: int
    request: core.Request
    user_request_id: str
    context: str
    deadline_ms: int
    caller_service: str = ""


@dataclasses.dataclass(kw_only=True, slots=True)
class CancelRun:
    """Abort a run on the local backend server; no event follows."""

    run_id: int


@dataclasses.dataclass(kw_only=True, slots=True)
class ShareCrashReports:
    """Spread crash reports to the other nodes."""

    reports: list[membership.CrashReport]


@dataclasses.dataclass(kw_only=True, slots=True)
class EventRecord:
    """Put a numbered event on the time line.

    Attributes:
      code: The event's number in the catalogue.
      user_request_id: The request that it belongs to, or empty.
      fields: Values for the event's message, by field name.
    """

    code: catalogue.EventCode
    user_request_id: str = ""
    fields: dict[str, str | int | float | bool] = dataclasses.field(
        default_factory=dict
    )


Effect = (
    ReplyToCaller
    | SendCall
    | SendCancel
    | SendAnswer
    | StartRun
    | CancelRun
    | ShareCrashReports
    | EventRecord
)
