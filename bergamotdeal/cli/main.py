"""Entry point of the command line.

Subcommands are imported when they run, so that a node process doesn't load the
operators' commands.
"""

import importlib

import click

import bergamotdeal


class LazyGroup(click.Group):
    """Command group that imports its commands on use.

    Args:
      import_paths_by_command: Module and attribute of each command.
      **attributes: Arguments of ``click.Group``.
    """

    def __init__(
        self,
        *,
        import_paths_by_command: dict[str, tuple[str, str]],
        **attributes,
    ):
        super().__init__(**attributes)
        self._import_paths_by_command = import_paths_by_command

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002
        """Returns the names of all commands."""
        return sorted(self._import_paths_by_command)

    def get_command(
        self,
        ctx: click.Context,  # noqa: ARG002
        cmd_name: str,
    ) -> click.Command | None:
        """Imports a command.

        Args:
          ctx: Context of the group.
          cmd_name: Name of the command.

        Returns:
          The command, or None if there is no command of this name.
        """
        import_path = self._import_paths_by_command.get(cmd_name)
        if import_path is None:
            return None
        module = importlib.import_module(import_path[0])
        return getattr(module, import_path[1])

    def format_commands(
        self, ctx: click.Context, formatter: click.HelpFormatter
    ) -> None:
        """Writes the names and short help texts of all commands."""
        rows = []
        for name in self.list_commands(ctx):
            command = self.get_command(ctx, name)
            rows.append((name, command.get_short_help_str()))
        with formatter.section("Commands"):
            formatter.write_dl(rows)


main = LazyGroup(
    name="bergamotdeal",
    help="Overload control layer for service call graphs.",
    params=[],
    import_paths_by_command={
        "completion": ("bergamotdeal.cli.completion", "completion"),
        "drain": ("bergamotdeal.cli.drain", "drain"),
        "keys": ("bergamotdeal.cli.keys", "keys"),
        "node": ("bergamotdeal.cli.node", "node"),
        "preset": ("bergamotdeal.cli.preset", "preset"),
        "settings": ("bergamotdeal.cli.settings", "settings"),
        "status": ("bergamotdeal.cli.status", "status"),
        "timeline": ("bergamotdeal.cli.timeline", "timeline"),
    },
)
main = click.version_option(bergamotdeal.__version__)(main)
