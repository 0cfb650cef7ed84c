"""Requests addressed by host name, handled by the engine of one node."""

import random

import msgspec
import pytest

from bergamotdeal.calls import engine
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.pricing import core
from bergamotdeal.pricing import origins
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records

OWN = membership.Member(
    host_id="a",
    incarnation="00" * 16,
    data_centre="prai",
    region="penang",
    address="127.0.0.1",
    peer_port=1,
    server=membership.Server(service="kitview", slots=4, connections=9),
)
PRESET = model.Preset(
    name="p",
    classes=("internal", "urgent", "usual"),
    internal_class="internal",
    tickets=model.TicketPolicy(required=False),
    services_by_name={
        "kitview": model.ServicePolicy(
            accepts_cancellation=True, cold_start_ms=0
        )
    },
    host_routes=(
        model.HostRoute(
            name="kits",
            host="kits.example",
            prefix="/kits/",
            destinations=(model.Destination(service="kitview"),),
            class_name="usual",
            repeatable=True,
            timeout_ms=800,
            target_latency_ms=1000,
            max_sendings=2,
        ),
    ),
)


class Node:
    def __init__(self):
        self.now = 1.0
        self.engine = engine.Engine(
            identity=OWN,
            preset=PRESET,
            epoch=1,
            rng=random.Random(1),
            caller_service="kitview",
        )
        self.handle(messages.MembersChanged(members_by_id={"a": OWN}))
        self.handle(
            messages.ServerAnnounced(service="kitview", slots=4, connections=9)
        )

    def handle(self, event):
        return self.engine.handle(event, self.now)

    def send_request(
        self, *, path="/kits/7", request_id="r1", deadline_ms=5000
    ):
        return self.handle(
            messages.CallArrived(
                origin_id=1,
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
                deadline_ms=deadline_ms,
            )
        )


def select_effects(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def test_request_to_host_goes_to_route_service_with_its_path():
    (run,) = select_effects(Node().send_request(), messages.StartRun)
    assert run.request.service == "kitview"
    assert run.request.path == "/kits/7"
    assert run.caller_service == "kitview"


def test_route_timeout_bounds_caller_timeout():
    (run,) = select_effects(
        Node().send_request(deadline_ms=5000), messages.StartRun
    )
    assert 700 < run.deadline_ms <= 800
    (run,) = select_effects(
        Node().send_request(deadline_ms=300), messages.StartRun
    )
    assert run.deadline_ms <= 300


def test_request_without_route_is_refused_as_not_run():
    (reply,) = select_effects(
        Node().send_request(path="/other"), messages.ReplyToCaller
    )
    assert reply.answer.error is errors.ErrorKind.NO_ROUTE
    assert reply.answer.outcome is errors.Outcome.NOT_RUN


def test_timeout_answers_caller_and_cancels_run():
    node = Node()
    node.send_request()
    node.now += 0.9
    effects = node.handle(messages.TimePassed())
    (reply,) = select_effects(effects, messages.ReplyToCaller)
    assert reply.answer.error is errors.ErrorKind.DEADLINE_EXCEEDED
    assert select_effects(effects, messages.CancelRun)


def test_server_shed_gives_not_run_with_retry_after():
    node = Node()
    (run,) = select_effects(node.send_request(), messages.StartRun)
    effects = node.handle(
        messages.RunFailed(run_id=run.run_id, failure=messages.RunFailure.SHED)
    )
    (reply,) = select_effects(effects, messages.ReplyToCaller)
    assert reply.answer.outcome is errors.Outcome.NOT_RUN
    assert 0 < reply.answer.retry_after_s < 1


# Guards against a refusal that a server sends once more, for another request,
# and that is passed on though the request has begun to run.
@pytest.mark.parametrize(
    "refusal", [messages.RunFailure.SHED, messages.RunFailure.MISDIRECTED]
)
def test_refusal_of_a_request_that_has_made_calls_is_not_believed(refusal):
    node = Node()
    (run,) = select_effects(node.send_request(), messages.StartRun)
    node.handle(
        messages.CallArrived(
            origin_id=2,
            face=messages.Face.EGRESS,
            request=rpc.Request(
                service="kitview",
                method="GET",
                path="/inner",
                headers=[],
                body=b"",
            ),
            user_request_id="r1",
            context=run.context,
            deadline_ms=500,
        )
    )
    effects = node.handle(
        messages.RunFailed(run_id=run.run_id, failure=refusal)
    )
    replies = select_effects(effects, messages.ReplyToCaller)
    (answer,) = [each.answer for each in replies if each.origin_id == 1]
    assert answer.outcome is errors.Outcome.UNKNOWN


def test_leaving_server_gets_no_new_run():
    node = Node()
    node.handle(messages.ServerLeaving(instance="i"))
    effects = node.send_request()
    assert select_effects(effects, messages.StartRun) == []
    (reply,) = select_effects(effects, messages.ReplyToCaller)
    assert reply.answer.outcome is errors.Outcome.NOT_RUN


def test_draining_node_still_dispatches_calls_of_its_server():
    node = Node()
    node.send_request(request_id="r1")
    node.handle(messages.DrainStarted(entry_open=False))
    outside = node.send_request(request_id="r2")
    (reply,) = select_effects(outside, messages.ReplyToCaller)
    assert reply.answer.error is errors.ErrorKind.DRAINING
    assert reply.answer.retry_after_s is not None
    other = msgspec.structs.replace(OWN, host_id="b")
    node.handle(messages.MembersChanged(members_by_id={"a": OWN, "b": other}))
    sent = [
        effect
        for number in range(20)
        for effect in node.send_request(request_id=f"r1.c{number}")
    ]
    assert select_effects(sent, messages.SendCall)


# Guards against callers' requests that a draining node takes for calls of its
# server, since most callers are on this host, and cuts off when it exits.
@pytest.mark.parametrize(
    ("has_run", "elapsed_s", "is_accepted"),
    [(True, 0.5, True), (True, 1.5, False), (False, 0.5, False)],
)
def test_draining_node_accepts_untraced_calls_while_they_can_be_of_a_run(
    has_run, elapsed_s, is_accepted
):
    node = Node()
    cost_model = node.engine._state.cost_model
    cost_model.record_entry_request = lambda route: origins.Origin.SERVERS
    if has_run:
        node.handle(messages.PeerCalled(link_id=1, call=make_call(1)))
    other = msgspec.structs.replace(OWN, host_id="b")
    node.handle(messages.MembersChanged(members_by_id={"a": OWN, "b": other}))
    node.handle(messages.DrainStarted(remaining_s=2.0))
    node.now += elapsed_s
    effects = node.send_request(request_id="unrelated")
    replies = select_effects(effects, messages.ReplyToCaller)
    assert (not replies) == is_accepted
    for reply in replies:
        assert reply.answer.error is errors.ErrorKind.DRAINING
        assert reply.answer.outcome is errors.Outcome.NOT_RUN


# Guards against callers' requests that a draining node accepts because earlier
# ones were short, and breaks off when it exits because these take longer.
def test_draining_node_refuses_untraced_call_that_may_outlast_it():
    node = Node()
    cost_model = node.engine._state.cost_model
    cost_model.record_entry_request = lambda route: origins.Origin.SERVERS
    for number in range(20):
        effects = node.send_request(request_id=f"short-{number}")
        (start,) = select_effects(effects, messages.StartRun)
        node.now += 0.01
        effects = node.handle(
            messages.RunAnswered(
                run_id=start.run_id, status=200, headers=[], body=b""
            )
        )
        assert select_effects(effects, messages.ReplyToCaller)
    node.handle(messages.PeerCalled(link_id=1, call=make_call(1)))
    other = msgspec.structs.replace(OWN, host_id="b")
    node.handle(messages.MembersChanged(members_by_id={"a": OWN, "b": other}))
    node.handle(messages.DrainStarted(remaining_s=0.7))
    effects = node.send_request(request_id="unrelated", deadline_ms=800)
    (reply,) = select_effects(effects, messages.ReplyToCaller)
    assert reply.answer.error is errors.ErrorKind.DRAINING
    assert reply.answer.outcome is errors.Outcome.NOT_RUN
    assert reply.answer.retry_after_s is not None


# A call that starts its own target would be ordered behind new requests while
# its tree is nearly late.


def test_target_is_that_of_the_user_request_at_the_root():
    node = Node()
    node.send_request(request_id="r1")
    node.now += 0.3
    node.send_request(request_id="r1.1")
    root, child = node.engine._run_table.runs_by_id.values()
    assert root.target == pytest.approx(2.0, abs=0.002)
    assert child.target == pytest.approx(2.0, abs=0.002)
    assert not root.call.is_internal
    assert child.call.is_internal


# A node two levels below the root would otherwise take every call for the first
# one of its tree and refuse its retry.


def test_calls_carry_the_progress_of_the_whole_tree():
    node = Node()
    call = msgspec.structs.replace(make_call(1), prior_calls=2)
    node.handle(messages.PeerCalled(link_id=1, call=call))
    node.send_request(request_id="r1.1")
    node.send_request(request_id="r1.2")
    _, first, second = node.engine._run_table.runs_by_id.values()
    assert [first.call.prior_calls, second.call.prior_calls] == [2, 3]


def test_unreadable_cost_report_is_recorded():
    node = Node()
    effects = node.send_request()
    start = next(e for e in effects if isinstance(e, messages.StartRun))
    node.handle(
        messages.RunAnswered(
            run_id=start.run_id, status=200, headers=[], body=b""
        )
    )
    dispatcher = node.engine._dispatcher
    effects = node.send_request(request_id="r2")
    (exchange,) = dispatcher.exchange_table.exchanges_by_origin_id.values()
    answer = rpc.Answer(outcome=errors.Outcome.COMPLETED, report=b"\xc1")
    effects = node.handle(
        messages.PeerAnswered(
            host_id="a",
            number=exchange.number,
            user_request_id="r2",
            answer=answer,
        )
    )
    rejected_hosts = [
        effect.fields["host"]
        for effect in effects
        if isinstance(effect, records.EventRecord)
        and effect.code is catalogue.EventCode.COST_REPORT_REJECTED
    ]
    assert rejected_hosts == ["a"]
    assert any(isinstance(e, messages.ReplyToCaller) for e in effects)


FLEET_BUDGET = msgspec.structs.replace(
    PRESET,
    retries=model.RetryPolicy(ratio=0.2, fleet_burst=2, shed_elsewhere=True),
)


def make_call(number, *, request_id="r1", is_repeat=False):
    request = rpc.Request(
        service="kitview",
        method="GET",
        path=f"/kits/{number}",
        headers=[],
        body=b"",
        authority="kits.example",
    )
    return rpc.Call(
        number=number,
        user_request_id=request_id,
        call_id=request_id,
        request=request,
        deadline_ms=5000,
        attempt=int(is_repeat),
        route_name="kits",
        class_name="usual",
        repeatable=True,
        is_repeat=is_repeat,
    )


def make_budget_node():
    node = Node()
    node.handle(messages.PresetInForce(epoch=2, preset=FLEET_BUDGET))
    return node


def test_retries_beyond_the_budget_do_not_reach_the_server():
    """The service's servers reject calls; every caller tries another server."""
    node = make_budget_node()
    for number in range(1, 4):
        effects = node.handle(
            messages.PeerCalled(link_id=1, call=make_call(number))
        )
        (run,) = select_effects(effects, messages.StartRun)
        node.handle(
            messages.RunAnswered(
                run_id=run.run_id, status=200, headers=[], body=b""
            )
        )
    retry = make_call(9, request_id="r9", is_repeat=True)
    effects = node.handle(messages.PeerCalled(link_id=1, call=retry))
    assert not select_effects(effects, messages.StartRun)
    (sent,) = select_effects(effects, messages.SendAnswer)
    assert sent.answer.error is errors.ErrorKind.RETRIES_EXHAUSTED
    assert sent.answer.outcome is errors.Outcome.NOT_RUN
    assert not sent.answer.may_retry


def test_calls_of_a_retried_run_count_as_retries():
    node = make_budget_node()
    for number in range(1, 9):
        first = make_call(number, request_id=f"first-{number}")
        effects = node.handle(messages.PeerCalled(link_id=1, call=first))
        for run in select_effects(effects, messages.StartRun):
            node.handle(
                messages.RunAnswered(
                    run_id=run.run_id, status=200, headers=[], body=b""
                )
            )
    retry = make_call(20, request_id="r1", is_repeat=True)
    effects = node.handle(messages.PeerCalled(link_id=1, call=retry))
    assert select_effects(effects, messages.StartRun)
    # The server of the retried run calls its own service: no token is left.
    effects = node.send_request(request_id="r1.1")
    (reply,) = select_effects(effects, messages.ReplyToCaller)
    assert reply.answer.error is errors.ErrorKind.RETRIES_EXHAUSTED


def test_retry_that_is_not_run_returns_its_token():
    node = make_budget_node()
    for number in range(1, 7):
        node.handle(
            messages.PeerCalled(
                link_id=1,
                call=make_call(number, request_id=f"first-{number}"),
            )
        )
    # All slots are in use, so the retry waits until its caller leaves.
    for number in (20, 21):
        retry = make_call(number, request_id=f"r{number}", is_repeat=True)
        effects = node.handle(messages.PeerCalled(link_id=1, call=retry))
        assert not select_effects(effects, messages.SendAnswer)
        node.handle(messages.PeerCancelled(link_id=1, number=number))


@pytest.mark.parametrize("fair_share", [True, False])
def test_organisations_count_at_the_entry_only_with_fair_share(fair_share):
    node = Node()
    policy = model.AdmissionPolicy(pricing=True, fair_share=fair_share)
    preset = msgspec.structs.replace(PRESET, admission=policy)
    node.handle(messages.PresetInForce(epoch=2, preset=preset))
    state = node.engine._state
    report = core.Report(
        origin=origins.Origin.CALLERS,
        charges=[core.Charge(service="kitview", slot_s=0.1, share=0.3)],
    )
    state.cost_model.apply_report("kits", "kitview", core.encode(report), 1.0)
    intake = node.engine._dispatcher._intake
    event = messages.CallArrived(
        origin_id=7,
        face=messages.Face.ENTRY,
        request=rpc.Request(
            service="",
            method="GET",
            path="/kits/7",
            headers=[],
            body=b"",
            authority="kits.example",
        ),
        user_request_id="r7",
    )
    exchange = intake.open(event)
    exchange.organisation = "o1"
    intake.find_refusal(exchange)
    gate = state.cost_model._entry_gate
    assert gate._has_organisations == fair_share
