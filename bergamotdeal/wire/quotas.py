"""Encoding of the quota datagrams on the gossip socket.

A datagram is a marker, a message authentication code (HMAC-SHA256, truncated
to 16 bytes) and an array in MessagePack. The marker is part of what the code
authenticates, so a node of an older version drops the datagram as a gossip
datagram whose code does not match.
"""

import hashlib
import hmac
from typing import Annotated

import msgspec
import result

from bergamotdeal.quotas import messages

MARKER = b"\xb7Q1"
MAC_BYTES = 16
MAX_DATAGRAM_BYTES = 1200

_UInt8 = Annotated[int, msgspec.Meta(ge=0, le=255)]
_UInt32 = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
_UInt64 = Annotated[int, msgspec.Meta(ge=0)]
_Name = Annotated[str, msgspec.Meta(max_length=256)]
_Stage = Annotated[int, msgspec.Meta(ge=0, le=2)]


class _Request(msgspec.Struct, array_like=True, tag="r"):
    number: _UInt32
    wants: Annotated[
        list[tuple[_UInt64, _UInt8]],
        msgspec.Meta(max_length=messages.MAX_ITEMS),
    ]


class _Grants(msgspec.Struct, array_like=True, tag="g"):
    number: _UInt32
    grants: Annotated[
        list[tuple[_UInt64, bool, _UInt8, _UInt32, _UInt32, _UInt32]],
        msgspec.Meta(max_length=messages.MAX_ITEMS),
    ]


class _Introduction(msgspec.Struct, array_like=True, tag="i"):
    host_id: _Name
    nonce: _UInt32
    stage: _Stage


class _Reply(msgspec.Struct, array_like=True, tag="a"):
    host_id: _Name
    nonce: _UInt32
    stage: _Stage
    was_active: bool
    may_have_removed: bool
    is_counted: bool
    own_stage: _Stage
    active_count: _UInt32
    active: Annotated[
        list[_UInt64], msgspec.Meta(max_length=messages.MAX_ACTIVE)
    ]


_DECODER = msgspec.msgpack.Decoder(_Request | _Grants | _Introduction | _Reply)
_ENCODER = msgspec.msgpack.Encoder()


def is_quota_datagram(data: bytes) -> bool:
    """Returns whether a datagram has the marker of quota datagrams."""
    return data.startswith(MARKER)


def encode(message: messages.Message, key: bytes) -> bytes:
    """Encodes a message as a datagram.

    Args:
      message: The message.
      key: Secret key shared by all nodes.
    """
    match message:
        case messages.TokenRequest():
            wants = [(want.digest, want.tokens) for want in message.wants]
            body = _Request(message.number, wants)
        case messages.TokenGrant():
            body = _Grants(
                message.number,
                [
                    (
                        grant.digest,
                        grant.is_owner,
                        grant.tokens,
                        grant.level,
                        grant.wait_ms,
                        grant.lifetime_ms,
                    )
                    for grant in message.grants
                ],
            )
        case messages.Introduction():
            body = _Introduction(
                message.host_id, message.nonce, int(message.stage)
            )
        case messages.IntroductionReply():
            body = _Reply(
                message.host_id,
                message.nonce,
                int(message.stage),
                message.was_active,
                message.may_have_removed,
                message.is_counted,
                int(message.own_stage),
                message.active_count,
                list(message.active),
            )
    content = _ENCODER.encode(body)
    return MARKER + _compute_mac(content, key) + content


def decode(data: bytes, key: bytes) -> result.Result[messages.Message, str]:
    """Authenticates and decodes a datagram.

    Args:
      data: The received bytes.
      key: Secret key shared by all nodes.

    Returns:
      The message, or the reason why it is rejected.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        return result.Err("datagram is too long")
    start = len(MARKER)
    mac, content = data[start : start + MAC_BYTES], data[start + MAC_BYTES :]
    if not hmac.compare_digest(mac, _compute_mac(content, key)):
        return result.Err("authentication code does not match")
    try:
        body = _DECODER.decode(content)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Err(str(error))
    return result.Ok(_build_message(body))


def _compute_mac(content: bytes, key: bytes) -> bytes:
    return hmac.digest(key, MARKER + content, hashlib.sha256)[:MAC_BYTES]


def _build_message(body) -> messages.Message:
    match body:
        case _Request():
            return messages.TokenRequest(
                number=body.number,
                wants=tuple(
                    messages.Want(digest=digest, tokens=tokens)
                    for digest, tokens in body.wants
                ),
            )
        case _Grants():
            return messages.TokenGrant(
                number=body.number,
                grants=tuple(
                    messages.Grant(
                        digest=digest,
                        is_owner=is_owner,
                        tokens=tokens,
                        level=level,
                        wait_ms=wait_ms,
                        lifetime_ms=lifetime_ms,
                    )
                    for (
                        digest,
                        is_owner,
                        tokens,
                        level,
                        wait_ms,
                        lifetime_ms,
                    ) in body.grants
                ),
            )
        case _Introduction():
            return messages.Introduction(
                host_id=body.host_id,
                nonce=body.nonce,
                stage=messages.Stage(body.stage),
            )
        case _Reply():
            return messages.IntroductionReply(
                host_id=body.host_id,
                nonce=body.nonce,
                stage=messages.Stage(body.stage),
                was_active=body.was_active,
                may_have_removed=body.may_have_removed,
                is_counted=body.is_counted,
                own_stage=messages.Stage(body.own_stage),
                active_count=body.active_count,
                active=tuple(body.active),
            )
