"""Messages between nodes, and events and effects of the gossip protocol."""

import enum

import msgspec

from bergamotdeal.membership import core
from bergamotdeal.settings import model as settings
from bergamotdeal.telemetry import catalogue

Endpoint = settings.Endpoint

MAX_NAME_BYTES = 64
"""Maximum bytes of a host, data centre, region or service name on the wire."""


class Health(enum.IntEnum):
    """Health of a member as detected by other nodes, by rising precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class RecordRumour(msgspec.Struct, frozen=True, kw_only=True):
    """A rumour of a member's record.

    Attributes:
      member: The record as the member announced it. Its state is alive,
        draining or, after the member left, dead.
    """

    member: core.Member


class VerdictRumour(msgspec.Struct, frozen=True, kw_only=True):
    """A rumour that an incarnation of a member is suspect or dead.

    Attributes:
      host_id: Host id of the member.
      incarnation: Incarnation that the verdict is about.
      state_number: State number up to which the verdict holds.
      health: Suspect or dead.
    """

    host_id: str
    incarnation: str
    state_number: int
    health: Health


class CrashRumour(msgspec.Struct, frozen=True, kw_only=True):
    """A rumour of a backend server that crashed while running a request.

    Attributes:
      report: The crash report.
    """

    report: core.CrashReport


Rumour = RecordRumour | VerdictRumour | CrashRumour


class Ping(msgspec.Struct, frozen=True, kw_only=True):
    """A request for an ack.

    Attributes:
      number: Random sequence number that the ack repeats.
      host_id: Member that is to answer, or empty if the sender doesn't know
        which member has the address.
    """

    number: int
    host_id: str


class PingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for an indirect probe.

    Attributes:
      number: Random sequence number that the ack to the sender repeats.
      host_id: Member that the receiver is to ping.
    """

    number: int
    host_id: str


class Ack(msgspec.Struct, frozen=True, kw_only=True):
    """An answer to a ping or a ping request.

    Attributes:
      number: Sequence number of the ping or ping request.
    """

    number: int


class EmptyBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a datagram that carries only rumours."""


Body = Ping | PingRequest | Ack | EmptyBody


class Datagram(msgspec.Struct, frozen=True, kw_only=True):
    """One UDP message.

    Attributes:
      sender: The sender's record.
      epoch: Epoch of the preset in force at the sender.
      body: The probe message, if any.
      rumours: Piggybacked rumours.
      store_era: Newest era of the store that the sender was told of, after a
        restore; zero if there was none.
    """

    sender: core.Member
    epoch: int
    body: Body
    rumours: tuple[Rumour, ...] = ()
    store_era: int = 0


class KnownMember(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of a view.

    Attributes:
      member: The member's record as it announced it.
      health: Health in the sender's view.
    """

    member: core.Member
    health: Health


class SyncRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for the entries of the buckets whose digests differ.

    Attributes:
      sender: The sender's record.
      epoch: Epoch of the preset in force at the sender.
      digests: Digests of all buckets of the sender's view.
      crash_digest: Digest of the sender's crash reports; zero from a node of a
        version that compares none.
    """

    sender: core.Member
    epoch: int
    digests: tuple[int, ...]
    crash_digest: int = 0


class SyncResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a sync request.

    Attributes:
      buckets: Numbers of the buckets whose digests differ.
      entries: The responder's entries in these buckets.
      crash_digest: Digest of the responder's crash reports; zero from a node
        of a version that compares none.
      crash_reports: The responder's crash reports if the digests differ.
    """

    buckets: tuple[int, ...]
    entries: tuple[KnownMember, ...]
    crash_digest: int = 0
    crash_reports: tuple[core.CrashReport, ...] = ()


class SyncPush(msgspec.Struct, frozen=True, kw_only=True):
    """The requester's entries in the buckets that differed.

    Attributes:
      entries: The entries.
    """

    entries: tuple[KnownMember, ...]


class CrashPush(msgspec.Struct, frozen=True, kw_only=True):
    """The requester's crash reports that the responder of a sync lacks.

    Attributes:
      reports: The reports.
    """

    reports: tuple[core.CrashReport, ...]


class SyncDone(msgspec.Struct, frozen=True, kw_only=True):
    """The confirmation of a sync push or a crash push."""


SyncMessage = SyncRequest | SyncPush | CrashPush


class PresetRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for the preset in force.

    Attributes:
      known_digests: Digests of the sections that the requester already has.
    """

    known_digests: tuple[bytes, ...]


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """One section of an encoded preset.

    Attributes:
      name: Name of the section.
      digest: Digest of its content.
      content: Its content, or None if the requester already has it.
    """

    name: str
    digest: bytes
    content: bytes | None


class PresetResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The preset in force at the responder.

    Attributes:
      epoch: Its epoch, zero if no switched preset is in force.
      operation_id: Id of the switch that put it in force.
      sections: All sections in order; those that the requester has are
        without content.
    """

    epoch: int
    operation_id: str
    sections: tuple[Section, ...]


Bulk = (
    SyncRequest
    | SyncResponse
    | SyncPush
    | CrashPush
    | SyncDone
    | PresetRequest
    | PresetResponse
)


class DatagramArrived(msgspec.Struct, frozen=True, kw_only=True):
    """An authenticated datagram arrived.

    Attributes:
      datagram: The decoded datagram.
      source: Address that it was sent from.
    """

    datagram: Datagram
    source: Endpoint


class SeedsFound(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of other nodes were found in the settings or the registry.

    Attributes:
      seeds: The addresses.
    """

    seeds: tuple[Endpoint, ...]


class ServerChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The local backend server announced itself, changed or stopped.

    Attributes:
      server: The server as announced, or None if it stopped.
    """

    server: core.Server | None


class NodeDraining(msgspec.Struct, frozen=True, kw_only=True):
    """This node started to drain and takes no new work until it restarts."""


class LeaveRequested(msgspec.Struct, frozen=True, kw_only=True):
    """This node is stopping; later events are ignored."""


class CrashReportsCreated(msgspec.Struct, frozen=True, kw_only=True):
    """This node created crash reports, which other nodes have to learn.

    Attributes:
      reports: The reports.
    """

    reports: tuple[core.CrashReport, ...]


class CrashReportsFound(msgspec.Struct, frozen=True, kw_only=True):
    """Crash reports were found in the registry.

    Attributes:
      reports: The reports.
    """

    reports: tuple[core.CrashReport, ...]


class EpochChanged(msgspec.Struct, frozen=True, kw_only=True):
    """A preset came into force at this node.

    Attributes:
      epoch: Its epoch.
    """

    epoch: int


class StoreEraChanged(msgspec.Struct, frozen=True, kw_only=True):
    """This node noticed that the store was restored from a copy.

    Attributes:
      era: The era that the store has begun.
    """

    era: int


class SyncAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a sync request or push arrived.

    Attributes:
      endpoint: Address of the node that answered.
      answer: The answer.
    """

    endpoint: Endpoint
    answer: SyncResponse | SyncDone


class SyncFailed(msgspec.Struct, frozen=True, kw_only=True):
    """A sync request or push got no usable answer.

    Attributes:
      endpoint: Address that the message was sent to.
    """

    endpoint: Endpoint


class TimePassed(msgspec.Struct, frozen=True, kw_only=True):
    """The time that ``next_wakeup`` returned has come."""


LocalChange = (
    ServerChanged
    | NodeDraining
    | LeaveRequested
    | CrashReportsCreated
    | CrashReportsFound
    | EpochChanged
    | StoreEraChanged
)

Event = (
    DatagramArrived
    | SeedsFound
    | SyncAnswered
    | SyncFailed
    | TimePassed
    | LocalChange
)


class SendDatagram(msgspec.Struct, frozen=True, kw_only=True):
    """An instruction to send a datagram.

    Attributes:
      endpoint: Destination address.
      datagram: The datagram.
    """

    endpoint: Endpoint
    datagram: Datagram


class SendBulk(msgspec.Struct, frozen=True, kw_only=True):
    """An instruction to send a bulk message over TCP.

    The outcome is returned as ``SyncAnswered`` or ``SyncFailed``.

    Attributes:
      endpoint: Destination address.
      bulk: The message.
    """

    endpoint: Endpoint
    bulk: SyncMessage


class ViewChanged(msgspec.Struct, frozen=True, kw_only=True):
    """A notice that the members or their states changed."""


class EpochAdvertised(msgspec.Struct, frozen=True, kw_only=True):
    """A notice that another node has a preset in force, not an older one.

    Attributes:
      epoch: Epoch at the other node.
      host_id: Host id of the other node.
    """

    epoch: int
    host_id: str


class NoEpochAdvertised(msgspec.Struct, frozen=True, kw_only=True):
    """A notice that another node has no preset yet, and neither has this one.

    Attributes:
      host_id: Host id of the other node.
    """

    host_id: str


EpochNotice = EpochAdvertised | NoEpochAdvertised


class StoreEraAdvertised(msgspec.Struct, frozen=True, kw_only=True):
    """A notice that the store was restored, as another node told.

    Attributes:
      era: The era that the store has begun.
    """

    era: int


class CrashReportsReceived(msgspec.Struct, frozen=True, kw_only=True):
    """A notice that new crash reports arrived from other nodes.

    Attributes:
      reports: The reports that this node did not know.
    """

    reports: tuple[core.CrashReport, ...]


class EmitEvent(msgspec.Struct, frozen=True, kw_only=True):
    """An instruction to record an event on the timeline.

    Attributes:
      code: Code of the event.
      fields: Values for the placeholders of the event's message.
    """

    code: catalogue.EventCode
    fields: dict[str, str | int | float | bool]


Effect = (
    SendDatagram
    | SendBulk
    | ViewChanged
    | EpochNotice
    | StoreEraAdvertised
    | CrashReportsReceived
    | EmitEvent
)
