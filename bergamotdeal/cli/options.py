"""Options that several commands share."""

from collections.abc import Callable
import dataclasses
import functools
import os

import click
import result

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import files
from bergamotdeal.cli import node_client
from bergamotdeal.settings import model
from bergamotdeal.settings import parser

NODE_VARIABLE = "BERGAMOTDEAL_NODE"
TOKEN_VARIABLE = "BERGAMOTDEAL_TOKEN"
SETTINGS_VARIABLE = "BERGAMOTDEAL_SETTINGS"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """The nodes that a command asks first.

    Attributes:
      endpoints: Admin faces, tried in turn; at least one.
      token: Bearer token, or empty.
      timeout_s: Time to wait for one node in seconds.
    """

    endpoints: tuple[model.Endpoint, ...]
    token: str
    timeout_s: float


def with_target(command: Callable) -> Callable:
    """Adds the options that name nodes; the command takes a ``Target``.

    Args:
      command: A command function whose first argument is the target.
    """

    @click.option(
        "--node",
        "nodes",
        multiple=True,
        envvar=NODE_VARIABLE,
        metavar="ADDRESS:PORT",
        help=f"Admin face of any node; may be repeated. [{NODE_VARIABLE}]",
    )
    @click.option(
        "--settings",
        "settings_path",
        envvar=SETTINGS_VARIABLE,
        metavar="FILE",
        help=(
            "Settings of the node on this host, in place of --node. "
            f"[{SETTINGS_VARIABLE}]"
        ),
    )
    @click.option(
        "--token-file",
        metavar="FILE",
        help=f"File with the admin token. [{TOKEN_VARIABLE}: the token itself]",
    )
    @click.option(
        "--timeout",
        "timeout_s",
        type=click.FloatRange(min=0.1, max=600),
        default=node_client.DEFAULT_TIMEOUT_S,
        show_default=True,
        metavar="SECONDS",
        help="Time to wait for one node.",
    )
    @functools.wraps(command)
    def wrapped(
        *arguments,
        nodes: tuple[str, ...],
        settings_path: str | None,
        token_file: str | None,
        timeout_s: float,
        **values,
    ):
        target = _read_target(nodes, settings_path, token_file, timeout_s)
        return command(target, *arguments, **values)

    return wrapped


json_option = click.option(
    "--json", "as_json", is_flag=True, help="Write JSON for scripts."
)


def _read_target(
    nodes: tuple[str, ...],
    settings_path: str | None,
    token_file: str | None,
    timeout_s: float,
) -> Target:
    token = os.environ.get(TOKEN_VARIABLE, "")
    if token_file:
        token = files.read_text(token_file).strip()
    endpoints = [_read_endpoint(node) for node in nodes]
    if not endpoints and settings_path:
        settings = files.read_settings(settings_path)
        if not settings.admin.port:
            raise files.failure(
                exit_codes.ExitCode.USAGE,
                f"{settings_path}: [admin] port is chosen at the node's "
                "start; name it by --node",
            )
        endpoints = [
            model.Endpoint(
                address=settings.admin.address, port=settings.admin.port
            )
        ]
        token = token or settings.admin.token
    if not endpoints:
        raise click.UsageError(
            f"name a node by --node, --settings or {NODE_VARIABLE}"
        )
    return Target(endpoints=tuple(endpoints), token=token, timeout_s=timeout_s)


def _read_endpoint(text: str) -> model.Endpoint:
    match parser.parse_endpoint(text):
        case result.Ok(endpoint):
            return endpoint
        case result.Err(message):
            raise click.BadParameter(message, param_hint="--node")
