"""The command that shows a node and its fleet."""

import collections

import click
import msgspec

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import files
from bergamotdeal.cli import fleet
from bergamotdeal.cli import options
from bergamotdeal.node import status as node_status

MAX_HOSTS_LISTED = 10
BYTES_PER_MB = 1_000_000


@click.command()
@click.option("--fleet", "whole", is_flag=True, help="Ask every node, too.")
@options.json_option
@options.with_target
def status(target: options.Target, *, whole: bool, as_json: bool) -> None:
    """Show a node's readiness, preset, load and view of the fleet."""
    asked = fleet.first_status(target)
    if whole:
        _show_fleet(target, asked, as_json)
    elif as_json:
        click.echo(msgspec.json.encode(asked))
    else:
        click.echo("\n".join(_lines(asked)))


def _show_fleet(
    target: options.Target, asked: node_status.NodeStatus, as_json: bool
) -> None:
    gathered = fleet.gather(
        target,
        asked.members,
        lambda client: client.status(with_members=False),
    )
    statuses = [
        answer for _, answer in sorted(gathered.answers_by_host.items())
    ]
    if as_json:
        document = {
            "nodes": statuses,
            "unreachable": gathered.reasons_by_host,
        }
        click.echo(msgspec.json.encode(document))
    else:
        click.echo("\n".join(_table([_row(node) for node in statuses])))
        report_unreachable(gathered.reasons_by_host)
    if gathered.reasons_by_host:
        raise files.failure(exit_codes.ExitCode.INCOMPLETE)


def report_unreachable(reasons_by_host: dict[str, str]) -> None:
    """Names the hosts that gave no answer on the standard error.

    Args:
      reasons_by_host: Why each host gave none.
    """
    for host_id, reason in sorted(reasons_by_host.items()):
        click.echo(f"no answer from {host_id}: {reason}", err=True)


_COLUMNS = (
    "HOST",
    "DATA CENTRE",
    "SERVICE",
    "READY",
    "EPOCH",
    "PRESET",
    "RUNNING",
    "QUEUED",
    "LIMIT",
    "THRESHOLDS",
    "MB",
)


def _row(node: node_status.NodeStatus) -> tuple[str, ...]:
    server = node.server
    return (
        node.host_id,
        node.data_centre,
        server.service if server else "-",
        _readiness(node),
        str(node.epoch),
        node.preset_name or "-",
        str(server.running) if server else "-",
        str(server.queued) if server else "-",
        str(server.limit) if server else "-",
        _thresholds(server) if server else "-",
        f"{node.resident_bytes / BYTES_PER_MB:.1f}",
    )


def _table(rows: list[tuple[str, ...]]) -> list[str]:
    rows = [_COLUMNS, *rows]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _readiness(node: node_status.NodeStatus) -> str:
    if node.draining:
        return "draining"
    return "yes" if node.ready else "no"


def _thresholds(server: node_status.ServerStatus) -> str:
    shares = server.thresholds_by_class.items()
    return ", ".join(f"{name} {share:.2f}" for name, share in shares) or "-"


def _lines(node: node_status.NodeStatus) -> list[str]:
    readiness = _readiness(node)
    if node.not_ready_reason:
        readiness += f": {node.not_ready_reason}"
    lines = [
        f"host        {node.host_id} in {node.data_centre} ({node.region})",
        f"incarnation {node.incarnation}",
        f"ready       {readiness}",
        f"preset      {node.preset_name or '-'}, epoch {node.epoch}",
        f"server      {_server(node.server)}",
        f"memory      {node.resident_bytes / BYTES_PER_MB:.1f} MB resident",
        f"uptime      {node.uptime_s:.0f} s",
    ]
    lines += _fleet_lines(node.members)
    nonzero = {k: v for k, v in sorted(node.counters_by_name.items()) if v}
    if nonzero:
        lines.append("counters")
        width = max(map(len, nonzero))
        lines += [f"  {name:{width}}  {n}" for name, n in nonzero.items()]
    return lines


def _server(server: node_status.ServerStatus | None) -> str:
    if server is None:
        return "none announced"
    return (
        f"{server.service}: {server.running} running, {server.queued} queued, "
        f"limit {server.limit} of {server.slots} slots, "
        f"thresholds {_thresholds(server)}"
    )


def _fleet_lines(members: list[node_status.MemberStatus]) -> list[str]:
    counts_by_state = collections.Counter(m.state for m in members)
    states = ", ".join(f"{n} {s}" for s, n in sorted(counts_by_state.items()))
    lines = [f"fleet       {states or 'no members'}"]
    counts_by_service = collections.Counter(
        m.service or "(no server)" for m in members if m.state == "alive"
    )
    for service, count in sorted(counts_by_service.items()):
        lines.append(f"  {service}: {count} alive")
    away = sorted((m.state, m.host_id) for m in members if m.state != "alive")
    for state, host_id in away[:MAX_HOSTS_LISTED]:
        lines.append(f"  {host_id}: {state}")
    if len(away) > MAX_HOSTS_LISTED:
        lines.append(f"  and {len(away) - MAX_HOSTS_LISTED} more")
    return lines
