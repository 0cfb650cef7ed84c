"""Frame codec: round trips, schema evolution and malformed input."""

import random

import msgspec
import pytest

from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core as rpc
from bergamotdeal.wire import codec
from bergamotdeal.wire import heads
from bergamotdeal.wire import messages

CALL = messages.CallFrame(
    call=rpc.Call(
        number=7,
        user_request_id="r-1",
        call_id="r-1.2",
        request=rpc.Request(
            service="kitview",
            method="POST",
            path="/kits?line=3",
            headers=[("accept", "*/*"), ("x-ü", "ä")],
            body=b"\x00\xff",
        ),
        deadline_ms=120,
        attempt=1,
        may_have_run=True,
        tokens=2,
        ticket=b"t",
        class_name="browse",
        depth=3,
        epoch=9,
        stamp=1 << 58,
        target_ms=-30,
        is_internal=True,
    )
)
ANSWER = messages.AnswerFrame(
    number=7,
    user_request_id="r-1",
    answer=rpc.Answer(
        outcome=errors.Outcome.NOT_RUN,
        error=errors.ErrorKind.SHED,
        status=503,
        headers=[("a", "b")],
        body=b"x",
        retry_after_s=0,
        tokens_left=2,
        repeatable=False,
        threshold=0.5,
        load=rpc.Load(running=1, queued=2, limit=3),
        epoch=4,
        stamp=7,
    ),
)
FRAMES = [
    CALL,
    ANSWER,
    messages.Hello(host_id="h", incarnation="i", nonce=b"n"),
    messages.Hello(
        host_id="h",
        incarnation="i",
        nonce=b"n",
        data_centre="prai",
        can_inflate=True,
        can_withdraw=True,
    ),
    messages.Proof(digest=b"d"),
    messages.CancelFrame(number=3),
    messages.WithdrawFrame(number=4),
    messages.Ping(number=1),
    messages.Pong(number=1),
    messages.BulkRequest(payload=b"p"),
    messages.BulkResponse(payload=b"q"),
]


@pytest.mark.parametrize("frame", FRAMES, ids=lambda f: type(f).__name__)
def test_decode_of_an_encoded_frame_returns_the_frame(frame):
    assert codec.decode(codec.encode(frame)).unwrap() == frame


def test_negative_epoch_is_encoded_as_zero():
    frame = messages.AnswerFrame(
        number=1,
        user_request_id="r-1",
        answer=rpc.Answer(
            outcome=errors.Outcome.NOT_RUN,
            error=errors.ErrorKind.NOT_READY,
            epoch=-1,
        ),
    )
    assert codec.decode(codec.encode(frame)).unwrap().answer.epoch == 0


@pytest.mark.parametrize("frame", FRAMES, ids=lambda f: type(f).__name__)
def test_truncated_frame_is_rejected(frame):
    data = codec.encode(frame)
    for length in range(len(data)):
        assert codec.decode(data[:length]).is_err()


def test_decode_of_random_bytes_does_not_raise():
    rng = random.Random(11)
    for _ in range(2000):
        codec.decode(rng.randbytes(8 * rng.randrange(12)))


def test_decode_of_frame_with_a_flipped_bit_does_not_raise():
    rng = random.Random(12)
    for frame in (CALL, ANSWER):
        for _ in range(2000):
            data = bytearray(codec.encode(frame))
            data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
            codec.decode(bytes(data))


def _call_frame_with_head(values):
    builder = codec._SCHEMA.Frame.new_message()
    call = builder.init("call")
    call.number = 7
    call.head = msgspec.msgpack.encode(values)
    return builder.to_bytes()


def _call_head_values():
    return msgspec.msgpack.decode(heads.encode_call(CALL.call))


def test_unknown_trailing_field_is_ignored():
    decoded = codec.decode(_call_frame_with_head([*_call_head_values(), "new"]))
    assert decoded.unwrap().call.call_id == "r-1.2"


def test_call_of_an_older_node_has_no_target():
    decoded = codec.decode(_call_frame_with_head(_call_head_values()[:-2]))
    assert decoded.unwrap().call.target_ms is None
    assert not decoded.unwrap().call.is_internal


@pytest.mark.parametrize(
    ("field", "value"),
    [(4, 17), (7, -1), (7, 1 << 32), (9, "yes"), (11, "text"), (14, -1)],
)
def test_head_field_of_wrong_type_or_range_is_rejected(field, value):
    values = _call_head_values()
    values[field] = value
    assert codec.decode(_call_frame_with_head(values)).is_err()


def test_largest_epoch_is_encoded_without_loss():
    call = msgspec.structs.replace(CALL.call, epoch=(1 << 64) - 1)
    frame = messages.CallFrame(call=call)
    assert codec.decode(codec.encode(frame)).unwrap() == frame
