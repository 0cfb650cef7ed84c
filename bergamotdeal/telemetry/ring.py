"""Ring buffer of the recent events of a node."""

import collections
from collections.abc import Iterator

import msgspec

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records

FieldValue = str | int | float | bool

NODE_CAPACITY_DIVISOR = 4
"""Ratio of the capacity for request events to that for node events."""

_StampedRecord = tuple[int, records.EventRecord]


class Event(msgspec.Struct, kw_only=True):
    """Event of the time line.

    Attributes:
      code: Event code in the catalogue.
      stamp: Stamp of the hybrid logical clock.
      user_request_id: Id of the request that the event belongs to, or empty.
      fields_by_name: Values of the placeholders in the event's message.
    """

    code: catalogue.EventCode
    stamp: int
    user_request_id: str
    fields_by_name: dict[str, FieldValue]


class EventRing:
    """Ring buffer of events that drops the oldest when full.

    Events of requests and events of the node itself are stored separately, so
    that heavy traffic doesn't evict a preset switch.

    Args:
      capacity: Maximum number of request events. The maximum number of node
        events is a quarter of it.
    """

    __slots__ = ("_node_events", "_request_events")

    def __init__(self, *, capacity: int):
        self._request_events: collections.deque[_StampedRecord] = (
            collections.deque(maxlen=capacity)
        )
        self._node_events: collections.deque[_StampedRecord] = (
            collections.deque(maxlen=max(1, capacity // NODE_CAPACITY_DIVISOR))
        )

    def add(self, stamp: int, record: records.EventRecord) -> None:
        """Adds an event.

        Args:
          stamp: Stamp of the event, greater than all stamps added before.
          record: The event.
        """
        # Runs several times per call, so ``Event`` objects are built on demand.
        if record.user_request_id:
            self._request_events.append((stamp, record))
        else:
            self._node_events.append((stamp, record))

    def __len__(self) -> int:
        """Returns the number of stored events."""
        return len(self._request_events) + len(self._node_events)

    def select(
        self,
        *,
        user_request_id: str = "",
        code: catalogue.EventCode | None = None,
        since: int = 0,
    ) -> list[Event]:
        """Selects events that match all given filters.

        Args:
          user_request_id: Id of the request; empty for any.
          code: Event code; None for any.
          since: Lowest stamp.

        Returns:
          The matching events in the order of their stamps.
        """
        selected = [
            build_event(stamp, record)
            for stamp, record in self._iterate_records()
            if stamp >= since
            and (
                not user_request_id or record.user_request_id == user_request_id
            )
            and (code is None or record.code == code)
        ]
        selected.sort(key=_get_stamp)
        return selected

    def _iterate_records(self) -> Iterator[_StampedRecord]:
        yield from self._request_events
        yield from self._node_events


def build_event(stamp: int, record: records.EventRecord) -> Event:
    """Builds an event from its record and stamp.

    Args:
      stamp: Stamp of the hybrid logical clock.
      record: The event, not yet stamped.
    """
    return Event(
        code=record.code,
        stamp=stamp,
        user_request_id=record.user_request_id,
        fields_by_name=record.fields,
    )


def _get_stamp(event: Event) -> int:
    return event.stamp
