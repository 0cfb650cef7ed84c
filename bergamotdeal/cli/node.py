"""Command that runs a node."""

import signal

import click

from bergamotdeal.cli import exit_codes
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
    # The settings are read after this; the node's own handler comes later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings = files.read_settings(path)
    # Imported late, so that --help doesn't load the reactor and protocols.
    from twisted.internet import error

    from bergamotdeal.node import app
    from bergamotdeal.node import process

    try:
        process.run_node(settings)
    except (app.InvalidPresetError, OSError) as startup_error:
        raise files.report_failure(
            exit_codes.ExitCode.INVALID,
            f"{path}: [preset] file: {startup_error}",
        ) from None
    except error.CannotListenError as startup_error:
        raise files.report_failure(
            exit_codes.ExitCode.FAILED, f"{path}: {startup_error}"
        ) from None
