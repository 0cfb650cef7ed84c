"""Records of events, as the parts of a node report them."""

import dataclasses

from bergamotdeal.telemetry import catalogue


@dataclasses.dataclass(kw_only=True, slots=True)
class EventRecord:
    """Event to add to the time line.

    Attributes:
      code: Code of the event in the catalogue.
      user_request_id: Id of the user request that the event belongs to, or
        empty.
      fields: Values for the event's message by field name.
    """

    code: catalogue.EventCode
    user_request_id: str = ""
    fields: dict[str, str | int | float | bool] = dataclasses.field(
        default_factory=dict
    )
