"""Heads of calls and answers, encoded as MessagePack arrays.

A head holds every field but the number and the body. For compatibility between
versions, a new field is appended to its array with a default that stands for
the behaviour of older nodes; a node ignores trailing fields that it doesn't
know.
"""

from typing import Annotated

import msgspec

from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core as rpc
from bergamotdeal.wire import messages

_UInt16 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 16) - 1)]
_UInt32 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 32) - 1)]
# MessagePack has no wider integers, so no upper bound is needed.
_UInt64 = Annotated[int, msgspec.Meta(ge=0)]
_Int32 = Annotated[int, msgspec.Meta(ge=-(1 << 31), le=(1 << 31) - 1)]
_Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
_Duration = Annotated[float, msgspec.Meta(ge=0.0)]


class _CallHead(msgspec.Struct, array_like=True, gc=False):
    """The head of a call; see ``rpc.Call``."""

    user_request_id: str
    call_id: str
    service: str
    method: str
    path: str
    headers: rpc.Headers
    authority: str
    deadline_ms: _UInt32
    attempt: _UInt16
    may_have_run: bool
    tokens: _UInt16
    ticket: bytes
    class_name: str
    depth: _UInt16
    epoch: _UInt64
    stamp: _UInt64
    needs_ticket: bool
    only_repeatable: bool
    route_name: str
    repeatable: bool
    caller_service: str
    is_repeat: bool = False
    prior_calls: _UInt16 = 0
    organisation: str = ""
    key_digest: str = ""
    target_ms: _Int32 | None = None
    is_internal: bool = False


class _LoadHead(msgspec.Struct, array_like=True, gc=False):
    """The load report in the head of an answer; see ``rpc.Load``."""

    running: _UInt32
    queued: _UInt32
    limit: _UInt32
    run_ms: _Duration
    work_factor: _Duration = 1.0


class _AnswerHead(msgspec.Struct, array_like=True, gc=False):
    """The head of an answer; see ``rpc.Answer``."""

    user_request_id: str
    outcome: errors.Outcome
    error: errors.ErrorKind | None
    status: _UInt16
    headers: rpc.Headers
    ticket: bytes
    retry_after_s: _Duration | None
    tokens_left: _UInt16
    repeatable: bool
    threshold: _Fraction
    load: _LoadHead | None
    epoch: _UInt64
    stamp: _UInt64
    report: bytes
    may_retry: bool = True


_encode = msgspec.msgpack.Encoder().encode
_decode_call = msgspec.msgpack.Decoder(_CallHead).decode
_decode_answer = msgspec.msgpack.Decoder(_AnswerHead).decode

# The epoch is negative on a node that has no preset yet and is sent as zero.
# Arrays are encoded from tuples, in the field order of the structs.


def encode_call(call: rpc.Call) -> bytes:
    """Encodes the head of a call.

    Args:
      call: The call.

    Returns:
      The encoded head.
    """
    request = call.request
    return _encode(
        (
            call.user_request_id,
            call.call_id,
            request.service,
            request.method,
            request.path,
            request.headers,
            request.authority,
            call.deadline_ms,
            call.attempt,
            call.may_have_run,
            call.tokens,
            call.ticket,
            call.class_name,
            call.depth,
            max(0, call.epoch),
            call.stamp,
            call.needs_ticket,
            call.only_repeatable,
            call.route_name,
            call.repeatable,
            call.caller_service,
            call.is_repeat,
            call.prior_calls,
            call.organisation,
            call.key_digest,
            call.target_ms,
            call.is_internal,
        )
    )


def decode_call(data: bytes, *, number: int, body: bytes) -> messages.CallFrame:
    """Decodes a call.

    Args:
      data: The encoded head.
      number: Number of the call.
      body: Body of the request.

    Returns:
      The frame of the call.

    Raises:
      msgspec.DecodeError: The head is malformed.
    """
    head = _decode_call(data)
    return messages.CallFrame(
        call=rpc.Call(
            number=number,
            user_request_id=head.user_request_id,
            call_id=head.call_id,
            request=rpc.Request(
                service=head.service,
                method=head.method,
                path=head.path,
                headers=head.headers,
                body=body,
                authority=head.authority,
            ),
            deadline_ms=head.deadline_ms,
            attempt=head.attempt,
            may_have_run=head.may_have_run,
            tokens=head.tokens,
            ticket=head.ticket,
            class_name=head.class_name,
            depth=head.depth,
            epoch=head.epoch,
            stamp=head.stamp,
            needs_ticket=head.needs_ticket,
            only_repeatable=head.only_repeatable,
            route_name=head.route_name,
            repeatable=head.repeatable,
            caller_service=head.caller_service,
            is_repeat=head.is_repeat,
            prior_calls=head.prior_calls,
            organisation=head.organisation,
            key_digest=head.key_digest,
            target_ms=head.target_ms,
            is_internal=head.is_internal,
        )
    )


def encode_answer(frame: messages.AnswerFrame) -> bytes:
    """Encodes the head of an answer.

    Args:
      frame: The answer with the id of its user request.

    Returns:
      The encoded head.
    """
    answer = frame.answer
    load = answer.load
    return _encode(
        (
            frame.user_request_id,
            answer.outcome,
            answer.error,
            answer.status,
            answer.headers,
            answer.ticket,
            answer.retry_after_s,
            answer.tokens_left,
            answer.repeatable,
            answer.threshold,
            load
            and (
                load.running,
                load.queued,
                load.limit,
                load.run_ms,
                load.work_factor,
            ),
            max(0, answer.epoch),
            answer.stamp,
            answer.report,
            answer.may_retry,
        )
    )


def decode_answer(
    data: bytes, *, number: int, body: bytes
) -> messages.AnswerFrame:
    """Decodes an answer.

    Args:
      data: The encoded head.
      number: Number of the call that is answered.
      body: Body of the answer.

    Returns:
      The frame of the answer.

    Raises:
      msgspec.DecodeError: The head is malformed.
    """
    head = _decode_answer(data)
    load_head = head.load
    load = load_head and rpc.Load(
        running=load_head.running,
        queued=load_head.queued,
        limit=load_head.limit,
        run_ms=load_head.run_ms,
        work_factor=load_head.work_factor,
    )
    return messages.AnswerFrame(
        number=number,
        user_request_id=head.user_request_id,
        answer=rpc.Answer(
            outcome=head.outcome,
            error=head.error,
            status=head.status,
            headers=head.headers,
            body=body,
            ticket=head.ticket,
            retry_after_s=head.retry_after_s,
            tokens_left=head.tokens_left,
            repeatable=head.repeatable,
            threshold=head.threshold,
            load=load,
            epoch=head.epoch,
            stamp=head.stamp,
            report=head.report,
            may_retry=head.may_retry,
        ),
    )
