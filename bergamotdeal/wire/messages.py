"""Typed frames of a peer link besides calls and answers."""

import dataclasses

from bergamotdeal.calls import core as calls


@dataclasses.dataclass(kw_only=True, slots=True)
class Hello:
    """First frame of each side of a link."""

    host_id: str
    incarnation: str
    nonce: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class Proof:
    """Second frame of each side: proof of the shared key."""

    digest: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class CallFrame:
    """A call to the node that receives it."""

    call: calls.Call


@dataclasses.dataclass(kw_only=True, slots=True)
class AnswerFrame:
    """The answer to a call by its number and user request id."""

    number: int
    user_request_id: str
    answer: calls.Answer


@dataclasses.dataclass(kw_only=True, slots=True)
class CancelFrame:
    """The origin no longer wants the answer to a call."""

    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Ping:
    """Heartbeat; the other side echoes its number in a pong."""

    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Pong:
    """Reply to a heartbeat."""

    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class BulkRequest:
    """A gossip message that asks for bulk state."""

    payload: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class BulkResponse:
    """A gossip message with bulk state."""

    payload: bytes


Frame = (
    Hello
    | Proof
    | CallFrame
    | AnswerFrame
    | CancelFrame
    | Ping
    | Pong
    | BulkRequest
    | BulkResponse
)
