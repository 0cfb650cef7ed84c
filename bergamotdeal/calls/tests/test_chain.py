import random

from bergamotdeal.calls import engine
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc

PRESET = model.Preset(
    name="ordinary",
    routes=(
        model.Route(
            service="kitview",
            method="*",
            prefix="/",
            class_name=model.BROWSE,
            repeatable=True,
        ),
    ),
)
REQUEST = rpc.Request(
    service="kitview", method="GET", path="/kits", headers=[], body=b""
)


def make_member(host_id):
    return membership.Member(
        host_id=host_id,
        incarnation=host_id * 4,
        data_centre="prai",
        region="penang",
        address="127.0.0.1",
        peer_port=1,
        server=membership.Server(service="kitview", slots=2, connections=9),
    )


def make_engine(host_id, members):
    call_engine = engine.Engine(
        identity=make_member(host_id),
        preset=PRESET,
        epoch=1,
        rng=random.Random(1),
    )
    call_engine.handle(
        messages.MembersChanged(
            members_by_id={member.host_id: member for member in members}
        ),
        0.0,
    )
    return call_engine


def find_only(effects, kind):
    found = [effect for effect in effects if isinstance(effect, kind)]
    assert len(found) == 1
    return found[0]


def test_answer_of_target_reaches_caller():
    members = [make_member("b")]
    origin = make_engine("a", members)
    target = make_engine("b", members)
    target.handle(
        messages.ServerAnnounced(service="kitview", slots=2, connections=9), 0.0
    )
    effects = origin.handle(
        messages.CallArrived(
            origin_id=7,
            face=messages.Face.ENTRY,
            request=REQUEST,
            user_request_id="r1",
        ),
        1.0,
    )
    sent = find_only(effects, messages.SendCall)
    assert sent.host_id == "b"
    effects = target.handle(
        messages.PeerCalled(link_id=3, call=sent.call), 1.001
    )
    run = find_only(effects, messages.StartRun)
    effects = target.handle(
        messages.RunAnswered(
            run_id=run.run_id, status=200, headers=[], body=b"kits"
        ),
        1.01,
    )
    answer = find_only(effects, messages.SendAnswer)
    assert answer.link_id == 3
    effects = origin.handle(
        messages.PeerAnswered(
            host_id="b",
            number=answer.number,
            user_request_id=answer.user_request_id,
            answer=answer.answer,
        ),
        1.02,
    )
    reply = find_only(effects, messages.ReplyToCaller)
    assert reply.origin_id == 7
    assert reply.answer.body == b"kits"
    assert reply.answer.outcome is errors.Outcome.COMPLETED
    assert origin.is_idle()
    assert target.is_idle()
