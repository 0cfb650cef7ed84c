"""Cost reports that answers carry, and their encoding."""

import math

import msgspec
import result

from bergamotdeal.pricing import origins

MAX_CHARGES = 64
MAX_REPORT_BYTES = 8192


class Charge(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one request at one service.

    Attributes:
      service: The service.
      slot_s: Time for which the request and its downstream calls hold slots
        of the service, seconds.
      share: Share of its offered load that the service can handle; 1.0 when
        it is not overloaded.
    """

    service: str
    slot_s: float
    share: float


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Cost report of the node beside a backend server on one route.

    Attributes:
      origin: Origin of the route's requests.
      charges: Cost of one request, by service.
    """

    origin: origins.Origin
    charges: list[Charge]


_decoder = msgspec.msgpack.Decoder(
    tuple[origins.Origin, list[tuple[str, float, float]]]
)


def encode(report: Report) -> bytes:
    """Encodes a report for transmission in an answer."""
    rows = [(each.service, each.slot_s, each.share) for each in report.charges]
    return msgspec.msgpack.encode((report.origin, rows))


def decode(data: bytes) -> result.Result[Report, str]:
    """Decodes and validates a report received in an answer.

    Args:
      data: The encoded report.

    Returns:
      The report, or the reason why it is invalid.
    """
    if len(data) > MAX_REPORT_BYTES:
        return result.Err(f"more than {MAX_REPORT_BYTES} bytes")
    try:
        origin, rows = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        return result.Err(str(error))
    if len(rows) > MAX_CHARGES:
        return result.Err(f"more than {MAX_CHARGES} charges")
    for _, slot_s, share in rows:
        if not (0 <= slot_s < math.inf and 0 <= share <= 1):
            return result.Err("a charge has a slot time or share out of range")
    charges = [
        Charge(service=service, slot_s=slot_s, share=share)
        for service, slot_s, share in rows
    ]
    return result.Ok(Report(origin=origin, charges=charges))
