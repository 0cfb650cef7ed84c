"""The bounded memory of a node's recent events."""

import collections
from collections.abc import Iterator
import dataclasses

from bergamotdeal.calls import messages
from bergamotdeal.telemetry import catalogue

FieldValue = str | int | float | bool

NODE_CAPACITY_DIVISOR = 4
"""The node's own events have this fraction of the requests' room."""

_Kept = tuple[int, messages.EventRecord]


@dataclasses.dataclass(kw_only=True, slots=True)
class Event:
    """One event of the time line.

    Attributes:
      code: Number in the catalogue.
      stamp: Stamp of the hybrid logical clock.
      user_request_id: The request that it belongs to, or empty.
      fields_by_name: Values for the event's message.
    """

    code: catalogue.EventCode
    stamp: int
    user_request_id: str
    fields_by_name: dict[str, FieldValue]


class EventRing:
    """Keeps the newest events; the oldest give way.

    Events of requests and events of the node itself have separate room, so
    that heavy traffic doesn't push out a preset switch.

    Args:
      capacity: Events of requests kept; a quarter as many of the node itself.
    """

    __slots__ = ("_node_events", "_request_events")

    def __init__(self, *, capacity: int):
        self._request_events: collections.deque[_Kept] = collections.deque(
            maxlen=capacity
        )
        self._node_events: collections.deque[_Kept] = collections.deque(
            maxlen=max(1, capacity // NODE_CAPACITY_DIVISOR)
        )

    def add(self, stamp: int, entry: messages.EventRecord) -> None:
        """Keeps an event.

        Args:
          stamp: Its stamp, above all before.
          entry: The event.
        """
        # Each call passes here a few times, so events are built on demand.
        if entry.user_request_id:
            self._request_events.append((stamp, entry))
        else:
            self._node_events.append((stamp, entry))

    def __len__(self) -> int:
        """Returns the number of events kept."""
        return len(self._request_events) + len(self._node_events)

    def select(
        self,
        *,
        user_request_id: str = "",
        code: catalogue.EventCode | None = None,
        since: int = 0,
    ) -> list[Event]:
        """Finds events.

        Args:
          user_request_id: Only events of this request, if given.
          code: Only events of this code, if given.
          since: Only events with this stamp or a later one.

        Returns:
          The events in the order of their stamps.
        """
        found = [
            build_event(kept_stamp, entry)
            for kept_stamp, entry in self._all()
            if kept_stamp >= since
            and (
                not user_request_id or entry.user_request_id == user_request_id
            )
            and (code is None or entry.code == code)
        ]
        found.sort(key=_by_stamp)
        return found

    def _all(self) -> Iterator[_Kept]:
        yield from self._request_events
        yield from self._node_events


def build_event(stamp: int, entry: messages.EventRecord) -> Event:
    """Returns an event with its stamp.

    Args:
      stamp: Stamp of the hybrid logical clock.
      entry: The event without its stamp.
    """
    return Event(
        code=entry.code,
        stamp=stamp,
        user_request_id=entry.user_request_id,
        fields_by_name=entry.fields,
    )


def _by_stamp(event: Event) -> int:
    return event.stamp
