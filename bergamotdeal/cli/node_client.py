"""Blocking client of a node's admin listener."""

import dataclasses
import enum
import http.client
import urllib.parse

import msgspec
import result

from bergamotdeal.node import status as node_status
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import timeline
from bergamotdeal.utils import json_data

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
DEFAULT_TIMEOUT_S = 3.0


class NodeErrorKind(enum.Enum):
    """Kinds of errors of a request to a node."""

    UNREACHABLE = "unreachable"
    UNAUTHORIZED = "unauthorized"
    REFUSED = "refused"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeError:
    """Error of a request to a node.

    Attributes:
      kind: Kind of the error.
      message: One line for the operator, with the address of the node.
    """

    kind: NodeErrorKind
    message: str


class NodeClient:
    """Client of one node that opens a connection for each request.

    Args:
      endpoint: Admin listener of the node.
      token: Bearer token, or empty.
      timeout_s: Socket timeout in seconds.
    """

    def __init__(
        self,
        *,
        endpoint: settings_model.Endpoint,
        token: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ):
        self._endpoint = endpoint
        self._token = token
        self._timeout_s = timeout_s

    def status(
        self, *, with_members: bool
    ) -> result.Result[node_status.NodeStatus, NodeError]:
        """Fetches the status of the node.

        Args:
          with_members: Whether to include the members of the fleet.
        """
        members = "yes" if with_members else "no"
        response_body = self._request("GET", f"/v1/status?members={members}")
        return response_body.and_then(
            lambda data: node_status.decode(data).map_err(
                self._build_malformed_error
            )
        )

    def timeline(
        self, query_by_name: dict[str, str]
    ) -> result.Result[list[timeline.Entry], NodeError]:
        """Fetches events of the node.

        Args:
          query_by_name: Query parameters of the timeline request.
        """
        query = urllib.parse.urlencode(query_by_name)
        response_body = self._request("GET", f"/v1/timeline?{query}")
        return response_body.and_then(
            lambda data: timeline.decode(data).map_err(
                self._build_malformed_error
            )
        )

    def drain(self) -> result.Result[None, NodeError]:
        """Starts to drain the node."""
        return self._request("POST", "/v1/drain").map(lambda _: None)

    def put_in_force(self, data: bytes) -> result.Result[int, NodeError]:
        """Sends an accepted in-force object to the node.

        Args:
          data: Encoded in-force object.

        Returns:
          The epoch in force at the node afterwards, or the error.
        """
        response_body = self._request("PUT", "/v1/in-force", data)
        return response_body.and_then(self._parse_epoch)

    def _request(
        self, method: str, target: str, body: bytes = b""
    ) -> result.Result[bytes, NodeError]:
        connection = http.client.HTTPConnection(
            self._endpoint.address,
            self._endpoint.port,
            timeout=self._timeout_s,
        )
        headers = {"connection": "close"}
        if self._token:
            headers["authorization"] = f"Bearer {self._token}"
        try:
            connection.request(method, target, body=body, headers=headers)
            response = connection.getresponse()
            data = response.read(MAX_RESPONSE_BYTES)
        except (OSError, http.client.HTTPException, ValueError) as error:
            return self._build_error(
                NodeErrorKind.UNREACHABLE, str(error) or type(error).__name__
            )
        finally:
            connection.close()
        if response.status < http.HTTPStatus.BAD_REQUEST:
            return result.Ok(data)
        if response.status == http.HTTPStatus.UNAUTHORIZED:
            return self._build_error(
                NodeErrorKind.UNAUTHORIZED, "token refused"
            )
        return self._build_error(
            NodeErrorKind.REFUSED, _parse_error_message(data)
        )

    def _parse_epoch(self, data: bytes) -> result.Result[int, NodeError]:
        decoded = json_data.decode(data, _EpochResponse)
        return decoded.map(lambda response: response.epoch).map_err(
            self._build_malformed_error
        )

    def _build_malformed_error(self, message: str) -> NodeError:
        return self._build_error(NodeErrorKind.MALFORMED, message).err_value

    def _build_error(
        self, kind: NodeErrorKind, message: str
    ) -> result.Err[NodeError]:
        address = f"{self._endpoint.address}:{self._endpoint.port}"
        return result.Err(NodeError(kind=kind, message=f"{address}: {message}"))


class _EpochResponse(msgspec.Struct, kw_only=True):
    epoch: int


class _ErrorResponse(msgspec.Struct, kw_only=True):
    error: str
    message: str


def _parse_error_message(data: bytes) -> str:
    decoded = json_data.decode(data, _ErrorResponse)
    return decoded.map_or(
        "refused without a reason", lambda response: response.message
    )
