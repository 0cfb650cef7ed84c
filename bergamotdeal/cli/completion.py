"""The command that writes shell completion."""

import click
from click import shell_completion

from bergamotdeal.cli import main

PROGRAM = "bergamotdeal"
VARIABLE = "_BERGAMOTDEAL_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Write the completion script of SHELL, to be sourced there."""
    complete = shell_completion.get_completion_class(shell)(
        main.main, {}, PROGRAM, VARIABLE
    )
    # The subclass for bash would start a shell to learn its version.
    click.echo(shell_completion.ShellComplete.source(complete))
