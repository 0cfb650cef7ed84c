"""Records of events, as the parts of a node report them."""

import msgspec

from bergamotdeal.telemetry import catalogue


class EventRecord(msgspec.Struct, kw_only=True):
    """Event to add to the time line.

    Attributes:
      code: Code of the event in the catalogue.
      user_request_id: Id of the user request that the event belongs to, or
        empty.
      fields: Values for the event's message by field name.
    """

    code: catalogue.EventCode
    user_request_id: str = ""
    fields: dict[str, str | int | float | bool] = msgspec.field(
        default_factory=dict
    )
