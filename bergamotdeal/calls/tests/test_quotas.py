"""Tokens of caps in the call engine: who pays, waits and gets one back."""

import random

import pytest

from bergamotdeal.calls import engine
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.organisations import keys
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc

_KINDS = errors.ErrorKind
KEY = keys.digest_key("key")


def _make_engine(*, target_latency_ms=0):
    preset = model.Preset(
        name="capped",
        host_routes=(
            model.HostRoute(
                name="r",
                host="a.example",
                prefix="/",
                destinations=(model.Destination(service="web"),),
                target_latency_ms=target_latency_ms,
            ),
        ),
        organisations=(
            model.Organisation(name="acme", key_digests=(KEY,), rate_per_s=1.0),
        ),
    )
    member = membership.Member(
        host_id="far",
        incarnation="i",
        data_centre="d",
        region="r",
        address="127.0.0.1",
        peer_port=1,
        server=membership.Server(service="web", slots=4, connections=4),
    )
    identity = membership.Member(
        host_id="own",
        incarnation="j",
        data_centre="d",
        region="r",
        address="127.0.0.1",
        peer_port=2,
    )
    built = engine.Engine(
        identity=identity, preset=preset, epoch=1, rng=random.Random(1)
    )
    built.handle(
        messages.MembersChanged(members_by_id={"far": member, "own": identity}),
        0.0,
    )
    return built


def _arrive(built, now=0.0):
    return built.handle(
        messages.CallArrived(
            origin_id=7,
            face=messages.Face.ENTRY,
            request=rpc.Request(
                service="",
                method="GET",
                path="/x",
                headers=[],
                body=b"",
                authority="a.example",
            ),
            user_request_id="u",
            key_digest=KEY,
        ),
        now,
    )


def _of(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def test_request_is_sent_only_after_its_token():
    built = _make_engine()
    effects = _arrive(built)
    assert _of(effects, messages.RequestQuota)
    assert not _of(effects, messages.SendCall)
    granted = messages.QuotaGranted(origin_id=7, expires_at=9.0)
    effects = built.handle(granted, 0.01)
    assert _of(effects, messages.SendCall)
    # A second token for the same request must not send it twice.
    assert not _of(built.handle(granted, 0.02), messages.SendCall)


@pytest.mark.parametrize(("is_exceeded", "status"), [(True, 429), (False, 503)])
def test_refusal_keeps_its_own_retry_time(is_exceeded, status):
    # A route's target latency replaces the time of other refusals.
    built = _make_engine(target_latency_ms=400)
    _arrive(built)
    effects = built.handle(
        messages.QuotaRefused(
            origin_id=7,
            is_exceeded=is_exceeded,
            retry_after_s=2.25,
            reason="far empty",
        ),
        0.01,
    )
    (reply,) = _of(effects, messages.ReplyToCaller)
    assert reply.answer.status == status
    assert reply.answer.outcome is errors.Outcome.NOT_RUN
    assert reply.answer.retry_after_s == 2.25


@pytest.mark.parametrize(
    ("error", "is_returned"),
    [
        (_KINDS.SHED, True),
        (_KINDS.SERVER_SHED, False),
        (_KINDS.SERVER_LOST, False),
        (None, False),
    ],
)
def test_token_returns_only_if_no_server_had_the_request(
    monkeypatch, error, is_returned
):
    built = _make_engine()
    _arrive(built)
    granted = messages.QuotaGranted(origin_id=7, expires_at=9.0)
    (sent,) = _of(built.handle(granted, 0.01), messages.SendCall)
    answer = (
        rpc.build_error_answer(error)
        if error
        else rpc.Answer(
            outcome=errors.Outcome.COMPLETED, status=200, headers=[], body=b""
        )
    )
    effects = built.handle(
        messages.PeerAnswered(
            host_id="far",
            number=sent.call.number,
            user_request_id="u",
            answer=answer,
        ),
        0.02,
    )
    assert bool(_of(effects, messages.ReturnQuota)) is is_returned


def test_disconnect_and_deadline_end_the_wait():
    for event, now in (
        (messages.CallerDisconnected(origin_id=7), 0.01),
        (messages.TimePassed(), 100.0),
    ):
        built = _make_engine()
        _arrive(built)
        effects = built.handle(event, now)
        assert _of(effects, messages.CancelQuota)
        assert len(_of(effects, messages.ReplyToCaller)) == 1
        assert built.is_idle()
