"""Command that shows the status of a node and its fleet."""

import collections

import click
import msgspec

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import files
from bergamotdeal.cli import fleet
from bergamotdeal.cli import options
from bergamotdeal.node import status as node_status

MAX_LISTED_HOSTS = 10
BYTES_PER_MB = 1_000_000


@click.command()
@click.option(
    "--fleet",
    "is_fleet_wide",
    is_flag=True,
    help="Ask every node of the fleet.",
)
@options.json_option
@options.with_node_options
def status(
    target: options.Target, *, is_fleet_wide: bool, as_json: bool
) -> None:
    """Show a node's readiness, preset, load and view of the fleet."""
    first_status = fleet.fetch_status_or_exit(target)
    if is_fleet_wide:
        _show_fleet(target, first_status, as_json)
    elif as_json:
        click.echo(msgspec.json.encode(first_status))
    else:
        click.echo("\n".join(_format_status(first_status)))


def _show_fleet(
    target: options.Target, first_status: node_status.NodeStatus, as_json: bool
) -> None:
    fleet_answers = fleet.query_members(
        target,
        first_status.members,
        lambda client: client.status(with_members=False),
    )
    statuses = [
        answer for _, answer in sorted(fleet_answers.answers_by_host.items())
    ]
    if as_json:
        document = {
            "nodes": statuses,
            "unreachable": fleet_answers.errors_by_host,
        }
        click.echo(msgspec.json.encode(document))
    else:
        click.echo(
            "\n".join(_format_table([_build_row(node) for node in statuses]))
        )
        report_unreachable(fleet_answers.errors_by_host)
    if fleet_answers.errors_by_host:
        raise files.report_failure(exit_codes.ExitCode.INCOMPLETE)


def report_unreachable(errors_by_host: dict[str, str]) -> None:
    """Writes the hosts without an answer to the standard error.

    Args:
      errors_by_host: Error messages by host id.
    """
    for host_id, error in sorted(errors_by_host.items()):
        click.echo(f"no answer from {host_id}: {error}", err=True)


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


def _build_row(node: node_status.NodeStatus) -> tuple[str, ...]:
    server = node.server
    return (
        node.host_id,
        node.data_centre,
        server.service if server else "-",
        _format_readiness(node),
        str(node.epoch),
        node.preset_name or "-",
        str(server.running) if server else "-",
        str(server.queued) if server else "-",
        str(server.limit) if server else "-",
        _format_thresholds(server) if server else "-",
        f"{node.resident_bytes / BYTES_PER_MB:.1f}",
    )


def _format_table(rows: list[tuple[str, ...]]) -> list[str]:
    rows = [_COLUMNS, *rows]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _format_readiness(node: node_status.NodeStatus) -> str:
    if node.draining:
        return "draining"
    return "yes" if node.ready else "no"


def _format_thresholds(server: node_status.ServerStatus) -> str:
    shares = server.thresholds_by_class.items()
    return ", ".join(f"{name} {share:.2f}" for name, share in shares) or "-"


def _format_status(node: node_status.NodeStatus) -> list[str]:
    readiness = _format_readiness(node)
    if node.not_ready_reason:
        readiness += f": {node.not_ready_reason}"
    lines = [
        f"host        {node.host_id} in {node.data_centre} ({node.region})",
        f"incarnation {node.incarnation}",
        f"ready       {readiness}",
        f"preset      {_format_preset(node)}",
        f"server      {_format_server(node.server)}",
        f"memory      {_format_memory(node)}",
        f"uptime      {node.uptime_s:.0f} s",
    ]
    lines += _format_fleet(node.members)
    nonzero_counters = {
        counter: total
        for counter, total in sorted(node.counters_by_name.items())
        if total
    }
    if nonzero_counters:
        lines.append("counters")
        width = max(map(len, nonzero_counters))
        lines += [
            f"  {name:{width}}  {count}"
            for name, count in nonzero_counters.items()
        ]
    return lines


def _format_preset(node: node_status.NodeStatus) -> str:
    line = f"{node.preset_name or '-'}, epoch {node.epoch}"
    if node.preset_behind_s:
        line += f"; a newer one is known for {node.preset_behind_s:.0f} s"
    return line


def _format_memory(node: node_status.NodeStatus) -> str:
    resident_mb, body_mb, capacity_mb = (
        size / BYTES_PER_MB
        for size in (
            node.resident_bytes,
            node.body_bytes,
            node.body_capacity_bytes,
        )
    )
    return (
        f"{resident_mb:.1f} MB resident, {body_mb:.1f} of {capacity_mb:.1f} MB "
        "for bodies"
    )


def _format_server(server: node_status.ServerStatus | None) -> str:
    if server is None:
        return "none announced"
    return (
        f"{server.service}: {server.running} running, {server.queued} queued, "
        f"limit {server.limit} of {server.slots} slots, "
        f"thresholds {_format_thresholds(server)}"
    )


def _format_fleet(members: list[node_status.MemberStatus]) -> list[str]:
    counts_by_state = collections.Counter(m.state for m in members)
    states = ", ".join(
        f"{number} {name}" for name, number in sorted(counts_by_state.items())
    )
    lines = [f"fleet       {states or 'no members'}"]
    counts_by_service = collections.Counter(
        m.service or "(no server)" for m in members if m.state == "alive"
    )
    for service, count in sorted(counts_by_service.items()):
        lines.append(f"  {service}: {count} alive")
    unavailable_hosts = sorted(
        (m.state, m.host_id) for m in members if m.state != "alive"
    )
    for state, host_id in unavailable_hosts[:MAX_LISTED_HOSTS]:
        lines.append(f"  {host_id}: {state}")
    if len(unavailable_hosts) > MAX_LISTED_HOSTS:
        lines.append(f"  and {len(unavailable_hosts) - MAX_LISTED_HOSTS} more")
    return lines
