"""Keys of organisations, handled by the engine of one node."""

import random

import msgspec
import pytest

from bergamotdeal.calls import engine
from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import test_host_routes as host_routes
from bergamotdeal.errors import core as errors
from bergamotdeal.organisations import keys
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records
from bergamotdeal.wire import heads

_KINDS = errors.ErrorKind
KEY = keys.digest_key("key-1")
OTHER = msgspec.structs.replace(host_routes.OWN, host_id="b")
(ROUTE,) = host_routes.PRESET.host_routes


def build_preset(*organisations):
    return msgspec.structs.replace(
        host_routes.PRESET,
        organisations=organisations,
        host_routes=(
            ROUTE,
            msgspec.structs.replace(
                ROUTE, name="open", prefix="/open/", public=True
            ),
        ),
    )


PRESET = build_preset(
    model.Organisation(name="kilo", key_digests=(KEY,), class_name="urgent")
)
REVOKED = build_preset(model.Organisation(name="kilo"))


class Node:
    """Engine of a node whose server has the given slots."""

    def __init__(self, *, preset=PRESET, slots=4, **options):
        self.now = 1.0
        self.engine = engine.Engine(
            identity=host_routes.OWN,
            preset=preset,
            epoch=5,
            rng=random.Random(1),
            caller_service="kitview",
            **options,
        )
        self.handle(
            messages.MembersChanged(
                members_by_id={"a": host_routes.OWN, "b": OTHER}
            )
        )
        self.handle(
            messages.ServerAnnounced(
                service="kitview", slots=slots, connections=9
            )
        )
        self._origin_id = 0

    def handle(self, event):
        return self.engine.handle(event, self.now)

    def request(self, digest, *, request_id="r1", path="/kits/7"):
        self._origin_id += 1
        return self.handle(
            messages.CallArrived(
                origin_id=self._origin_id,
                face=messages.Face.ENTRY,
                request=rpc.Request(
                    service="",
                    method="GET",
                    path=path,
                    headers=[],
                    body=b"",
                    authority="kits.example",
                ),
                user_request_id=request_id,
                key_digest=digest,
            )
        )

    def receive_call(self, number, **changes):
        call = rpc.Call(
            number=number,
            user_request_id=f"far{number}",
            call_id=f"far{number}",
            request=rpc.Request(
                service="kitview",
                method="GET",
                path="/kits/7",
                headers=[],
                body=b"",
                authority="kits.example",
            ),
            deadline_ms=800,
            class_name="urgent",
            epoch=5,
            route_name="kits",
            organisation="kilo",
            key_digest=KEY,
        )
        return self.handle(
            messages.PeerCalled(
                link_id=3, call=msgspec.structs.replace(call, **changes)
            )
        )

    def switch(self, preset, epoch=6):
        return self.handle(messages.PresetInForce(epoch=epoch, preset=preset))


def select(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def get_error(effects):
    (reply,) = select(effects, messages.ReplyToCaller | messages.SendAnswer)
    assert not select(effects, messages.SendCall | messages.StartRun)
    return reply.answer.error


def get_sent(effects):
    """Returns the organisation and class with which a request was sent on."""
    sent = select(effects, messages.SendCall | messages.StartRun)
    assert len(sent) == 1
    match sent[0]:
        case messages.SendCall(call=call):
            return call.organisation, call.class_name
        case messages.StartRun(organisation=organisation):
            return organisation, None


def test_key_selects_organisation_and_its_class():
    node = Node(slots=0)
    assert get_sent(node.request(KEY)) == ("kilo", "urgent")


@pytest.mark.parametrize(
    ("digest", "cause"),
    [
        (None, "missing"),
        ("", "malformed"),
        (keys.digest_key("key-2"), "unknown"),
    ],
)
def test_request_without_valid_key_is_refused_and_not_sent(digest, cause):
    effects = Node().request(digest)
    assert get_error(effects) is _KINDS.UNAUTHORIZED
    (reply,) = select(effects, messages.ReplyToCaller)
    assert reply.answer.outcome is errors.Outcome.NOT_RUN
    causes = [
        record.fields["cause"]
        for record in select(effects, records.EventRecord)
        if record.code is catalogue.EventCode.KEY_REFUSED
    ]
    assert causes == [cause]


def test_public_route_and_preset_without_organisations_need_no_key():
    assert get_sent(Node().request(None, path="/open/7"))[0] == ""
    assert get_sent(Node(preset=host_routes.PRESET).request(None))[0] == ""


def test_inner_call_inherits_organisation_until_its_parent_ends():
    # Guards against a 401 for the calls of a server whose caller has left.
    node = Node()
    (run,) = select(
        node.receive_call(1, user_request_id="r1"), messages.StartRun
    )
    assert get_sent(node.request(None, request_id="r1.1"))[0] == "kilo"
    node.handle(
        messages.RunAnswered(
            run_id=run.run_id, status=200, headers=[], body=b""
        )
    )
    effects = node.request(None, request_id="r1.2")
    assert get_error(effects) is _KINDS.CANCELLED


def test_memory_of_ended_parents_is_bounded():
    """Guards against a 401 for the calls of a run that was forgotten."""
    node = Node()
    for number in range(1, 4500):
        (run,) = select(node.receive_call(number), messages.StartRun)
        node.handle(
            messages.RunAnswered(
                run_id=run.run_id, status=200, headers=[], body=b""
            )
        )
    assert get_error(node.request(None, request_id="far4499.1")) is (
        _KINDS.CANCELLED
    )
    effects = node.request(None, request_id="far1.1")
    assert get_error(effects) is _KINDS.PARENT_UNKNOWN
    assert get_error(node.request(None, request_id="far1")) is (
        _KINDS.UNAUTHORIZED
    )
    assert len(node.engine._run_table._deadlines_by_ended_id) == 4096
    node.now += 0.8
    assert get_error(node.request(None, request_id="far1.1")) is (
        _KINDS.UNAUTHORIZED
    )


def test_call_of_a_run_from_before_the_start_is_refused_as_not_run():
    """Guards against a 401 for the calls of a server whose node restarted."""
    node = Node(started_at=0.5)
    effects = node.request(None, request_id="r1.1")
    assert get_error(effects) is _KINDS.PARENT_UNKNOWN
    (reply,) = select(effects, messages.ReplyToCaller)
    assert reply.answer.outcome is errors.Outcome.NOT_RUN
    assert errors.ANSWERS_BY_KIND[_KINDS.PARENT_UNKNOWN].status == 503
    (refusal,) = [
        record.fields
        for record in select(effects, records.EventRecord)
        if record.code is catalogue.EventCode.KEY_REFUSED
    ]
    assert refusal["cause"] == "parent unknown"
    assert get_error(node.request(None, request_id="r1")) is (
        _KINDS.UNAUTHORIZED
    )
    assert get_error(node.request(keys.digest_key("x"), request_id="r.1")) is (
        _KINDS.UNAUTHORIZED
    )
    assert get_sent(node.request(KEY, request_id="r1.2"))[0] == "kilo"


def test_no_call_of_an_earlier_process_is_expected_after_its_longest_run():
    (route,) = host_routes.PRESET.host_routes
    slow = msgspec.structs.replace(route, timeout_ms=90_000)
    preset = msgspec.structs.replace(PRESET, host_routes=(slow,))
    node = Node(preset=preset, started_at=1.0)
    node.now = 90.9
    effects = node.request(None, request_id="r1.1")
    assert get_error(effects) is _KINDS.PARENT_UNKNOWN
    node.now = 91.0
    assert get_error(node.request(None, request_id="r1.1")) is (
        _KINDS.UNAUTHORIZED
    )


def test_shorter_timeouts_of_a_new_preset_leave_time_for_earlier_runs():
    """Guards against a 401 if the configuration changes after the restart."""
    node = Node(preset=host_routes.PRESET, started_at=1.0)
    node.switch(PRESET)
    node.now = 10.9
    effects = node.request(None, request_id="r1.1")
    assert get_error(effects) is _KINDS.PARENT_UNKNOWN


def test_revoked_key_is_refused_at_arrival_and_in_the_queue():
    node = Node(slots=1)
    assert get_sent(node.receive_call(1))[0] == "kilo"
    assert not select(node.receive_call(2), messages.StartRun)
    effects = node.switch(REVOKED)
    (answer,) = select(effects, messages.SendAnswer)
    assert (answer.number, answer.answer.error) == (2, _KINDS.UNAUTHORIZED)
    assert answer.answer.outcome is errors.Outcome.NOT_RUN
    assert get_error(node.request(KEY)) is _KINDS.UNAUTHORIZED
    assert get_error(node.receive_call(3)) is _KINDS.UNAUTHORIZED


def test_call_checked_against_newer_preset_than_this_nodes_is_accepted():
    # The origin may know a key that this node's older preset lacks.
    node = Node(preset=REVOKED)
    assert get_sent(node.receive_call(1, epoch=6))[0] == "kilo"


def test_moved_key_belongs_to_organisation_of_newest_preset():
    node = Node()
    node.switch(
        build_preset(
            model.Organisation(name="kilo"),
            model.Organisation(name="lima", key_digests=(KEY,)),
        )
    )
    assert get_sent(node.request(KEY))[0] == "lima"
    assert get_sent(node.receive_call(1))[0] == "lima"


def test_key_revoked_while_request_is_out_is_not_used_for_retry():
    node = Node(slots=0)
    (sent,) = select(node.request(KEY), messages.SendCall)
    node.switch(REVOKED)
    answer = rpc.build_error_answer(_KINDS.NO_SERVER)
    effects = node.handle(
        messages.PeerAnswered(
            host_id=sent.host_id,
            number=sent.call.number,
            user_request_id="r1",
            answer=answer,
        )
    )
    assert get_error(effects) is _KINDS.NO_SERVER


def test_strict_revocation_refuses_keys_without_news_of_the_preset():
    node = Node(max_silence_s=2.0)
    node.handle(messages.PresetConfirmed())
    node.now += 1.9
    assert get_sent(node.request(KEY))[0] == "kilo"
    node.now += 0.2
    assert get_error(node.request(KEY)) is _KINDS.KEYS_OUTDATED
    assert get_error(node.request(None)) is _KINDS.UNAUTHORIZED
    assert get_sent(node.request(None, path="/open/7"))[0] == ""
    node.handle(messages.PresetConfirmed())
    assert get_sent(node.request(KEY))[0] == "kilo"


def test_frame_between_nodes_has_organisation_and_digest_but_no_key():
    (sent,) = select(Node(slots=0).request(KEY), messages.SendCall)
    head = heads.encode_call(sent.call)
    assert b"kilo" in head
    assert KEY.encode() in head
    assert b"key-1" not in head


def test_request_without_route_is_not_refused_for_its_key():
    # Guards against counts of refused keys for requests that get 404 anyway.
    effects = Node().request(None, path="/none/7")
    assert get_error(effects) is _KINDS.NO_ROUTE
    codes = [record.code for record in select(effects, records.EventRecord)]
    assert catalogue.EventCode.KEY_REFUSED not in codes
