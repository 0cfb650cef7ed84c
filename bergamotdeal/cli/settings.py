"""The commands for settings files."""

import click

from bergamotdeal.cli import files


@click.group()
def settings() -> None:
    """Work with settings files."""


@settings.command()
@click.argument("path", metavar="FILE")
def check(path: str) -> None:
    """Check a settings file without starting a node."""
    read = files.read_settings(path)
    if read.preset.file:
        files.read_preset(read.preset.file)
    click.echo(f"{path}: valid settings of host {read.node.host_id}")
