"""Command that writes a shell completion script."""

import click
from click import shell_completion

from bergamotdeal.cli import main

PROGRAM_NAME = "bergamotdeal"
COMPLETE_VARIABLE = "_BERGAMOTDEAL_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Write the completion script of SHELL, to be sourced there."""
    shell_complete = shell_completion.get_completion_class(shell)(
        main.main, {}, PROGRAM_NAME, COMPLETE_VARIABLE
    )
    # The bash subclass's ``source`` would start a shell to get its version.
    click.echo(shell_completion.ShellComplete.source(shell_complete))
