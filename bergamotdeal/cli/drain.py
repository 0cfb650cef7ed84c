"""The command that takes a host out of the fleet gracefully."""

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
@options.with_target
def drain(target: options.Target, *, host: str, wait_s: float | None) -> None:
    """Let HOST finish its running requests, take no new ones and stop."""
    asked = fleet.first_status(target)
    member = _find(asked.members, host)
    endpoint = settings_model.Endpoint(
        address=member.address, port=member.admin_port
    )
    client = fleet.client(target, endpoint)
    drained = client.drain()
    if isinstance(drained, result.Err):
        raise fleet.failure([drained.err_value])
    click.echo(f"{host}: drain started")
    if wait_s is None:
        return
    if not _wait_until_stopped(client, member.incarnation, wait_s):
        raise files.failure(
            exit_codes.ExitCode.INCOMPLETE,
            f"{host}: still running after {wait_s:g} s",
        )
    click.echo(f"{host}: stopped")


def _find(
    members: list[node_status.MemberStatus], host: str
) -> node_status.MemberStatus:
    for member in members:
        if member.host_id != host:
            continue
        if not member.admin_port:
            raise files.failure(
                exit_codes.ExitCode.NODE_UNREACHABLE,
                f"{host}: its admin face can't be reached from other hosts",
            )
        return member
    raise files.failure(exit_codes.ExitCode.NOT_FOUND, f"{host}: no such host")


def _wait_until_stopped(
    client: node_client.NodeClient, incarnation: str, wait_s: float
) -> bool:
    end = time.monotonic() + wait_s
    while True:
        asked = client.status(with_members=False)
        if isinstance(asked, result.Ok):
            if asked.ok_value.incarnation != incarnation:
                return True
        elif asked.err_value.failure is node_client.NodeFailure.UNREACHABLE:
            return True
        if time.monotonic() >= end:
            return False
        time.sleep(POLL_INTERVAL_S)
