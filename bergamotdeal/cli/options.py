"""Command line options that several commands share."""

from collections.abc import Callable
import dataclasses
import functools
import os
from typing import Any

import click
import result

from bergamotdeal.cli import files
from bergamotdeal.cli import node_client
from bergamotdeal.settings import model
from bergamotdeal.settings import parser

NODE_VARIABLE = "BERGAMOTDEAL_NODE"
TOKEN_VARIABLE = "BERGAMOTDEAL_TOKEN"
STORE_VARIABLE = "BERGAMOTDEAL_STORE"
STORE_TOKEN_VARIABLE = "BERGAMOTDEAL_STORE_TOKEN"
STORE_CALLS_PER_MINUTE = 600
SETTINGS_VARIABLE = "BERGAMOTDEAL_SETTINGS"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Nodes that a command connects to first.

    Attributes:
      endpoints: Admin listeners to try in turn, at least one.
      token: Bearer token, or empty.
      timeout_s: Timeout of a request to one node in seconds.
    """

    endpoints: tuple[model.Endpoint, ...]
    token: str
    timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _SharedValues:
    """Values of the shared options of one command."""

    nodes: tuple[str, ...]
    token_file: str | None
    timeout_s: float
    store: str | None
    store_token_file: str | None
    settings: model.Settings | None


def with_node_options(command: Callable) -> Callable:
    """Adds the options that name nodes to a command.

    Args:
      command: A command function whose first argument is the target.
    """

    @_add_node_options
    @_add_settings_option
    @functools.wraps(command)
    def wrapped(*arguments, **values):
        shared = _pop_shared_values(values)
        return command(_read_target(shared), *arguments, **values)

    return wrapped


def with_store_options(command: Callable) -> Callable:
    """Adds the options that name the store to a command.

    Args:
      command: A command function whose first argument is the store's settings.
    """

    @_add_store_options
    @_add_settings_option
    @functools.wraps(command)
    def wrapped(*arguments, **values):
        shared = _pop_shared_values(values)
        return command(_read_store(shared), *arguments, **values)

    return wrapped


def with_store_and_node_options(command: Callable) -> Callable:
    """Adds the options that name the store and optionally nodes.

    Args:
      command: A command function whose first two arguments are the store's
        settings and the target, which is None if no node is named.
    """

    @_add_store_options
    @_add_node_options
    @_add_settings_option
    @functools.wraps(command)
    def wrapped(*arguments, **values):
        shared = _pop_shared_values(values)
        has_node = shared.nodes or (
            shared.settings and shared.settings.admin.port
        )
        target = _read_target(shared) if has_node else None
        return command(_read_store(shared), target, *arguments, **values)

    return wrapped


def _add_settings_option(command: Callable) -> Callable:
    return click.option(
        "--settings",
        "settings_path",
        envvar=SETTINGS_VARIABLE,
        metavar="FILE",
        help=(
            "Settings of the node on this host; they name node and store. "
            f"[{SETTINGS_VARIABLE}]"
        ),
    )(command)


def _add_node_options(command: Callable) -> Callable:
    command = click.option(
        "--timeout",
        "timeout_s",
        type=click.FloatRange(min=0.1, max=600),
        default=node_client.DEFAULT_TIMEOUT_S,
        show_default=True,
        metavar="SECONDS",
        help="Time to wait for one node.",
    )(command)
    command = click.option(
        "--token-file",
        metavar="FILE",
        help=f"File with the admin token. [{TOKEN_VARIABLE}: the token itself]",
    )(command)
    return click.option(
        "--node",
        "nodes",
        multiple=True,
        envvar=NODE_VARIABLE,
        metavar="ADDRESS:PORT",
        help=(
            "Address of any node's admin face; may be repeated. "
            f"[{NODE_VARIABLE}]"
        ),
    )(command)


def _add_store_options(command: Callable) -> Callable:
    command = click.option(
        "--store-token-file",
        metavar="FILE",
        help=(
            "File with the store's token. "
            f"[{STORE_TOKEN_VARIABLE}: the token itself]"
        ),
    )(command)
    return click.option(
        "--store",
        envvar=STORE_VARIABLE,
        metavar="ADDRESS:PORT",
        help=f"The platform's object API. [{STORE_VARIABLE}]",
    )(command)


def _pop_shared_values(values: dict[str, Any]) -> _SharedValues:
    """Removes the shared options from the option values of a command."""
    path = values.pop("settings_path")
    return _SharedValues(
        nodes=values.pop("nodes", ()),
        token_file=values.pop("token_file", None),
        timeout_s=values.pop("timeout_s", node_client.DEFAULT_TIMEOUT_S),
        store=values.pop("store", None),
        store_token_file=values.pop("store_token_file", None),
        settings=files.read_settings(path) if path else None,
    )


json_option = click.option(
    "--json", "as_json", is_flag=True, help="Write JSON for scripts."
)


def _read_target(shared: _SharedValues) -> Target:
    token = _read_token(shared.token_file, TOKEN_VARIABLE)
    endpoints = [_read_endpoint(node, "--node") for node in shared.nodes]
    if not endpoints and shared.settings is not None:
        admin = shared.settings.admin
        if not admin.port:
            raise click.UsageError(
                "the settings let the kernel choose the admin port; name the "
                "node by --node"
            )
        endpoints = [model.Endpoint(address=admin.address, port=admin.port)]
        token = token or admin.token
    if not endpoints:
        raise click.UsageError(
            f"name a node by --node, --settings or {NODE_VARIABLE}"
        )
    return Target(
        endpoints=tuple(endpoints), token=token, timeout_s=shared.timeout_s
    )


def _read_store(shared: _SharedValues) -> model.StoreSection:
    token = _read_token(shared.store_token_file, STORE_TOKEN_VARIABLE)
    if shared.store:
        endpoint = _read_endpoint(shared.store, "--store")
        address, port = endpoint.address, endpoint.port
    elif shared.settings is not None and shared.settings.store.address:
        address, port = (
            shared.settings.store.address,
            shared.settings.store.port,
        )
        token = token or shared.settings.store.token
    else:
        raise click.UsageError(
            f"name the store by --store, --settings or {STORE_VARIABLE}"
        )
    return model.StoreSection(
        address=address,
        port=port,
        token=token,
        calls_per_minute=STORE_CALLS_PER_MINUTE,
    )


def _read_token(path: str | None, variable: str) -> str:
    if path:
        return files.read_text(path).strip()
    return os.environ.get(variable, "")


def _read_endpoint(text: str, option: str) -> model.Endpoint:
    match parser.parse_endpoint(text):
        case result.Ok(endpoint):
            return endpoint
        case result.Err(message):
            raise click.BadParameter(message, param_hint=option)
