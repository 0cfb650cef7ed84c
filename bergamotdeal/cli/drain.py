"""Command that drains a host."""

import time

import click
import result

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import files
from bergamotdeal.cli import fleet
from bergamotdeal.cli import node_client
from bergamotdeal.cli import options
from bergamotdeal.node import status as node_status
from bergamotdeal.settings import model as settings_model

POLL_INTERVAL_S = 0.2


@click.command()
@click.argument("host")
@click.option(
    "--wait",
    "wait_s",
    type=click.FloatRange(min=0, max=86_400),
    metavar="SECONDS",
    help="Wait for the node to stop, for this long at most.",
)
@options.with_node_options
def drain(target: options.Target, *, host: str, wait_s: float | None) -> None:
    """Let HOST finish its running requests, take no new ones and stop."""
    fleet_status = fleet.fetch_status_or_exit(target)
    member = _find_member(fleet_status.members, host)
    endpoint = settings_model.Endpoint(
        address=member.address, port=member.admin_port
    )
    client = fleet.build_client(target, endpoint)
    answer = client.drain()
    if isinstance(answer, result.Err):
        raise fleet.report_node_errors([answer.err_value])
    click.echo(f"{host}: drain started")
    if wait_s is None:
        return
    if not _wait_until_stopped(client, member.incarnation, wait_s):
        raise files.report_failure(
            exit_codes.ExitCode.INCOMPLETE,
            f"{host}: still running after {wait_s:g} s",
        )
    click.echo(f"{host}: stopped")


def _find_member(
    members: list[node_status.MemberStatus], host: str
) -> node_status.MemberStatus:
    for member in members:
        if member.host_id != host:
            continue
        if not member.admin_port:
            raise files.report_failure(
                exit_codes.ExitCode.NODE_UNREACHABLE,
                f"{host}: its admin face can't be reached from other hosts",
            )
        return member
    raise files.report_failure(
        exit_codes.ExitCode.NOT_FOUND, f"{host}: no such host"
    )


def _wait_until_stopped(
    client: node_client.NodeClient, incarnation: str, wait_s: float
) -> bool:
    deadline = time.monotonic() + wait_s
    while True:
        answer = client.status(with_members=False)
        if isinstance(answer, result.Ok):
            if answer.ok_value.incarnation != incarnation:
                return True
        elif answer.err_value.kind is node_client.NodeErrorKind.UNREACHABLE:
            return True
        if time.monotonic() >= deadline:
            return False
        time.sleep(POLL_INTERVAL_S)
