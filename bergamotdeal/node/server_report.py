"""What the backend server says about itself, and its node's health checks."""

import dataclasses
import enum
import http

from bergamotdeal.node import server_connection


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """Description of a backend server, repeated by it every second.

    Attributes:
      service: Service that the server belongs to.
      address: IP address that the server listens on.
      port: TCP port that the server listens on.
      slots: Number of requests that the server can run concurrently.
      connections: Number of connections that the server accepts.
      instance: Id that changes when the server restarts, or empty.
      server_id: Id by which requests name the server, or empty.
      cold_remaining_ms: Time in milliseconds for which a server that has just
        started takes longer; counts down in repeated announcements.
    """

    service: str
    address: str
    port: int
    slots: int
    connections: int
    instance: str = ""
    server_id: str = ""
    cold_remaining_ms: int = dataclasses.field(default=0, compare=False)


class Availability(enum.Enum):
    """What a health check says about the backend server.

    Attributes:
      AVAILABLE: The server is healthy and does not leave.
      UNAVAILABLE: The server leaves or is not healthy.
      UNCLEAR: The answer says neither.
    """

    AVAILABLE = "available"
    UNAVAILABLE = "leaving or not healthy"
    UNCLEAR = "too busy to answer"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HealthReport:
    """Answer of a backend server to a health check by its node.

    Attributes:
      instance: Instance that answered.
      condition: Condition of the server, or what is wrong with its report.
      announcement: Description of the server, or None if it is not known or
        does not count.
      server_id: Id of the server that answered.
      availability: Whether the server may get work.
    """

    instance: str
    condition: server_connection.ConditionResult
    announcement: Announcement | None
    server_id: str = ""
    availability: Availability = Availability.UNCLEAR


def derive_availability(
    status: int,
    *,
    is_refused: bool,
    condition: server_connection.ConditionResult,
) -> Availability:
    """Returns what the answer to a health check says about the server.

    Args:
      status: HTTP status of the answer.
      is_refused: Whether the server says that it did not run the check, as for
        lack of room.
      condition: Condition that the answer reports.
    """
    if condition.map_or(False, lambda reported: reported.is_leaving):
        return Availability.UNAVAILABLE
    if status == http.HTTPStatus.OK:
        return Availability.AVAILABLE
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE and not is_refused:
        return Availability.UNAVAILABLE
    return Availability.UNCLEAR
