"""Time line entries that a node sends to the command line."""

from collections.abc import Iterable
import datetime

import msgspec
import result

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import ring


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """Event together with the host on which it happened.

    Attributes:
      host: Id of the host.
      stamp: Stamp of the hybrid logical clock.
      code: Event number. A newer node may send numbers that are not in the
        local catalogue.
      request: Id of the user request, or empty.
      fields: Values of the placeholders in the event's message, by name.
    """

    host: str
    stamp: int
    code: int
    request: str = ""
    fields: dict[str, ring.FieldValue] = msgspec.field(default_factory=dict)

    @property
    def name(self) -> str:
        """Event name, or the number if it is not in the local catalogue."""
        try:
            return catalogue.EventCode(self.code).name
        except ValueError:
            return str(self.code)

    @property
    def message(self) -> str:
        """Formatted message; the fields alone if the number is not known."""
        try:
            code = catalogue.EventCode(self.code)
        except ValueError:
            return str(self.fields)
        return catalogue.format_message(code, self.fields)

    @property
    def time(self) -> str:
        """Wall time of the stamp in UTC, in ISO 8601 with milliseconds."""
        seconds = clock.to_wall_ms(self.stamp) / 1000
        wall_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
        return wall_time.isoformat(timespec="milliseconds").replace(
            "+00:00", "Z"
        )


def build_entry(event: ring.Event, *, host: str) -> Entry:
    """Builds the time line entry of an event.

    Args:
      event: Event from the ring buffer.
      host: Id of the host on which it happened.
    """
    return Entry(
        host=host,
        stamp=event.stamp,
        code=int(event.code),
        request=event.user_request_id,
        fields=event.fields_by_name,
    )


def encode(entries: Iterable[Entry]) -> bytes:
    """Encodes entries as JSON lines.

    Args:
      entries: Entries to encode.
    """
    return msgspec.json.Encoder().encode_lines(list(entries))


def decode(data: bytes) -> result.Result[list[Entry], str]:
    """Decodes entries from JSON lines.

    Args:
      data: JSON lines as ``encode`` writes them.

    Returns:
      The entries, or an error message if the data is malformed.
    """
    try:
        return result.Ok(msgspec.json.Decoder(Entry).decode_lines(data))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Err(str(error))


def merge(entries: Iterable[Entry]) -> list[Entry]:
    """Sorts entries of several hosts so that no effect precedes its cause.

    Args:
      entries: Entries in any order.

    Returns:
      The entries sorted by stamp. Entries with equal stamps are causally
      independent and are sorted by host.
    """
    return sorted(entries, key=lambda entry: (entry.stamp, entry.host))
