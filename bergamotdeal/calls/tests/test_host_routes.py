"""Calls that are addressed by host name, through one node's engine."""

import dataclasses
import random

from bergamotdeal.calls import core
from bergamotdeal.calls import engine
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.telemetry import catalogue

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

    def arrive(self, *, path="/kits/7", request_id="r1", deadline_ms=5000):
        return self.handle(
            messages.CallArrived(
                origin_id=1,
                face=messages.Face.ENTRY,
                request=core.Request(
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


def of(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def test_request_goes_to_the_route_s_service_with_its_path():
    (run,) = of(Node().arrive(), messages.StartRun)
    assert run.request.service == "kitview"
    assert run.request.path == "/kits/7"
    assert run.caller_service == "kitview"


def test_route_s_timeout_bounds_what_the_caller_grants():
    (run,) = of(Node().arrive(deadline_ms=5000), messages.StartRun)
    assert 700 < run.deadline_ms <= 800
    (run,) = of(Node().arrive(deadline_ms=300), messages.StartRun)
    assert run.deadline_ms <= 300


def test_request_without_a_route_has_surely_not_run():
    (reply,) = of(Node().arrive(path="/other"), messages.ReplyToCaller)
    assert reply.answer.error is errors.ErrorKind.NO_ROUTE
    assert reply.answer.outcome is errors.Outcome.NOT_RUN


def test_timeout_answers_at_once_and_cancels_the_run():
    node = Node()
    node.arrive()
    node.now += 0.9
    effects = node.handle(messages.TimePassed())
    (reply,) = of(effects, messages.ReplyToCaller)
    assert reply.answer.error is errors.ErrorKind.DEADLINE_EXCEEDED
    assert of(effects, messages.CancelRun)


def test_server_that_says_it_did_not_run_gives_a_true_refusal():
    node = Node()
    (run,) = of(node.arrive(), messages.StartRun)
    effects = node.handle(
        messages.RunFailed(run_id=run.run_id, failure=messages.RunFailure.SHED)
    )
    (reply,) = of(effects, messages.ReplyToCaller)
    assert reply.answer.outcome is errors.Outcome.NOT_RUN
    assert 0 < reply.answer.retry_after_s < 1


def test_leaving_server_gets_no_new_run():
    node = Node()
    node.handle(messages.ServerLeaving(instance="i"))
    effects = node.arrive()
    assert of(effects, messages.StartRun) == []
    (reply,) = of(effects, messages.ReplyToCaller)
    assert reply.answer.outcome is errors.Outcome.NOT_RUN


def test_draining_node_serves_the_calls_of_its_server_to_the_end():
    node = Node()
    node.arrive(request_id="r1")
    node.handle(messages.DrainStarted(entry_open=False))
    outside = node.arrive(request_id="r2")
    (reply,) = of(outside, messages.ReplyToCaller)
    assert reply.answer.error is errors.ErrorKind.DRAINING
    assert reply.answer.retry_after_s is not None
    other = dataclasses.replace(OWN, host_id="b")
    node.handle(messages.MembersChanged(members_by_id={"a": OWN, "b": other}))
    sent = [
        effect
        for number in range(20)
        for effect in node.arrive(request_id=f"r1.c{number}")
    ]
    assert of(sent, messages.SendCall)


def test_cost_report_that_cannot_be_read_is_told():
    node = Node()
    effects = node.arrive()
    start = next(e for e in effects if isinstance(e, messages.StartRun))
    node.handle(
        messages.RunAnswered(
            run_id=start.run_id, status=200, headers=[], body=b""
        )
    )
    dispatcher = node.engine._dispatcher
    effects = node.arrive(request_id="r2")
    (exchange,) = dispatcher._exchanges_by_origin.values()
    answer = core.Answer(outcome=errors.Outcome.COMPLETED, report=b"\xc1")
    effects = node.handle(
        messages.PeerAnswered(
            host_id="a",
            number=exchange.number,
            user_request_id="r2",
            answer=answer,
        )
    )
    told = [
        effect.fields["host"]
        for effect in effects
        if isinstance(effect, messages.EventRecord)
        and effect.code is catalogue.EventCode.COST_REPORT_REJECTED
    ]
    assert told == ["a"]
    assert any(isinstance(e, messages.ReplyToCaller) for e in effects)
