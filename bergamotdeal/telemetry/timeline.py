"""Entries of the time line between a node and the command line."""

from collections.abc import Iterable
import dataclasses
import datetime

import msgspec
import result

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import ring


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One event with the host on which it happened.

    Attributes:
      host: Host on which it happened.
      stamp: Stamp of the hybrid logical clock.
      code: Number in the catalogue; a newer node may know more of them.
      request: The user request's id, or empty.
      fields: Values for the event's message, by field name.
    """

    host: str
    stamp: int
    code: int
    request: str = ""
    fields: dict[str, ring.FieldValue] = dataclasses.field(default_factory=dict)

    @property
    def name(self) -> str:
        """Name in the catalogue, or the number when it is not known here."""
        try:
            return catalogue.EventCode(self.code).name
        except ValueError:
            return str(self.code)

    @property
    def message(self) -> str:
        """The catalogue's message with its fields filled."""
        try:
            code = catalogue.EventCode(self.code)
        except ValueError:
            return str(self.fields)
        return catalogue.format_message(code, self.fields)

    @property
    def time(self) -> str:
        """The stamp's wall time in UTC."""
        seconds = clock.to_wall_ms(self.stamp) / 1000
        moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
        return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def build_entry(event: ring.Event, *, host: str) -> Entry:
    """Returns the entry for an event.

    Args:
      event: An event from the ring.
      host: Host on which it happened.
    """
    return Entry(
        host=host,
        stamp=event.stamp,
        code=int(event.code),
        request=event.user_request_id,
        fields=event.fields_by_name,
    )


def encode(entries: Iterable[Entry]) -> bytes:
    """Returns entries as JSON lines.

    Args:
      entries: The entries.
    """
    return msgspec.json.Encoder().encode_lines(list(entries))


def decode(data: bytes) -> result.Result[list[Entry], str]:
    """Reads entries from JSON lines.

    Args:
      data: JSON lines as ``encode`` wrote them.

    Returns:
      The entries, or why the bytes can't be accepted.
    """
    try:
        return result.Ok(msgspec.json.Decoder(Entry).decode_lines(data))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Err(str(error))


def merge(entries: Iterable[Entry]) -> list[Entry]:
    """Orders entries of several hosts so that no effect precedes its cause.

    Args:
      entries: Entries in any order.

    Returns:
      The entries by stamp; equal stamps are independent of each other and
      go by host.
    """
    return sorted(entries, key=lambda entry: (entry.stamp, entry.host))
