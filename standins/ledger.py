"""Ledger of the runs on servers and the answers that callers received.

Servers and callers write the ledger without the nodes, so that checking it does
not depend on what the nodes report. Each request carries a label in a header;
each body contains the key of its request, its length and its checksum.
"""

import dataclasses
import pathlib
from typing import Self
import zlib

import msgspec

LABEL_HEADER = "x-ledger-label"
"""End-to-end header that carries the label of a request."""

_BODY_MAGIC = b"ledger"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Label:
    """An identification of a request that it carries to the server.

    Attributes:
      key: Key of the logical request; the same for all of its sendings.
      sending: Number of the sending by the caller, starting at zero.
      effect: Key of the side effect; a non-repeatable effect must happen at
        most once.
      root: Key and sending of the user request at the root of the call tree.
      service: Service that is called.
      class_name: Class of the user request.
      repeatable: Whether the request is idempotent.
    """

    key: str
    sending: int = 0
    effect: str
    root: str
    service: str
    class_name: str
    repeatable: bool

    @classmethod
    def for_user(
        cls,
        key: str,
        *,
        service: str,
        class_name: str,
        repeatable: bool,
        sending: int = 0,
    ) -> Self:
        """Builds the label of a user request.

        Args:
          key: Key of the user request.
          service: Service that is called.
          class_name: Class of the user request.
          repeatable: Whether the request is idempotent.
          sending: Number of the sending, starting at zero.
        """
        return cls(
            key=key,
            sending=sending,
            effect=key,
            root=f"{key}#{sending}",
            service=service,
            class_name=class_name,
            repeatable=repeatable,
        )

    def child(
        self,
        *,
        run_id: str,
        index: int,
        service: str,
        repeatable: bool,
        sending: int = 0,
    ) -> "Label":
        """Builds the label of a call that a run makes.

        Args:
          run_id: Id of the run that makes the call.
          index: Index of the call among the calls of the run.
          service: Service that is called.
          repeatable: Whether the call is idempotent.
          sending: Number of the sending by the run, starting at zero.
        """
        effect = self.effect
        if self.repeatable:
            effect = f"{effect}#{self.sending}"
        return Label(
            key=f"{run_id}/{index}",
            sending=sending,
            effect=f"{effect}/{service}.{index}",
            root=self.root,
            service=service,
            class_name=self.class_name,
            repeatable=repeatable,
        )

    def encode(self) -> str:
        """Encodes the label as a header value."""
        return msgspec.json.encode(self).decode()

    @classmethod
    def decode(cls, value: str) -> Self:
        """Decodes the label from a header value."""
        return msgspec.json.decode(value, type=cls)


def make_body(key: str, *, size: int = 0) -> bytes:
    """Builds a body with the key of its request, its length and its checksum.

    Args:
      key: Key of the request that the body belongs to.
      size: Number of padding bytes.
    """
    padding = (key.encode() + b".") * (size // (len(key) + 1) + 1)
    payload = key.encode() + b"\n" + padding[:size]
    head = b"%s %d %08x\n" % (_BODY_MAGIC, len(payload), zlib.crc32(payload))
    return head + payload


def parse_body_key(body: bytes) -> str | None:
    """Returns the request key of a body, or None if the body is not intact."""
    head, _, payload = body.partition(b"\n")
    parts = head.split(b" ")
    if len(parts) != 3 or parts[0] != _BODY_MAGIC:
        return None
    if parts[1] != b"%d" % len(payload):
        return None
    if parts[2] != b"%08x" % zlib.crc32(payload):
        return None
    return payload.partition(b"\n")[0].decode()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sent:
    """An entry of a caller that sent a request.

    Attributes:
      at: Time in monotonic seconds; all entries use the same clock.
      label: Label of the request.
    """

    at: float
    label: Label


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """An entry of a caller that received a complete answer.

    Attributes:
      at: Time in monotonic seconds.
      label: Label of the request.
      outcome: Received outcome: ``completed``, ``not-run`` or ``unknown``.
      error: Received error kind; empty if the server answered.
      status: HTTP status.
      body_key: Request key in the body, or None if the body is not intact.
    """

    at: float
    label: Label
    outcome: str
    error: str = ""
    status: int = 200
    body_key: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GaveUp:
    """An entry of a caller that stopped waiting for an answer.

    The cause is a timeout, a cancellation or an incomplete answer.

    Attributes:
      at: Time in monotonic seconds.
      label: Label of the request.
    """

    at: float
    label: Label


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dispatched:
    """An entry of the simulated network for a call frame between two nodes.

    Attributes:
      at: Time in monotonic seconds.
      label: Label of the request.
      has_ticket: Whether the frame carries a ticket. A frame that fetches a
        ticket and the one that carries it are not re-sends of each other.
      host_id: Host to which the frame was sent.
    """

    at: float
    label: Label
    has_ticket: bool
    host_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunStarted:
    """An entry of a backend server that started to run a request.

    Attributes:
      at: Time in monotonic seconds.
      label: Label of the request.
      run_id: Id of the run, unique over all servers and restarts.
      host_id: Host of the server.
      intact: Whether the body was intact and belonged to the request.
    """

    at: float
    label: Label
    run_id: str
    host_id: str
    intact: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunEnded:
    """An entry of a backend server that ended a run.

    Attributes:
      at: Time in monotonic seconds.
      run_id: Id of the run.
      completed: Whether the node received the complete answer.
    """

    at: float
    run_id: str
    completed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostUp:
    """An entry for a node that started, resumed or became reachable.

    Attributes:
      at: Time in monotonic seconds.
      host_id: Host of the node.
      fresh: Whether its process restarted without its earlier state.
    """

    at: float
    host_id: str
    fresh: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostDown:
    """An entry for a node that a fault killed, paused or partitioned.

    Attributes:
      at: Time in monotonic seconds.
      host_id: Host of the node.
    """

    at: float
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostDisturbed:
    """An entry for a fault at a host's backend server or open connections.

    The node stays available: only requests in flight at the host may be lost,
    all other guarantees hold.

    Attributes:
      at: Time in monotonic seconds.
      host_id: Host of the fault.
    """

    at: float
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainAsked:
    """An entry for the request to drain a host.

    Attributes:
      at: Time in monotonic seconds.
      host_id: Host to drain.
    """

    at: float
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainEnded:
    """An entry for a draining node that exited.

    Attributes:
      at: Time in monotonic seconds.
      host_id: Host of the node.
      exit_code: Exit code of its process.
    """

    at: float
    host_id: str
    exit_code: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SwitchAccepted:
    """An entry of an operator whose switch was accepted.

    Attributes:
      at: Time in monotonic seconds.
      operation_id: Operation id of the switch.
      epoch: Epoch reported to the operator.
      preset_name: Name of the preset that the switch put in force.
    """

    at: float
    operation_id: str
    epoch: int
    preset_name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PresetSeen:
    """An entry for a node that was observed to use a preset.

    Attributes:
      at: Time in monotonic seconds.
      host_id: Host of the node.
      epoch: Epoch in force at the node.
      preset_name: Name of the preset in force at the node.
    """

    at: float
    host_id: str
    epoch: int
    preset_name: str


Entry = (
    Sent
    | Answered
    | GaveUp
    | Dispatched
    | RunStarted
    | RunEnded
    | HostUp
    | HostDown
    | HostDisturbed
    | DrainAsked
    | DrainEnded
    | SwitchAccepted
    | PresetSeen
)

_TYPES_BY_NAME: dict[str, type] = {
    entry_type.__name__: entry_type
    for entry_type in (
        Sent,
        Answered,
        GaveUp,
        Dispatched,
        RunStarted,
        RunEnded,
        HostUp,
        HostDown,
        HostDisturbed,
        DrainAsked,
        DrainEnded,
        SwitchAccepted,
        PresetSeen,
    )
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Line:
    """A line of a ledger file."""

    kind: str
    entry: msgspec.Raw


class Writer:
    """A writer that appends entries to a file without buffering.

    Several processes may append to the same file.

    Args:
      path: File to append to.
    """

    def __init__(self, *, path: pathlib.Path):
        # Unbuffered, so that entries survive when the process is killed.
        self._file = path.open("ab", buffering=0)

    def write(self, entry: Entry) -> None:
        """Appends one entry."""
        line = _Line(
            kind=type(entry).__name__,
            entry=msgspec.Raw(msgspec.json.encode(entry)),
        )
        self._file.write(msgspec.json.encode(line) + b"\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def read(path: pathlib.Path) -> list[Entry]:
    """Reads the entries of a file, sorted by time."""
    decoder = msgspec.json.Decoder(_Line)
    entries = []
    for data in path.read_bytes().splitlines():
        line = decoder.decode(data)
        entry_type = _TYPES_BY_NAME[line.kind]
        entries.append(msgspec.json.decode(line.entry, type=entry_type))
    return sorted(entries, key=lambda entry: entry.at)
