"""Frames of the TCP link between two nodes."""

import dataclasses

from bergamotdeal.rpc import core as rpc


@dataclasses.dataclass(kw_only=True, slots=True)
class Hello:
    """The greeting, the first frame that each side of a link sends.

    Attributes:
      host_id: Name of the sender's host.
      incarnation: Random id of the sender's process start.
      nonce: Random bytes that the proofs of both sides cover.
      data_centre: Data centre of the sender's host; empty on older nodes.
      can_inflate: Whether the sender reads compressed frames.
    """

    host_id: str
    incarnation: str
    nonce: bytes
    data_centre: str = ""
    can_inflate: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Proof:
    """The proof of the shared key, the second frame that each side sends.

    Attributes:
      digest: Keyed digest of the sender's role and both greetings; see the
        handshake module.
    """

    digest: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class CallFrame:
    """A call to the receiving node."""

    call: rpc.Call


@dataclasses.dataclass(kw_only=True, slots=True)
class AnswerFrame:
    """The answer to a call.

    Attributes:
      number: Number of the call.
      user_request_id: Id of the user request at the root of the call tree.
      answer: The answer.
    """

    number: int
    user_request_id: str
    answer: rpc.Answer


@dataclasses.dataclass(kw_only=True, slots=True)
class CancelFrame:
    """The cancellation of a call whose origin no longer waits for the answer.

    Attributes:
      number: Number of the call.
    """

    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Ping:
    """A heartbeat; the receiver echoes its number in a pong."""

    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Pong:
    """The reply to a heartbeat, with the number of the ping."""

    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class BulkRequest:
    """A request in an exchange of membership or preset state.

    Attributes:
      payload: Encoded bulk message; see the gossip module.
    """

    payload: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class BulkResponse:
    """The response to a bulk request.

    Attributes:
      payload: Encoded bulk message; see the gossip module.
    """

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
