"""Commands for presets."""

import difflib
import functools
import os
import pathlib

import click
import msgspec
import result

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import files
from bergamotdeal.cli import options
from bergamotdeal.cli import store_session
from bergamotdeal.cli import switching
from bergamotdeal.presets import library
from bergamotdeal.presets import model
from bergamotdeal.presets import parser
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import core as store

IN_FORCE = "in-force"


@click.group()
def preset() -> None:
    """Write presets and switch between them."""


@preset.command()
@click.argument("path", metavar="FILE")
def check(path: str) -> None:
    """Check a preset file."""
    parsed = files.read_preset(path)
    services, routes = len(parsed.services_by_name), len(parsed.routes)
    click.echo(
        f"{path}: valid preset {parsed.name}, {services} services, "
        f"{routes} routes"
    )


@preset.command("list")
@options.json_option
@options.with_store_options
def list_presets(settings: settings_model.StoreSection, *, as_json: bool):
    """List the stored presets; a star marks the one in force."""
    names, current_name = store_session.run_or_exit(
        settings, _read_names_and_current
    )
    if as_json:
        document = {"presets": names, "in_force": current_name}
        click.echo(msgspec.json.encode(document))
        return
    for name in names:
        mark = "*" if name == current_name else " "
        click.echo(f"{mark} {name}")


@preset.command()
@click.argument("name")
@options.json_option
@options.with_store_options
def show(settings: settings_model.StoreSection, *, name: str, as_json: bool):
    """Show the stored preset NAME; in-force shows the one in force."""
    loaded = store_session.run_or_exit(settings, _build_loader([name]))[name]
    if as_json:
        click.echo(msgspec.json.encode(loaded))
    else:
        click.echo(parser.render(loaded), nl=False)


@preset.command()
@click.argument("path", metavar="FILE")
@options.with_store_options
def put(settings: settings_model.StoreSection, *, path: str) -> None:
    """Store the preset in FILE; the preset in force stays as it is."""
    parsed = files.read_preset(path)

    async def put_preset(object_store: store.Store, _) -> result.Result:
        return await library.put(object_store, parsed)

    version = store_session.run_or_exit(settings, put_preset)
    click.echo(f"preset {parsed.name} stored, version {version}")


@preset.command()
@click.argument("old")
@click.argument("new")
@options.with_store_options
def diff(settings: settings_model.StoreSection, *, old: str, new: str):
    """Compare two presets: a stored name, in-force, or a file's path."""
    rendered_presets = []
    presets_by_name = {
        path: files.read_preset(path) for path in (old, new) if _is_path(path)
    }
    stored_names = [name for name in (old, new) if not _is_path(name)]
    if stored_names:
        operation = _build_loader(stored_names)
        presets_by_name |= store_session.run_or_exit(settings, operation)
    for name in (old, new):
        loaded = presets_by_name[name]
        rendered_presets.append(_render_sorted_lines(loaded))
    for line in difflib.unified_diff(
        *rendered_presets, fromfile=old, tofile=new
    ):
        click.echo(line, nl=False)


@preset.command()
@options.json_option
@options.with_store_options
def history(settings: settings_model.StoreSection, *, as_json: bool) -> None:
    """Show the last switches, newest first."""

    async def read_in_force(object_store: store.Store, _) -> result.Result:
        return await library.read_in_force(object_store)

    in_force = store_session.run_or_exit(settings, read_in_force)
    switches = list(reversed(in_force.history))
    if as_json:
        click.echo(msgspec.json.encode(switches))
        return
    for switch in switches:
        click.echo(
            f"{switch.epoch:6}  {switch.preset_name:24}  "
            f"{switch.operator:16}  {switch.operation_id}"
        )


@preset.command("switch")
@click.argument("name")
@click.option(
    "--operation-id",
    metavar="ID",
    help="Id printed by an earlier run; running again with it is safe.",
)
@click.option(
    "--operator",
    default=lambda: os.environ.get("USER", "unknown"),
    metavar="NAME",
    help="Name of the operator who switches.  [default: the user's name]",
)
@click.option(
    "--wait",
    "wait_s",
    type=click.FloatRange(min=0, max=3600),
    metavar="SECONDS",
    help="Wait until every host has it in force, for this long at most.",
)
@options.json_option
@options.with_store_and_node_options
def switch_preset(
    settings: settings_model.StoreSection,
    target: options.Target | None,
    *,
    name: str,
    operation_id: str | None,
    operator: str,
    wait_s: float | None,
    as_json: bool,
) -> None:
    """Put the stored preset NAME in force everywhere."""
    if wait_s is not None and target is None:
        raise click.UsageError("--wait needs a node; name one by --node")
    report = switching.switch_preset(
        settings,
        target,
        load=functools.partial(switching.load_stored, name=name),
        operation_id=operation_id,
        operator=operator,
        wait_s=wait_s,
    )
    click.echo(report.as_json() if as_json else report.as_text())
    if report.exit_code is not exit_codes.ExitCode.OK:
        raise SystemExit(int(report.exit_code))


def _build_loader(names: list[str]) -> store_session.Operation:
    async def load(object_store: store.Store, _) -> result.Result:
        presets_by_name = {}
        for name in names:
            if name == IN_FORCE:
                found = await library.read_in_force(object_store)
                found = found.map(lambda current: current.preset)
            else:
                found = await library.get(object_store, name)
            if isinstance(found, result.Err):
                return found
            presets_by_name[name] = found.ok_value
        return result.Ok(presets_by_name)

    return load


async def _read_names_and_current(
    object_store: store.Store, _
) -> result.Result[tuple[list[str], str], store.Failure]:
    names = await library.list_names(object_store)
    if isinstance(names, result.Err):
        return names
    current = await library.read_in_force(object_store)
    match current:
        case result.Ok(in_force):
            return result.Ok((names.ok_value, in_force.preset.name))
        case result.Err(failure) if failure.kind is store.FailureKind.NOT_FOUND:
            return result.Ok((names.ok_value, ""))
    return current


def _render_sorted_lines(loaded: model.Preset) -> list[str]:
    # A stored preset has its services sorted by name, a file in any order.
    services = dict(sorted(loaded.services_by_name.items()))
    ordered = msgspec.structs.replace(loaded, services_by_name=services)
    return parser.render(ordered).splitlines(keepends=True)


def _is_path(name: str) -> bool:
    return name == "-" or "/" in name or pathlib.Path(name).suffix == ".ini"
