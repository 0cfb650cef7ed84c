"""Messages between nodes, and events and effects of the gossip core."""

import dataclasses
import enum

from bergamotdeal.membership import core
from bergamotdeal.settings import model as settings
from bergamotdeal.telemetry import catalogue

Endpoint = settings.Endpoint

MAX_NAME_BYTES = 64
"""Longest host, data centre, region or service name on the wire."""


class Health(enum.IntEnum):
    """Health of a member by other nodes' judgement, in order of precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


# --- Rumours --------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordRumour:
    """A member's own record.

    Attributes:
      member: The record; its state is alive, draining or, after the member
        left, dead.
    """

    member: core.Member


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VerdictRumour:
    """Another node's judgement of one incarnation of a member.

    Attributes:
      host_id: The judged member.
      incarnation: Its incarnation.
      state_number: State number up to which the judgement holds.
      health: Suspect or dead.
    """

    host_id: str
    incarnation: str
    state_number: int
    health: Health


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashRumour:
    """A report of a backend server that died running a request."""

    report: core.CrashReport


Rumour = RecordRumour | VerdictRumour | CrashRumour


# --- Datagrams ------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Asks the receiver for an ack.

    Attributes:
      number: Random number that the ack repeats.
      host_id: Member that is to answer, or empty on first contact.
    """

    number: int
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PingRequest:
    """Asks the receiver to ping a member on the sender's behalf."""

    number: int
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ack:
    """Answers a ping or a ping request."""

    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EmptyBody:
    """Carries rumours and nothing else."""


Body = Ping | PingRequest | Ack | EmptyBody


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Datagram:
    """One UDP message.

    Attributes:
      sender: The sender's own record.
      epoch: Epoch of the preset in force at the sender.
      body: What the sender wants.
      rumours: Piggybacked rumours.
    """

    sender: core.Member
    epoch: int
    body: Body
    rumours: tuple[Rumour, ...] = ()


# --- Anti-entropy ---------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownMember:
    """One entry of a view.

    Attributes:
      member: The member's own record.
      health: Health in the sender's view.
    """

    member: core.Member
    health: Health


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """Asks for the entries of the buckets whose digests differ."""

    sender: core.Member
    epoch: int
    digests: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncResponse:
    """The answerer's entries in the buckets that differ."""

    buckets: tuple[int, ...]
    entries: tuple[KnownMember, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncPush:
    """The asker's entries in the buckets that differed."""

    entries: tuple[KnownMember, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncDone:
    """Confirms a push."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PresetRequest:
    """Asks for the preset in force.

    Attributes:
      known_digests: Digests of the sections that the asker already has.
    """

    known_digests: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Section:
    """One section of an encoded preset.

    Attributes:
      name: Name of the section.
      digest: Digest of its content.
      content: Its content, or None when the asker has it already.
    """

    name: str
    digest: bytes
    content: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PresetResponse:
    """The preset in force at the answerer.

    Attributes:
      epoch: Its epoch, zero when none is in force.
      operation_id: Id of the switch that brought it into force.
      sections: All sections in order, known ones without content.
    """

    epoch: int
    operation_id: str
    sections: tuple[Section, ...]


Bulk = (
    SyncRequest
    | SyncResponse
    | SyncPush
    | SyncDone
    | PresetRequest
    | PresetResponse
)


# --- Events of the core ---------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DatagramArrived:
    """An authentic datagram arrived."""

    datagram: Datagram
    source: Endpoint


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SeedsFound:
    """Addresses of nodes to meet, from the settings or the registry."""

    seeds: tuple[Endpoint, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerChanged:
    """The local backend server announced itself, changed or stopped."""

    server: core.Server | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeDraining:
    """This node drains; it takes no new work in this incarnation."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaveRequested:
    """This node stops; nothing follows."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashReportsCreated:
    """Crash reports of this node are to spread."""

    reports: tuple[core.CrashReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EpochChanged:
    """A preset came into force at this node."""

    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncAnswered:
    """The answer to a sync request or push arrived."""

    endpoint: Endpoint
    answer: SyncResponse | SyncDone


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncFailed:
    """A sync request or push got no answer."""

    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimePassed:
    """The wake-up time that the core asked for has come."""


LocalChange = (
    ServerChanged
    | NodeDraining
    | LeaveRequested
    | CrashReportsCreated
    | EpochChanged
)

Event = (
    DatagramArrived
    | SeedsFound
    | SyncAnswered
    | SyncFailed
    | TimePassed
    | LocalChange
)


# --- Effects of the core --------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendDatagram:
    """Send a datagram."""

    endpoint: Endpoint
    datagram: Datagram


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendBulk:
    """Send a bulk message by TCP and hand its answer back as an event."""

    endpoint: Endpoint
    bulk: SyncRequest | SyncPush


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ViewChanged:
    """The members or their states changed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EpochAdvertised:
    """Another node has a preset of this epoch in force."""

    epoch: int
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashReportsReceived:
    """Crash reports that this node had not heard arrived."""

    reports: tuple[core.CrashReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordEvent:
    """Put a numbered event on the time line."""

    code: catalogue.EventCode
    fields: dict[str, str | int | float | bool]


Effect = (
    SendDatagram
    | SendBulk
    | ViewChanged
    | EpochAdvertised
    | CrashReportsReceived
    | RecordEvent
)
