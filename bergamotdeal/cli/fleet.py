"""Concurrent requests to the nodes of a fleet."""

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

MAX_CONCURRENT_REQUESTS = 32

Answer = TypeVar("Answer")

_EXIT_CODES_BY_KIND = {
    node_client.NodeErrorKind.UNREACHABLE: exit_codes.ExitCode.NODE_UNREACHABLE,
    node_client.NodeErrorKind.UNAUTHORIZED: exit_codes.ExitCode.UNAUTHORIZED,
    node_client.NodeErrorKind.REFUSED: exit_codes.ExitCode.FAILED,
    node_client.NodeErrorKind.MALFORMED: exit_codes.ExitCode.FAILED,
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetAnswers(Generic[Answer]):
    """Answers and errors of the nodes of a fleet.

    Attributes:
      answers_by_host: Answers by host id.
      errors_by_host: Error messages by host id, for hosts without an answer.
    """

    answers_by_host: dict[str, Answer]
    errors_by_host: dict[str, str]


def fetch_status_or_exit(target: options.Target) -> node_status.NodeStatus:
    """Fetches the status from the first node that answers.

    Args:
      target: Nodes to ask in turn.

    Returns:
      The status of the node, with the members of the fleet.

    Raises:
      SystemExit: No node gave a usable answer.
    """
    answer = fetch_status(target)
    if isinstance(answer, result.Err):
        raise report_node_errors(answer.err_value)
    return answer.ok_value


def fetch_status(
    target: options.Target,
) -> result.Result[node_status.NodeStatus, list[node_client.NodeError]]:
    """Fetches the status from the first node that answers.

    Args:
      target: Nodes to ask in turn.

    Returns:
      The status of the node, with the members of the fleet, or the error of
      each node.
    """
    errors = []
    for endpoint in target.endpoints:
        answer = build_client(target, endpoint).status(with_members=True)
        if isinstance(answer, result.Ok):
            return answer
        errors.append(answer.err_value)
    return result.Err(errors)


def build_client(
    target: options.Target, endpoint: settings_model.Endpoint
) -> node_client.NodeClient:
    """Builds the client of one node.

    Args:
      target: Source of the token and the timeout.
      endpoint: Admin listener of the node.
    """
    return node_client.NodeClient(
        endpoint=endpoint, token=target.token, timeout_s=target.timeout_s
    )


def report_node_errors(errors: list[node_client.NodeError]) -> SystemExit:
    """Writes the errors of nodes and returns the exception to raise.

    Args:
      errors: Error of each node, at least one. The last one determines the
        exit code.
    """
    code = _EXIT_CODES_BY_KIND[errors[-1].kind]
    return files.report_failure(code, *(error.message for error in errors))


def query_members(
    target: options.Target,
    members: Iterable[node_status.MemberStatus],
    request: Callable[
        [node_client.NodeClient], result.Result[Answer, node_client.NodeError]
    ],
) -> FleetAnswers[Answer]:
    """Sends a request to every member, a bounded number at a time.

    Args:
      target: Source of the token and the timeout.
      members: Members to query.
      request: Makes the request with the client of a member.
    """
    answers_by_host: dict[str, Answer] = {}
    errors_by_host: dict[str, str] = {}
    with futures.ThreadPoolExecutor(
        max_workers=MAX_CONCURRENT_REQUESTS
    ) as pool:
        futures_by_host = {}
        for member in members:
            if not member.admin_port:
                errors_by_host[member.host_id] = (
                    "its admin face can't be reached from other hosts"
                )
                continue
            endpoint = settings_model.Endpoint(
                address=member.address, port=member.admin_port
            )
            futures_by_host[member.host_id] = pool.submit(
                request, build_client(target, endpoint)
            )
        for host_id, future in futures_by_host.items():
            match future.result():
                case result.Ok(answer):
                    answers_by_host[host_id] = answer
                case result.Err(error):
                    errors_by_host[host_id] = error.message
    return FleetAnswers(
        answers_by_host=answers_by_host, errors_by_host=errors_by_host
    )
