"""Encoding and decoding of peer link frames with Cap'n Proto."""

import pathlib

import capnp
import msgspec
import result

from bergamotdeal.wire import heads
from bergamotdeal.wire import messages

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Maximum size of a frame: a body with its headers, or a preset, and the
encoding overhead."""

_WORD_BYTES = 8

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("frame.capnp")))

_FIELDS_BY_TYPE = {
    messages.CancelFrame: "cancel",
    messages.WithdrawFrame: "withdraw",
    messages.Ping: "ping",
    messages.Pong: "pong",
}
"""Fields of the frames that have only a number."""


def encode(frame: messages.Frame) -> bytes:
    """Encodes a frame.

    Args:
      frame: The frame to encode.

    Returns:
      The encoded message without its length prefix.
    """
    builder = _SCHEMA.Frame.new_message()
    match frame:
        case messages.CallFrame():
            call = builder.init("call")
            call.number = frame.call.number
            call.head = heads.encode_call(frame.call)
            if frame.call.request.body:
                call.body = frame.call.request.body
        case messages.AnswerFrame():
            answer = builder.init("answer")
            answer.number = frame.number
            answer.head = heads.encode_answer(frame)
            if frame.answer.body:
                answer.body = frame.answer.body
        case (
            messages.CancelFrame()
            | messages.WithdrawFrame()
            | messages.Ping()
            | messages.Pong()
        ):
            setattr(builder, _FIELDS_BY_TYPE[type(frame)], frame.number)
        case messages.Hello():
            hello = builder.init("hello")
            hello.hostId = frame.host_id
            hello.incarnation = frame.incarnation
            hello.nonce = frame.nonce
            hello.dataCentre = frame.data_centre
            hello.canInflate = frame.can_inflate
            hello.canWithdraw = frame.can_withdraw
        case messages.Proof():
            builder.proof = frame.digest
        case messages.BulkRequest():
            builder.bulkRequest = frame.payload
        case messages.BulkResponse():
            builder.bulkResponse = frame.payload
    return builder.to_bytes()


def decode(data: bytes) -> result.Result[messages.Frame, str]:
    """Decodes a frame.

    Args:
      data: One encoded message without its length prefix.

    Returns:
      The frame, or the reason why the message is malformed.
    """
    if len(data) % _WORD_BYTES:
        return result.Err("number of bytes is not a multiple of 8")
    try:
        with _SCHEMA.Frame.from_bytes(data) as reader:
            return result.Ok(_read_frame(reader))
    except (
        capnp.KjException,
        msgspec.DecodeError,
        RuntimeError,
        ValueError,
    ) as error:
        return result.Err(str(error).partition("\n")[0])


def _read_frame(reader) -> messages.Frame:
    match str(reader.which()):
        case "call":
            call = reader.call
            return heads.decode_call(
                call.head, number=call.number, body=bytes(call.body)
            )
        case "answer":
            answer = reader.answer
            return heads.decode_answer(
                answer.head, number=answer.number, body=bytes(answer.body)
            )
        case "cancel":
            return messages.CancelFrame(number=reader.cancel)
        case "withdraw":
            return messages.WithdrawFrame(number=reader.withdraw)
        case "ping":
            return messages.Ping(number=reader.ping)
        case "pong":
            return messages.Pong(number=reader.pong)
        case "hello":
            return messages.Hello(
                host_id=reader.hello.hostId,
                incarnation=reader.hello.incarnation,
                nonce=bytes(reader.hello.nonce),
                data_centre=reader.hello.dataCentre,
                can_inflate=reader.hello.canInflate,
                can_withdraw=reader.hello.canWithdraw,
            )
        case "proof":
            return messages.Proof(digest=bytes(reader.proof))
        case "bulkRequest":
            return messages.BulkRequest(payload=bytes(reader.bulkRequest))
        case "bulkResponse":
            return messages.BulkResponse(payload=bytes(reader.bulkResponse))
        case other:
            raise ValueError(f"unknown frame kind {other}")
