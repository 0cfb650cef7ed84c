"""What calls and answers say besides their bodies, as MessagePack arrays.

A new field goes to the end of its array and has a default that means what
older nodes did; nodes pass over the fields that they don't know.
"""

from typing import Annotated

import msgspec

from bergamotdeal.calls import core as calls
from bergamotdeal.errors import core as errors
from bergamotdeal.wire import messages

_UInt16 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 16) - 1)]
_UInt32 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 32) - 1)]
_UInt64 = Annotated[int, msgspec.Meta(ge=0)]  # MessagePack has no longer ones.
_Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
_Duration = Annotated[float, msgspec.Meta(ge=0.0)]


class _CallHead(msgspec.Struct, array_like=True, gc=False):
    """A call without its number and body; see ``calls.Call``."""

    user_request_id: str
    call_id: str
    service: str
    method: str
    path: str
    headers: calls.Headers
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


class _LoadHead(msgspec.Struct, array_like=True, gc=False):
    """A load report; see ``calls.Load``."""

    running: _UInt32
    queued: _UInt32
    limit: _UInt32
    run_ms: _Duration


class _AnswerHead(msgspec.Struct, array_like=True, gc=False):
    """An answer without its number and body; see ``calls.Answer``."""

    user_request_id: str
    outcome: errors.Outcome
    error: errors.ErrorKind | None
    status: _UInt16
    headers: calls.Headers
    ticket: bytes
    retry_after_s: _Duration | None
    tokens_left: _UInt16
    repeatable: bool
    threshold: _Share
    load: _LoadHead | None
    epoch: _UInt64
    stamp: _UInt64
    report: bytes


_encode = msgspec.msgpack.Encoder().encode
_decode_call = msgspec.msgpack.Decoder(_CallHead).decode
_decode_answer = msgspec.msgpack.Decoder(_AnswerHead).decode

# A node that knows no preset yet counts its epoch below zero, which is zero
# on the wire. Arrays are encoded from tuples, in the order of the structs.


def encode_call(call: calls.Call) -> bytes:
    """Encodes the head of a call.

    Args:
      call: The call.
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
        )
    )


def decode_call(data: bytes, *, number: int, body: bytes) -> messages.CallFrame:
    """Decodes a call.

    Args:
      data: Its head.
      number: Its number.
      body: The request's body.

    Raises:
      msgspec.DecodeError: The head is malformed.
    """
    head = _decode_call(data)
    return messages.CallFrame(
        call=calls.Call(
            number=number,
            user_request_id=head.user_request_id,
            call_id=head.call_id,
            request=calls.Request(
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
        )
    )


def encode_answer(frame: messages.AnswerFrame) -> bytes:
    """Encodes the head of an answer.

    Args:
      frame: The answer with the id of its user request.
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
            load and (load.running, load.queued, load.limit, load.run_ms),
            max(0, answer.epoch),
            answer.stamp,
            answer.report,
        )
    )


def decode_answer(
    data: bytes, *, number: int, body: bytes
) -> messages.AnswerFrame:
    """Decodes an answer.

    Args:
      data: Its head.
      number: Number of its call.
      body: The answer's body.

    Raises:
      msgspec.DecodeError: The head is malformed.
    """
    head = _decode_answer(data)
    told = head.load
    load = told and calls.Load(
        running=told.running,
        queued=told.queued,
        limit=told.limit,
        run_ms=told.run_ms,
    )
    return messages.AnswerFrame(
        number=number,
        user_request_id=head.user_request_id,
        answer=calls.Answer(
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
        ),
    )
