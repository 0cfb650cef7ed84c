"""Command that shows the events of all nodes."""

import datetime
import re
import time

import click
import msgspec
import result

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import files
from bergamotdeal.cli import fleet
from bergamotdeal.cli import options
from bergamotdeal.cli import status as status_command
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import timeline as entries

MS_PER_S = 1000
MAX_EVENTS = 200_000
"""Maximum number of events that one command fetches from all hosts."""

_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
_DURATION_PATTERN = re.compile(r"^(\d{1,6})([smhd])$")


class PointInTimeType(click.ParamType):
    """Option type of a point in time: ISO 8601, or ``90s``, ``2h`` ago."""

    name = "time"

    def convert(self, value, param, ctx) -> int:  # noqa: ARG002
        """Converts a point in time to a stamp.

        Args:
          value: Text of the option, or its default.
          param: The option.
          ctx: Context of the command.
        """
        if isinstance(value, int):
            return value
        duration = _DURATION_PATTERN.match(value)
        if duration:
            seconds = int(duration[1]) * _SECONDS_BY_UNIT[duration[2]]
            now_ms = int(time.time() * MS_PER_S)
            return clock.from_wall_ms(max(0, now_ms - seconds * MS_PER_S))
        try:
            point_in_time = datetime.datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"{value!r}: expected 90s, 10m, 2h, 1d or ISO 8601")
        if point_in_time.tzinfo is None:
            point_in_time = point_in_time.replace(tzinfo=datetime.UTC)
        return clock.from_wall_ms(
            max(0, int(point_in_time.timestamp() * MS_PER_S))
        )


@click.command()
@click.option("--request", metavar="ID", help="Events of one user request.")
@click.option("--host", metavar="HOST", help="Events on or about one host.")
@click.option(
    "--event",
    metavar="NAME",
    help="Events with one name or number, such as 300.",
)
@click.option(
    "--since",
    type=PointInTimeType(),
    default=0,
    help="Events since 90s, 10m, 2h or 1d ago, or an ISO 8601 time.",
)
@click.option(
    "--limit",
    type=click.IntRange(1, 5000),
    default=1000,
    show_default=True,
    help="Number of newest events per host; lower for a large fleet.",
)
@options.json_option
@options.with_node_options
def timeline(
    target: options.Target,
    *,
    request: str | None,
    host: str | None,
    event: str | None,
    since: int,
    limit: int,
    as_json: bool,
) -> None:
    """Show the events of all nodes in the order of cause and effect."""
    query_by_name = {"since": str(since)}
    if request:
        query_by_name["request"] = request
    if host:
        query_by_name["host"] = host
    if event:
        query_by_name["event"] = str(_parse_event_number(event))
    members = fleet.fetch_status_or_exit(target).members
    limit_per_host = max(1, min(limit, MAX_EVENTS // max(1, len(members))))
    query_by_name["limit"] = str(limit_per_host)
    fleet_answers = fleet.query_members(
        target, members, lambda client: client.timeline(query_by_name)
    )
    merged = entries.merge(
        entry
        for answer in fleet_answers.answers_by_host.values()
        for entry in answer
    )
    for entry in merged:
        click.echo(
            _format_json_line(entry) if as_json else _format_text_line(entry)
        )
    _report_truncation(fleet_answers.answers_by_host, limit_per_host)
    status_command.report_unreachable(fleet_answers.errors_by_host)
    if fleet_answers.errors_by_host:
        raise files.report_failure(exit_codes.ExitCode.INCOMPLETE)


def _report_truncation(
    answers_by_host: dict[str, list[entries.Entry]], limit_per_host: int
) -> None:
    truncated_hosts = [
        host_id
        for host_id, host_entries in answers_by_host.items()
        if len(host_entries) >= limit_per_host
    ]
    if truncated_hosts:
        click.echo(
            f"only the newest {limit_per_host} events were taken from "
            f"{', '.join(sorted(truncated_hosts))}; narrow by --request, "
            "--event or --since",
            err=True,
        )


def _parse_event_number(query: str) -> int:
    match catalogue.find_event_code(query):
        case result.Ok(code):
            return int(code)
        case result.Err(message):
            raise click.BadParameter(message, param_hint="--event")


def _format_text_line(entry: entries.Entry) -> str:
    request = f" [{entry.request}]" if entry.request else ""
    message = " ".join(entry.message.split("\n"))
    return (
        f"{entry.time} {entry.host} {entry.code} {entry.name}{request} "
        f"{message}"
    )


def _format_json_line(entry: entries.Entry) -> str:
    document = {
        "time": entry.time,
        "host": entry.host,
        "stamp": entry.stamp,
        "code": entry.code,
        "name": entry.name,
        "request": entry.request,
        "message": entry.message,
        "fields": entry.fields,
    }
    return msgspec.json.encode(document).decode()
