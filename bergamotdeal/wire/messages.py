"""Frames of the TCP link between two nodes."""

import msgspec

from bergamotdeal.rpc import core as rpc


class Hello(msgspec.Struct, kw_only=True):
    """The greeting, the first frame that each side of a link sends.

    Attributes:
      host_id: Name of the sender's host.
      incarnation: Random id of the sender's process start.
      nonce: Random bytes that the proofs of both sides cover.
      data_centre: Data centre of the sender's host; empty on older nodes.
      can_inflate: Whether the sender reads compressed frames.
      can_withdraw: Whether the sender reads withdrawals.
    """

    host_id: str
    incarnation: str
    nonce: bytes
    data_centre: str = ""
    can_inflate: bool = False
    can_withdraw: bool = False


class Proof(msgspec.Struct, kw_only=True):
    """The proof of the shared key, the second frame that each side sends.

    Attributes:
      digest: Keyed digest of the sender's role and both greetings; see the
        handshake module.
    """

    digest: bytes


class CallFrame(msgspec.Struct, kw_only=True):
    """A call to the receiving node."""

    call: rpc.Call


class AnswerFrame(msgspec.Struct, kw_only=True):
    """The answer to a call.

    Attributes:
      number: Number of the call.
      user_request_id: Id of the user request at the root of the call tree.
      answer: The answer.
    """

    number: int
    user_request_id: str
    answer: rpc.Answer


class CancelFrame(msgspec.Struct, kw_only=True):
    """The cancellation of a call whose origin no longer waits for the answer.

    Attributes:
      number: Number of the call.
    """

    number: int


class WithdrawFrame(msgspec.Struct, kw_only=True):
    """The withdrawal of a call that waits for the backend server.

    A call that waits is refused; one that the server has received goes on.

    Attributes:
      number: Number of the call.
    """

    number: int


class Ping(msgspec.Struct, kw_only=True):
    """A heartbeat; the receiver echoes its number in a pong."""

    number: int


class Pong(msgspec.Struct, kw_only=True):
    """The reply to a heartbeat, with the number of the ping."""

    number: int


class BulkRequest(msgspec.Struct, kw_only=True):
    """A request in an exchange of membership or preset state.

    Attributes:
      payload: Encoded bulk message; see the gossip module.
    """

    payload: bytes


class BulkResponse(msgspec.Struct, kw_only=True):
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
    | WithdrawFrame
    | Ping
    | Pong
    | BulkRequest
    | BulkResponse
)
