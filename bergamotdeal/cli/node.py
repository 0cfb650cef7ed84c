"""The command that runs a node."""

import click

from bergamotdeal.cli import files


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    metavar="FILE",
    help="INI file with the node's settings.",
)
def node(path: str) -> None:
    """Run the node beside a backend server."""
    settings = files.read_settings(path)
    # The reactor and the protocols load here alone, not with --help.
    from bergamotdeal.node import app

    app.run(settings)
