"""Blocking client of a node's admin face."""

import dataclasses
import enum
import http.client
import urllib.parse

import msgspec
import result

from bergamotdeal.node import status as node_status
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import timeline

MAX_ANSWER_BYTES = 8 * 1024 * 1024
DEFAULT_TIMEOUT_S = 3.0


class NodeFailure(enum.Enum):
    """Why a node gave no usable answer."""

    UNREACHABLE = "unreachable"
    UNAUTHORIZED = "unauthorized"
    REFUSED = "refused"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeError:
    """A request to a node that failed.

    Attributes:
      failure: Kind of the failure.
      message: One line for the operator, with the node's address.
    """

    failure: NodeFailure
    message: str


class NodeClient:
    """Asks one node; each request has a connection of its own.

    Args:
      endpoint: The node's admin face.
      token: Bearer token, or empty.
      timeout_s: Time to wait for the node in seconds.
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
        """Asks for the node's status.

        Args:
          with_members: Whether the fleet's members are wanted, too.
        """
        members = "yes" if with_members else "no"
        body = self._ask("GET", f"/v1/status?members={members}")
        return body.and_then(
            lambda data: node_status.decode(data).map_err(self._malformed)
        )

    def timeline(
        self, query_by_name: dict[str, str]
    ) -> result.Result[list[timeline.Entry], NodeError]:
        """Asks for the node's events.

        Args:
          query_by_name: Filters as the admin face takes them.
        """
        query = urllib.parse.urlencode(query_by_name)
        body = self._ask("GET", f"/v1/timeline?{query}")
        return body.and_then(
            lambda data: timeline.decode(data).map_err(self._malformed)
        )

    def drain(self) -> result.Result[None, NodeError]:
        """Asks the node to leave."""
        return self._ask("POST", "/v1/drain").map(lambda _: None)

    def offer_in_force(self, data: bytes) -> result.Result[int, NodeError]:
        """Hands an accepted in-force object over.

        Args:
          data: The object's encoded content.

        Returns:
          The epoch in force at the node, or why it did not take the content.
        """
        body = self._ask("PUT", "/v1/in-force", data)
        return body.and_then(self._read_epoch)

    def _ask(
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
            data = response.read(MAX_ANSWER_BYTES)
        except (OSError, http.client.HTTPException, ValueError) as error:
            return self._error(
                NodeFailure.UNREACHABLE, str(error) or type(error).__name__
            )
        finally:
            connection.close()
        if response.status < http.HTTPStatus.BAD_REQUEST:
            return result.Ok(data)
        if response.status == http.HTTPStatus.UNAUTHORIZED:
            return self._error(NodeFailure.UNAUTHORIZED, "token refused")
        return self._error(NodeFailure.REFUSED, _message_of(data))

    def _read_epoch(self, data: bytes) -> result.Result[int, NodeError]:
        try:
            answer = msgspec.json.decode(data, type=_EpochAnswer)
        except (msgspec.DecodeError, ValueError) as error:
            return result.Err(self._malformed(str(error)))
        return result.Ok(answer.epoch)

    def _malformed(self, message: str) -> NodeError:
        return self._error(NodeFailure.MALFORMED, message).err_value

    def _error(
        self, failure: NodeFailure, message: str
    ) -> result.Err[NodeError]:
        place = f"{self._endpoint.address}:{self._endpoint.port}"
        return result.Err(
            NodeError(failure=failure, message=f"{place}: {message}")
        )


class _EpochAnswer(msgspec.Struct):
    epoch: int


class _ErrorAnswer(msgspec.Struct):
    error: str
    message: str


def _message_of(data: bytes) -> str:
    try:
        return msgspec.json.decode(data, type=_ErrorAnswer).message
    except (msgspec.DecodeError, ValueError):
        return "refused without a reason"
