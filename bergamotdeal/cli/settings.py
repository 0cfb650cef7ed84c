"""Commands for settings files."""

import click

from bergamotdeal.cli import files


@click.group()
def settings() -> None:
    """Work with settings files."""


@settings.command()
@click.argument("path", metavar="FILE")
def check(path: str) -> None:
    """Check a settings file without starting a node."""
    parsed = files.read_settings(path)
    if parsed.preset.file:
        files.read_preset(parsed.preset.file)
    click.echo(f"{path}: valid settings of host {parsed.node.host_id}")
