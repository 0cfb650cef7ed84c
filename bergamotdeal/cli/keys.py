"""Commands for the keys of organisations."""

from collections.abc import Callable
import functools
import os
import sys

import click
import msgspec
import result

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import files
from bergamotdeal.cli import options
from bergamotdeal.cli import store_session
from bergamotdeal.cli import switching
from bergamotdeal.organisations import changes
from bergamotdeal.organisations import keys as organisation_keys
from bergamotdeal.presets import library
from bergamotdeal.presets import model
from bergamotdeal.presets import parser
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import core as store

Change = Callable[[model.Preset], model.Preset]

_operator_option = click.option(
    "--operator",
    default=lambda: os.environ.get("USER", "unknown"),
    metavar="NAME",
    help="Name of the operator who switches.  [default: the user's name]",
)


@click.group()
def keys() -> None:
    """Add, list and revoke the keys of organisations."""


@keys.command()
def digest() -> None:
    """Print the digest of the key on the standard input."""
    click.echo(_read_digest())


@keys.command("list")
@options.json_option
@options.with_store_options
def list_keys(settings: settings_model.StoreSection, *, as_json: bool) -> None:
    """List the digests of the keys in force with their organisations."""

    async def read_in_force(object_store: store.Store, _) -> result.Result:
        return await library.read_in_force(object_store)

    current = store_session.run_or_exit(settings, read_in_force)
    names_by_digest = {
        each: organisation.name
        for organisation in current.preset.organisations
        for each in organisation.key_digests
    }
    if as_json:
        click.echo(msgspec.json.encode(names_by_digest))
        return
    for each, name in names_by_digest.items():
        click.echo(f"{each}  {name}")


@keys.command()
@click.argument("organisation")
@_operator_option
@options.json_option
@options.with_store_and_node_options
def add(
    settings: settings_model.StoreSection,
    target: options.Target | None,
    *,
    organisation: str,
    operator: str,
    as_json: bool,
) -> None:
    """Add the key on the standard input to ORGANISATION.

    A key of another organisation moves to this one.
    """
    change = functools.partial(
        changes.add_key, name=organisation, digest=_read_digest()
    )
    _switch(settings, target, change, operator=operator, as_json=as_json)


@keys.command()
@click.argument("key_digest", metavar="DIGEST")
@_operator_option
@options.json_option
@options.with_store_and_node_options
def revoke(
    settings: settings_model.StoreSection,
    target: options.Target | None,
    *,
    key_digest: str,
    operator: str,
    as_json: bool,
) -> None:
    """Revoke the key with the digest DIGEST."""
    change = functools.partial(changes.revoke_key, digest=key_digest)
    _switch(settings, target, change, operator=operator, as_json=as_json)


def _read_digest() -> str:
    key = sys.stdin.readline().strip()
    if not organisation_keys.is_valid_key(key):
        raise files.report_failure(
            exit_codes.ExitCode.INVALID,
            "the standard input holds no key, which is one line of up to "
            f"{organisation_keys.MAX_KEY_CHARS} visible ASCII characters",
        )
    return organisation_keys.digest_key(key)


def _switch(
    settings: settings_model.StoreSection,
    target: options.Target | None,
    change: Change,
    *,
    operator: str,
    as_json: bool,
) -> None:
    """Changes the keys in force and in all stored presets."""
    report = switching.switch_preset(
        settings,
        target,
        load=functools.partial(_change_presets, change=change),
        operation_id=None,
        operator=operator,
        wait_s=None,
    )
    click.echo(report.as_json() if as_json else report.as_text())
    if report.exit_code is not exit_codes.ExitCode.OK:
        raise SystemExit(int(report.exit_code))


async def _change_presets(
    object_store: store.Store, *, change: Change
) -> result.Result[switching.LoadedPreset, store.Failure]:
    """Changes the stored presets and returns the changed one in force.

    The stored presets come first: a switch to one of them must not bring a
    revoked key back.
    """
    current = await library.read_in_force(object_store)
    if isinstance(current, result.Err):
        return current
    changed = change(current.ok_value.preset)
    if changed == current.ok_value.preset:
        return _build_failure(
            store.FailureKind.NOT_FOUND, "no organisation has this key"
        )
    problems = parser.validate(changed)
    if problems:
        return _build_failure(
            store.FailureKind.INVALID, "; ".join(map(str, problems))
        )
    names = await library.list_names(object_store)
    if isinstance(names, result.Err):
        return names
    for name in names.ok_value:
        written = await _change_stored(object_store, name, change)
        if isinstance(written, result.Err):
            return written
    return result.Ok(
        switching.LoadedPreset(
            preset=changed, base_epoch=current.ok_value.epoch
        )
    )


async def _change_stored(
    object_store: store.Store, name: str, change: Change
) -> result.Result[int, store.Failure]:
    loaded = await library.get(object_store, name)
    if isinstance(loaded, result.Err):
        return loaded
    changed = change(loaded.ok_value)
    if changed == loaded.ok_value:
        return result.Ok(store.NO_VERSION)
    return await library.put(object_store, changed)


def _build_failure(
    kind: store.FailureKind, detail: str
) -> result.Err[store.Failure]:
    return result.Err(store.Failure(kind=kind, detail=detail))
