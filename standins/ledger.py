"""A record of what servers ran and what callers were told.

Servers and callers write it on their own, so that a check of the record
depends on nothing that the nodes say about themselves. Each request carries a
label in a header of its own; each body names its request, its length and its
checksum.
"""

import dataclasses
import pathlib
from typing import Self
import zlib

import msgspec

LABEL_HEADER = "x-ledger-label"
"""End-to-end header that carries the label of a request."""

_BODY_MARK = b"ledger"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Label:
    """What a request says about itself to the server that runs it.

    Attributes:
      key: The logical request; the same for all of its sendings.
      sending: Zero for the caller's first sending, then counting up.
      effect: What the run changes; a non-repeatable effect happens once.
      root: Key of the user request at the top, with its sending.
      service: Service that is called.
      class_name: Class of the user request.
      repeatable: Whether running the request twice is harmless.
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
        """Builds the label of a request from outside the fleet."""
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
          run_id: Run that makes the call.
          index: Position of the call among the run's calls.
          service: Service that is called.
          repeatable: Whether running the call twice is harmless.
          sending: The run's own count of sendings of this call.
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
        """Returns the value of the label header."""
        return msgspec.json.encode(self).decode()

    @classmethod
    def decode(cls, value: str) -> Self:
        """Reads the value of the label header."""
        return msgspec.json.decode(value, type=cls)


def make_body(key: str, *, size: int = 0) -> bytes:
    """Builds a body that names its request and proves that it is whole.

    Args:
      key: Key of the request that the body belongs to.
      size: Bytes of filling.
    """
    filling = (key.encode() + b".") * (size // (len(key) + 1) + 1)
    payload = key.encode() + b"\n" + filling[:size]
    head = b"%s %d %08x\n" % (_BODY_MARK, len(payload), zlib.crc32(payload))
    return head + payload


def parse_body_key(body: bytes) -> str | None:
    """Returns the request key of a whole body, or None for any other."""
    head, _, payload = body.partition(b"\n")
    parts = head.split(b" ")
    if len(parts) != 3 or parts[0] != _BODY_MARK:
        return None
    if parts[1] != b"%d" % len(payload):
        return None
    if parts[2] != b"%08x" % zlib.crc32(payload):
        return None
    return payload.partition(b"\n")[0].decode()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sent:
    """A caller sent a request.

    Attributes:
      at: Monotonic seconds, the same clock for all records.
      label: Label of the request.
    """

    at: float
    label: Label


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """A caller received an answer that it took for complete.

    Attributes:
      at: Monotonic seconds.
      label: Label of the request.
      outcome: ``completed``, ``not-run`` or ``unknown`` as received.
      error: Error kind as received, empty when the server answered.
      status: HTTP status.
      body_key: Key that the body names, or None when it is not whole.
    """

    at: float
    label: Label
    outcome: str
    error: str = ""
    status: int = 200
    body_key: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GaveUp:
    """A caller stopped waiting: timeout, cancel or a broken answer."""

    at: float
    label: Label


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dispatched:
    """A tap between two nodes saw a call pass.

    Attributes:
      at: Monotonic seconds.
      label: Label of the request.
      has_ticket: Whether it presents a ticket; the sending that fetches the
        ticket is no re-send of the one that presents it.
    """

    at: float
    label: Label
    has_ticket: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunStarted:
    """A backend server started to run a request.

    Attributes:
      at: Monotonic seconds.
      label: Label of the request.
      run_id: Id of the run, unique over all servers and restarts.
      host_id: Host of the server.
      intact: Whether the request's body was whole and its own.
    """

    at: float
    label: Label
    run_id: str
    host_id: str
    intact: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunEnded:
    """A run ended.

    Attributes:
      at: Monotonic seconds.
      run_id: Id of the run.
      completed: Whether the whole answer was handed to the node.
    """

    at: float
    run_id: str
    completed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostUp:
    """A host's node started, resumed or became reachable again.

    Attributes:
      at: Monotonic seconds.
      host_id: Host of the node.
      fresh: Whether its process started anew and so knows nothing yet.
    """

    at: float
    host_id: str
    fresh: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostDown:
    """A host's node was killed, paused or cut off by a fault."""

    at: float
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostDisturbed:
    """A fault hit a host's backend server or open connections.

    Its node was not away, so that everything but the loss of what was in
    flight there still holds.
    """

    at: float
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainAsked:
    """A drain of a host was asked for."""

    at: float
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainEnded:
    """A draining node ended by itself.

    Attributes:
      at: Monotonic seconds.
      host_id: Host of the node.
      exit_code: Exit code of its process.
    """

    at: float
    host_id: str
    exit_code: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SwitchAccepted:
    """An operator was told that a switch was accepted.

    Attributes:
      at: Monotonic seconds.
      operation_id: Operation id of the switch.
      epoch: Epoch that the operator was told.
      preset_name: Preset that was switched to.
    """

    at: float
    operation_id: str
    epoch: int
    preset_name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PresetSeen:
    """A host was seen to act under a preset.

    Attributes:
      at: Monotonic seconds.
      host_id: Host of the node.
      epoch: Epoch in force there.
      preset_name: Preset in force there.
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
    kind: str
    entry: msgspec.Raw


class Writer:
    """Appends entries to a file; each is there once ``write`` returns.

    Several processes may append to the same file.

    Args:
      path: File to append to.
    """

    def __init__(self, *, path: pathlib.Path):
        # Unbuffered, so that an entry outlives a killed process.
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
    """Reads the entries of a file in order of time."""
    decoder = msgspec.json.Decoder(_Line)
    entries = []
    for data in path.read_bytes().splitlines():
        line = decoder.decode(data)
        entry_type = _TYPES_BY_NAME[line.kind]
        entries.append(msgspec.json.decode(line.entry, type=entry_type))
    return sorted(entries, key=lambda entry: entry.at)
