"""Requests of the backend server to its own node, on the egress listener."""

from collections.abc import Callable
from typing import Annotated

import msgspec
import result

from bergamotdeal.errors import core as errors
from bergamotdeal.node import http_exchange
from bergamotdeal.node import http_server
from bergamotdeal.node import server_report
from bergamotdeal.rpc import core as rpc
from bergamotdeal.utils import json_data

ANNOUNCE_TARGET = "/v1/server"
DRAIN_TARGET = "/v1/server/drain"

_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
_PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
_ServiceName = Annotated[
    str, msgspec.Meta(pattern=r"^(?!v1$)[a-z0-9][a-z0-9._-]{0,63}$")
]


class AnnouncementBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of an announcement, validated when it is decoded."""

    service: _ServiceName
    port: _Port
    slots: _PositiveCount
    connections: _PositiveCount
    address: str = "127.0.0.1"
    instance: Annotated[str, msgspec.Meta(max_length=64)] = ""


class AnnouncementHandler:
    """HTTP handler of announcements and drain requests.

    Args:
      on_announced: Called with each valid announcement.
      on_drain: Called when the backend server requests a drain.
    """

    def __init__(
        self,
        *,
        on_announced: Callable[[server_report.Announcement], None],
        on_drain: Callable[[], None],
    ) -> None:
        self._on_announced = on_announced
        self._on_drain = on_drain

    def handle_request(
        self,
        exchange: http_exchange.Exchange,
        request: http_exchange.HttpRequest,
    ) -> None:
        """Answers one request.

        Args:
          exchange: Exchange that carries the response.
          request: Request of the backend server.
        """
        answer = self._route_request(request)
        exchange.respond(answer, http_server.build_answer_headers(answer, ""))

    def _route_request(self, request: http_exchange.HttpRequest) -> rpc.Answer:
        match request.method, request.target:
            case "PUT", target if target == ANNOUNCE_TARGET:
                return self._answer_announcement(request.body)
            case "POST", target if target == DRAIN_TARGET:
                self._on_drain()
                return rpc.Answer(outcome=errors.Outcome.COMPLETED, status=202)
            case _:
                return rpc.build_error_answer(errors.ErrorKind.NOT_FOUND)

    def _answer_announcement(self, body: bytes) -> rpc.Answer:
        parsed = parse_announcement(body)
        if isinstance(parsed, result.Err):
            return rpc.build_error_answer(
                errors.ErrorKind.MALFORMED_REQUEST, detail=parsed.err_value
            )
        self._on_announced(parsed.ok_value)
        return rpc.Answer(outcome=errors.Outcome.COMPLETED, status=204)


def parse_announcement(
    body: bytes,
) -> result.Result[server_report.Announcement, str]:
    """Parses an announcement.

    Args:
      body: JSON body.

    Returns:
      The announcement, or what is wrong with the body.
    """
    return json_data.decode(body, AnnouncementBody).map(
        lambda parsed: server_report.Announcement(
            service=parsed.service,
            address=parsed.address,
            port=parsed.port,
            slots=parsed.slots,
            connections=parsed.connections,
            instance=parsed.instance,
        )
    )
