"""The command that shows what happened over all nodes."""

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
"""Events that one command gathers at most from all hosts."""

_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
_AGO = re.compile(r"^(\d{1,6})([smhd])$")


class Since(click.ParamType):
    """A point in time: ``90s``, ``10m``, ``2h``, ``1d`` ago or ISO 8601."""

    name = "time"

    def convert(self, value, param, ctx) -> int:  # noqa: ARG002
        """Returns the stamp of the point in time.

        Args:
          value: The option's text.
          param: The option.
          ctx: The command's context.
        """
        if isinstance(value, int):
            return value
        ago = _AGO.match(value)
        if ago:
            seconds = int(ago[1]) * _SECONDS_BY_UNIT[ago[2]]
            now_ms = int(time.time() * MS_PER_S)
            return clock.from_wall_ms(max(0, now_ms - seconds * MS_PER_S))
        try:
            moment = datetime.datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"{value!r}: expected 90s, 10m, 2h, 1d or ISO 8601")
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=datetime.UTC)
        return clock.from_wall_ms(max(0, int(moment.timestamp() * MS_PER_S)))


@click.command()
@click.option("--request", metavar="ID", help="Events of one user request.")
@click.option("--host", metavar="HOST", help="Events on or about one host.")
@click.option(
    "--event", metavar="NAME", help="Events of one name or number, as 300."
)
@click.option(
    "--since",
    type=Since(),
    default=0,
    help="Events since 90s, 10m, 2h or 1d ago, or an ISO 8601 time.",
)
@click.option(
    "--limit",
    type=click.IntRange(1, 5000),
    default=1000,
    show_default=True,
    help="Newest events per host; fewer of a large fleet.",
)
@options.json_option
@options.with_target
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
        query_by_name["event"] = str(_event_number(event))
    members = fleet.first_status(target).members
    per_host = max(1, min(limit, MAX_EVENTS // max(1, len(members))))
    query_by_name["limit"] = str(per_host)
    gathered = fleet.gather(
        target, members, lambda client: client.timeline(query_by_name)
    )
    merged = entries.merge(
        entry
        for answer in gathered.answers_by_host.values()
        for entry in answer
    )
    for entry in merged:
        click.echo(_json_line(entry) if as_json else _text_line(entry))
    _report_cut(gathered.answers_by_host, per_host)
    status_command.report_unreachable(gathered.reasons_by_host)
    if gathered.reasons_by_host:
        raise files.failure(exit_codes.ExitCode.INCOMPLETE)


def _report_cut(
    answers_by_host: dict[str, list[entries.Entry]], per_host: int
) -> None:
    cut = [h for h, found in answers_by_host.items() if len(found) >= per_host]
    if cut:
        click.echo(
            f"only the newest {per_host} events were taken from "
            f"{', '.join(sorted(cut))}; narrow by --request, --event or "
            "--since",
            err=True,
        )


def _event_number(word: str) -> int:
    match catalogue.find_event_code(word):
        case result.Ok(code):
            return int(code)
        case result.Err(message):
            raise click.BadParameter(message, param_hint="--event")


def _text_line(entry: entries.Entry) -> str:
    request = f" [{entry.request}]" if entry.request else ""
    message = " ".join(entry.message.split("\n"))
    return (
        f"{entry.time} {entry.host} {entry.code} {entry.name}{request} "
        f"{message}"
    )


def _json_line(entry: entries.Entry) -> str:
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
