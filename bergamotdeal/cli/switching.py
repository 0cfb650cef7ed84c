"""Switch of the preset in force, with observation of its rollout."""

from collections.abc import Awaitable
from collections.abc import Callable
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
from bergamotdeal.presets import model
from bergamotdeal.presets import switch
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import core as store

PUSHES_PER_DATA_CENTRE = 3
POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(kw_only=True, slots=True)
class SwitchReport:
    """Report on a switch.

    Attributes:
      outcome: Outcome of the switch in the store.
      handed_to: Ids of the hosts that accepted the preset from this command.
      is_watched: Whether the command waited for the rollout.
      in_force: Ids of the hosts that have the preset in force.
      missing_by_host: Reasons by host id for hosts that are not known to have
        the preset in force.
      spread_s: Time from the acceptance to the end of the wait in seconds.
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
                return store_session.get_exit_code(kind)

    def as_json(self) -> str:
        """Returns the report as JSON for scripts."""
        document: dict[str, Any] = {"result": _get_result_name(self.outcome)}
        for field in msgspec.structs.fields(self.outcome):
            if field.name != "document":
                document[field.name] = getattr(self.outcome, field.name)
        document["handed_to"] = self.handed_to
        if self.is_watched:
            document["in_force"] = self.in_force
            document["missing"] = self.missing_by_host
            document["spread_s"] = round(self.spread_s, 3)
        return msgspec.json.encode(document).decode()

    def as_text(self) -> str:
        """Returns the report as text for operators."""
        lines = [_describe_outcome(self.outcome)]
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadedPreset:
    """Preset to put in force.

    Attributes:
      preset: The preset.
      base_epoch: Epoch that was in force before the preset was read. Another
        switch since then may have changed what the preset was built from.
    """

    preset: model.Preset
    base_epoch: int


Load = Callable[
    [store.Store], Awaitable[result.Result[LoadedPreset, store.Failure]]
]


async def load_stored(
    object_store: store.Store, *, name: str
) -> result.Result[LoadedPreset, store.Failure]:
    """Loads a stored preset.

    Args:
      object_store: The store.
      name: Name of the preset.
    """
    current = await library.read_in_force(object_store)
    match current:
        case result.Ok(in_force):
            base_epoch = in_force.epoch
        case result.Err(failure) if failure.kind is store.FailureKind.NOT_FOUND:
            base_epoch = 0
        case _:
            return current
    loaded = await library.get(object_store, name)
    return loaded.map(
        lambda preset: LoadedPreset(preset=preset, base_epoch=base_epoch)
    ).map_err(
        lambda failure: msgspec.structs.replace(
            failure, detail=f"preset {name}: {failure.detail}"
        )
    )


def switch_preset(
    settings: settings_model.StoreSection,
    target: options.Target | None,
    *,
    load: Load,
    operation_id: str | None,
    operator: str,
    wait_s: float | None,
) -> SwitchReport:
    """Puts a preset in force.

    Args:
      settings: Address and token of the store.
      target: Nodes through which the fleet is reached, or None.
      load: Loads the preset.
      operation_id: Id of an earlier run, or None for a new operation.
      operator: Name of the operator.
      wait_s: Time to wait for the rollout in seconds; None for no wait.
    """
    fleet_status = _fetch_fleet_status(target)
    outcome = _run_switch(
        settings,
        load=load,
        operation_id=operation_id,
        operator=operator,
        min_epoch=1 if fleet_status is None else fleet_status.epoch + 1,
    )
    report = SwitchReport(outcome=outcome)
    if not isinstance(outcome, switch.Accepted) or fleet_status is None:
        return report
    members = [m for m in fleet_status.members if m.state != "dead"]
    accepted_at = time.monotonic()
    report.handed_to = _push_to_nodes(target, members, outcome.document)
    if wait_s is not None:
        report.is_watched = True
        _wait_for_rollout(
            target, members, outcome.epoch, accepted_at + wait_s, report
        )
        _remove_departed_hosts(target, report)
        report.spread_s = time.monotonic() - accepted_at
    return report


def _fetch_fleet_status(
    target: options.Target | None,
) -> node_status.NodeStatus | None:
    if target is None:
        return None
    match fleet.fetch_status(target):
        case result.Ok(fleet_status):
            return fleet_status
        case result.Err(errors):
            # The switch needs only the store, where the nodes learn of it, too.
            for error in errors:
                click.echo(f"no answer: {error.message}", err=True)
    return None


def _run_switch(
    settings: settings_model.StoreSection,
    *,
    load: Load,
    operation_id: str | None,
    operator: str,
    min_epoch: int,
) -> switch.Outcome:
    state_machines: list[switch.SwitchStateMachine] = []

    async def run_switch(object_store: store.Store, reactor) -> switch.Outcome:
        loaded = await load(object_store)
        if isinstance(loaded, result.Err):
            failure = loaded.err_value
            return switch.Failed(kind=failure.kind, reason=failure.detail)
        state_machine = switch.SwitchStateMachine(
            preset=loaded.ok_value.preset,
            base_epoch=loaded.ok_value.base_epoch,
            operator=operator,
            rng=random.SystemRandom(),
            operation_id=operation_id,
            min_epoch=min_epoch,
        )
        state_machines.append(state_machine)
        return await switch.run(
            state_machine, object_store=object_store, reactor=reactor
        )

    try:
        return store_session.run(settings, run_switch)
    except store_session.OperationInterruptedError:
        known_id = (
            state_machines[0].operation_id if state_machines else operation_id
        )
        return switch.Unknown(operation_id=known_id or "", reason="interrupted")


def _push_to_nodes(
    target: options.Target,
    members: list[node_status.MemberStatus],
    document: bytes,
) -> list[str]:
    """Sends the preset to a few hosts of each data centre.

    Returns:
      Sorted ids of the hosts that accepted it.
    """
    members_by_data_centre: dict[str, list[node_status.MemberStatus]] = {}
    for member in members:
        if member.admin_port:
            local_members = members_by_data_centre.setdefault(
                member.data_centre, []
            )
            local_members.append(member)
    recipients = [
        member
        for local_members in members_by_data_centre.values()
        for member in local_members[:PUSHES_PER_DATA_CENTRE]
    ]
    fleet_answers = fleet.query_members(
        target, recipients, lambda client: client.put_in_force(document)
    )
    return sorted(fleet_answers.answers_by_host)


def _wait_for_rollout(
    target: options.Target,
    members: list[node_status.MemberStatus],
    epoch: int,
    deadline: float,
    report: SwitchReport,
) -> None:
    """Polls the hosts until all have the epoch in force or time is up."""
    pending_members = members
    while True:
        fleet_answers = fleet.query_members(
            target,
            pending_members,
            lambda client: client.status(with_members=False),
        )
        report.missing_by_host = dict(fleet_answers.errors_by_host)
        for host_id, host_status in fleet_answers.answers_by_host.items():
            if host_status.epoch >= epoch:
                report.in_force.append(host_id)
            else:
                report.missing_by_host[host_id] = (
                    f"has epoch {host_status.epoch}"
                )
        pending_members = [
            member
            for member in pending_members
            if member.host_id in report.missing_by_host
        ]
        if not pending_members or time.monotonic() >= deadline:
            report.in_force.sort()
            return
        time.sleep(POLL_INTERVAL_S)


def _remove_departed_hosts(
    target: options.Target, report: SwitchReport
) -> None:
    """Removes hosts that left the fleet during the wait from the report."""
    if not report.missing_by_host:
        return
    answer = fleet.fetch_status(target)
    if isinstance(answer, result.Err):
        return
    remaining = {
        member.host_id
        for member in answer.ok_value.members
        if member.state != "dead"
    }
    report.missing_by_host = {
        host_id: reason
        for host_id, reason in report.missing_by_host.items()
        if host_id in remaining
    }


def _get_result_name(outcome: switch.Outcome) -> str:
    return type(outcome).__name__.lower()


def _describe_outcome(outcome: switch.Outcome) -> str:
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
            advice = "look at the preset history before a retry"
            if operation_id:
                advice = f"run again with --operation-id {operation_id}"
            return f"unknown whether accepted: {reason}; {advice}"
        case switch.Failed(kind=kind, reason=reason):
            return f"not accepted: {kind.value}: {reason}"
