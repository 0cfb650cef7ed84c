"""What an open request waits for, and its answer when the process ends.

A request that certainly was not handed over to a backend server is answered as
not run. The outcome of any other one is unknown.
"""

import typing

import msgspec

from bergamotdeal.errors import core as errors

_KINDS = errors.ErrorKind


class AwaitingCap(msgspec.Struct, frozen=True, kw_only=True):
    """The request waits for a token of its organisation's cap."""


class AwaitingLink(msgspec.Struct, frozen=True, kw_only=True):
    """The call waits for the link to its target's node to open."""


class AwaitingPeer(msgspec.Struct, frozen=True, kw_only=True):
    """The call was sent to another node, which has not answered."""


class AwaitingOwnTarget(msgspec.Struct, frozen=True, kw_only=True):
    """The call's target is this node; its state is that of the run."""


class AwaitingSlot(msgspec.Struct, frozen=True, kw_only=True):
    """The run waits for a slot of the backend server."""


class AwaitingTicketHolder(msgspec.Struct, frozen=True, kw_only=True):
    """The call waits for the run of another call with the same ticket."""


class AwaitingConnection(msgspec.Struct, frozen=True, kw_only=True):
    """The run waits for a connection to the backend server."""


class AwaitingServer(msgspec.Struct, frozen=True, kw_only=True):
    """The request was sent to the backend server, which has not answered."""


class Detached(msgspec.Struct, frozen=True, kw_only=True):
    """The call is answered; the backend server may still work on the run."""


ExchangeState: typing.TypeAlias = (
    AwaitingCap | AwaitingLink | AwaitingPeer | AwaitingOwnTarget
)
RunState: typing.TypeAlias = (
    AwaitingSlot
    | AwaitingTicketHolder
    | AwaitingConnection
    | AwaitingServer
    | Detached
)
OpenState: typing.TypeAlias = ExchangeState | RunState


def choose_final_error(state: OpenState) -> errors.ErrorKind | None:
    """Returns the error kind that ends a request as the process ends.

    Args:
      state: What the request waits for.

    Returns:
      The error kind, or None if the request is already answered.
    """
    match state:
        case (
            AwaitingCap()
            | AwaitingLink()
            | AwaitingSlot()
            | AwaitingConnection()
        ):
            return _KINDS.DRAINING
        case AwaitingPeer() | AwaitingOwnTarget():
            return _KINDS.PEER_LOST
        case AwaitingServer():
            return _KINDS.SERVER_LOST
        case AwaitingTicketHolder():
            return _KINDS.TICKET_LOST
        case Detached():
            return None
        case _:
            typing.assert_never(state)
