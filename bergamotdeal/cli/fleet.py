"""Asks many nodes at once."""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import dataclasses
from typing import Generic
from typing import TypeVar

import result

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import files
from bergamotdeal.cli import node_client
from bergamotdeal.cli import options
from bergamotdeal.node import status as node_status
from bergamotdeal.settings import model as settings_model

MAX_CONCURRENT = 32

Answer = TypeVar("Answer")

_EXIT_CODES_BY_FAILURE = {
    node_client.NodeFailure.UNREACHABLE: exit_codes.ExitCode.NODE_UNREACHABLE,
    node_client.NodeFailure.UNAUTHORIZED: exit_codes.ExitCode.UNAUTHORIZED,
    node_client.NodeFailure.REFUSED: exit_codes.ExitCode.FAILED,
    node_client.NodeFailure.MALFORMED: exit_codes.ExitCode.FAILED,
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gathered(Generic[Answer]):
    """What the nodes of a fleet answered.

    Attributes:
      answers_by_host: Answers of the hosts that could be reached.
      reasons_by_host: Why the others gave none.
    """

    answers_by_host: dict[str, Answer]
    reasons_by_host: dict[str, str]


def first_status(target: options.Target) -> node_status.NodeStatus:
    """Asks the given nodes in turn for the fleet, or ends the command.

    Args:
      target: Nodes that the operator named.

    Returns:
      The status of the first node that answers, with its members.
    """
    found = find_status(target)
    if isinstance(found, result.Err):
        raise failure(found.err_value)
    return found.ok_value


def find_status(
    target: options.Target,
) -> result.Result[node_status.NodeStatus, list[node_client.NodeError]]:
    """Asks the given nodes in turn for the fleet.

    Args:
      target: Nodes that the operator named.

    Returns:
      The status of the first node that answers, or each node's error.
    """
    errors = []
    for endpoint in target.endpoints:
        asked = client(target, endpoint).status(with_members=True)
        if isinstance(asked, result.Ok):
            return asked
        errors.append(asked.err_value)
    return result.Err(errors)


def client(
    target: options.Target, endpoint: settings_model.Endpoint
) -> node_client.NodeClient:
    """Returns a client of one node.

    Args:
      target: Carries the token and the timeout.
      endpoint: The node's admin face.
    """
    return node_client.NodeClient(
        endpoint=endpoint, token=target.token, timeout_s=target.timeout_s
    )


def failure(errors: list[node_client.NodeError]) -> SystemExit:
    """Reports that no node gave an answer; returns the exception to raise.

    Args:
      errors: What each node failed with, at least one.
    """
    code = _EXIT_CODES_BY_FAILURE[errors[-1].failure]
    return files.failure(code, *(error.message for error in errors))


def gather(
    target: options.Target,
    members: Iterable[node_status.MemberStatus],
    ask: Callable[
        [node_client.NodeClient], result.Result[Answer, node_client.NodeError]
    ],
) -> Gathered[Answer]:
    """Asks every member, some at a time.

    Args:
      target: Carries the token and the timeout.
      members: The fleet's members.
      ask: Makes the request with a member's client.
    """
    answers_by_host: dict[str, Answer] = {}
    reasons_by_host: dict[str, str] = {}
    with futures.ThreadPoolExecutor(max_workers=MAX_CONCURRENT) as pool:
        futures_by_host = {}
        for member in members:
            if not member.admin_port:
                reasons_by_host[member.host_id] = (
                    "its admin face can't be reached from other hosts"
                )
                continue
            endpoint = settings_model.Endpoint(
                address=member.address, port=member.admin_port
            )
            futures_by_host[member.host_id] = pool.submit(
                ask, client(target, endpoint)
            )
        for host_id, future in futures_by_host.items():
            match future.result():
                case result.Ok(answer):
                    answers_by_host[host_id] = answer
                case result.Err(error):
                    reasons_by_host[host_id] = error.message
    return Gathered(
        answers_by_host=answers_by_host, reasons_by_host=reasons_by_host
    )
