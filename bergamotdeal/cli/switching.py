"""Switches the preset in force and watches it spread."""

import dataclasses
import random
import time
from typing import Any

import click
import msgspec
import result

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import fleet
from bergamotdeal.cli import options
from bergamotdeal.cli import store_session
from bergamotdeal.node import status as node_status
from bergamotdeal.presets import library
from bergamotdeal.presets import switch
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import core as store

HANDED_TO_PER_DATA_CENTRE = 3
POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(kw_only=True, slots=True)
class Report:
    """What became of a switch.

    Attributes:
      outcome: What the store said.
      handed_to: Hosts that took the accepted preset from this command.
      is_watched: Whether the command watched the switch spread.
      in_force: Hosts that have it in force.
      missing_by_host: Why each other host is not known to have it.
      spread_s: Seconds from the acceptance to the end of the watch.
    """

    outcome: switch.Outcome
    handed_to: list[str] = dataclasses.field(default_factory=list)
    is_watched: bool = False
    in_force: list[str] = dataclasses.field(default_factory=list)
    missing_by_host: dict[str, str] = dataclasses.field(default_factory=dict)
    spread_s: float = 0.0

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """Exit code of the command."""
        match self.outcome:
            case switch.Accepted():
                if self.is_watched and self.missing_by_host:
                    return exit_codes.ExitCode.INCOMPLETE
                return exit_codes.ExitCode.OK
            case switch.Superseded():
                return exit_codes.ExitCode.SUPERSEDED
            case switch.Conflict():
                return exit_codes.ExitCode.CONFLICT
            case switch.Unknown():
                return exit_codes.ExitCode.UNKNOWN
            case switch.Failed(kind=kind):
                return store_session.exit_code_of(kind)

    def as_json(self) -> str:
        """Returns the report for scripts."""
        document: dict[str, Any] = {"result": _word(self.outcome)}
        for field in dataclasses.fields(self.outcome):
            if field.name != "document":
                document[field.name] = getattr(self.outcome, field.name)
        document["handed_to"] = self.handed_to
        if self.is_watched:
            document["in_force"] = self.in_force
            document["missing"] = self.missing_by_host
            document["spread_s"] = round(self.spread_s, 3)
        return msgspec.json.encode(document).decode()

    def as_text(self) -> str:
        """Returns the report for people."""
        lines = [_sentence(self.outcome)]
        if self.handed_to:
            lines.append(f"handed to {', '.join(self.handed_to)}")
        if self.is_watched:
            count = len(self.in_force)
            total = count + len(self.missing_by_host)
            lines.append(
                f"in force on {count} of {total} hosts after "
                f"{self.spread_s:.2f} s"
            )
            lines += [
                f"missing: {host}: {reason}"
                for host, reason in sorted(self.missing_by_host.items())
            ]
        return "\n".join(lines)


def switch_preset(
    settings: settings_model.StoreSection,
    target: options.Target | None,
    *,
    name: str,
    operation_id: str | None,
    operator: str,
    wait_s: float | None,
) -> Report:
    """Puts a stored preset in force.

    Args:
      settings: Where the store is.
      target: Nodes to hand the accepted preset to, or None.
      name: Name of the stored preset.
      operation_id: Id of an earlier run, or None for a new one.
      operator: Who switches.
      wait_s: Seconds to watch the switch spread, or None.
    """
    asked = _ask_fleet(target)
    outcome = _run_switch(
        settings,
        name=name,
        operation_id=operation_id,
        operator=operator,
        min_epoch=1 if asked is None else asked.epoch + 1,
    )
    report = Report(outcome=outcome)
    if not isinstance(outcome, switch.Accepted) or asked is None:
        return report
    members = [m for m in asked.members if m.state != "dead"]
    started = time.monotonic()
    report.handed_to = _hand_over(target, members, outcome.document)
    if wait_s is not None:
        report.is_watched = True
        _watch(target, members, outcome.epoch, started + wait_s, report)
        _drop_departed(target, report)
        report.spread_s = time.monotonic() - started
    return report


def _ask_fleet(target: options.Target | None) -> node_status.NodeStatus | None:
    if target is None:
        return None
    match fleet.find_status(target):
        case result.Ok(asked):
            return asked
        case result.Err(errors):
            # The store alone decides; the nodes learn of the switch there.
            for error in errors:
                click.echo(f"no answer: {error.message}", err=True)
    return None


def _run_switch(
    settings: settings_model.StoreSection,
    *,
    name: str,
    operation_id: str | None,
    operator: str,
    min_epoch: int,
) -> switch.Outcome:
    machines: list[switch.SwitchStateMachine] = []

    async def operate(object_store: store.Store, reactor) -> switch.Outcome:
        loaded = await library.get(object_store, name)
        if isinstance(loaded, result.Err):
            failure = loaded.err_value
            reason = f"preset {name}: {failure.detail}"
            return switch.Failed(kind=failure.kind, reason=reason)
        machine = switch.SwitchStateMachine(
            preset=loaded.ok_value,
            operator=operator,
            rng=random.SystemRandom(),
            operation_id=operation_id,
            min_epoch=min_epoch,
        )
        machines.append(machine)
        return await switch.run(
            machine, object_store=object_store, reactor=reactor
        )

    try:
        return store_session.run(settings, operate)
    except store_session.InterruptedSessionError:
        known_id = machines[0].operation_id if machines else operation_id
        return switch.Unknown(operation_id=known_id or "", reason="interrupted")


def _hand_over(
    target: options.Target,
    members: list[node_status.MemberStatus],
    document: bytes,
) -> list[str]:
    """Hands the preset to a few hosts of each data centre."""
    members_by_data_centre: dict[str, list[node_status.MemberStatus]] = {}
    for member in members:
        if member.admin_port:
            near = members_by_data_centre.setdefault(member.data_centre, [])
            near.append(member)
    chosen = [
        member
        for near in members_by_data_centre.values()
        for member in near[:HANDED_TO_PER_DATA_CENTRE]
    ]
    gathered = fleet.gather(
        target, chosen, lambda client: client.offer_in_force(document)
    )
    return sorted(gathered.answers_by_host)


def _watch(
    target: options.Target,
    members: list[node_status.MemberStatus],
    epoch: int,
    end: float,
    report: Report,
) -> None:
    """Asks the hosts until all have the epoch in force or time is up."""
    waiting = members
    while True:
        gathered = fleet.gather(
            target, waiting, lambda client: client.status(with_members=False)
        )
        report.missing_by_host = dict(gathered.reasons_by_host)
        for host_id, asked in gathered.answers_by_host.items():
            if asked.epoch >= epoch:
                report.in_force.append(host_id)
            else:
                report.missing_by_host[host_id] = f"has epoch {asked.epoch}"
        waiting = [m for m in waiting if m.host_id in report.missing_by_host]
        if not waiting or time.monotonic() >= end:
            report.in_force.sort()
            return
        time.sleep(POLL_INTERVAL_S)


def _drop_departed(target: options.Target, report: Report) -> None:
    """Leaves out hosts that left the fleet during the watch."""
    if not report.missing_by_host:
        return
    asked = fleet.find_status(target)
    if isinstance(asked, result.Err):
        return
    remaining = {
        member.host_id
        for member in asked.ok_value.members
        if member.state != "dead"
    }
    report.missing_by_host = {
        host_id: reason
        for host_id, reason in report.missing_by_host.items()
        if host_id in remaining
    }


def _word(outcome: switch.Outcome) -> str:
    return type(outcome).__name__.lower()


def _sentence(outcome: switch.Outcome) -> str:
    match outcome:
        case switch.Accepted(epoch=epoch, operation_id=operation_id):
            return f"accepted: epoch {epoch}, operation {operation_id}"
        case switch.Superseded(epoch=epoch, by=by):
            return (
                f"accepted as epoch {epoch}, and superseded since by "
                f"{by.operator}: {by.preset_name}, epoch {by.epoch}, "
                f"operation {by.operation_id}"
            )
        case switch.Conflict(winner=winner):
            return (
                f"not accepted: {winner.operator} switched to "
                f"{winner.preset_name} first, epoch {winner.epoch}, "
                f"operation {winner.operation_id}"
            )
        case switch.Unknown(operation_id=operation_id, reason=reason):
            advice = "look at the history before another try"
            if operation_id:
                advice = f"run again with --operation-id {operation_id}"
            return f"unknown whether accepted: {reason}; {advice}"
        case switch.Failed(kind=kind, reason=reason):
            return f"not accepted: {kind.value}: {reason}"
