"""Outgoing links: dispatch failures, link replacement and late answers."""

import random

import pytest
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.node import outgoing
from bergamotdeal.node import peer_link
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import clock
from bergamotdeal.wire import messages as frames

KEY = b"0123456789abcdef"
TARGET = "orderline-1"


class TargetNode:
    """Listening side of one link."""

    def __init__(self, incarnation="two"):
        self.frames = []
        builder = peer_link.LinkBuilder(
            host_id=TARGET,
            incarnation=incarnation,
            key=KEY,
            rng=random.Random(2),
            clock=lambda: 0.0,
        )
        self.link = builder.build(
            is_dialer=False,
            expected_host_id=None,
            on_open=lambda _: None,
            on_frame=lambda _, frame: self.frames.append(frame),
            on_closed=lambda _: None,
        )
        self.transport = testing.StringTransport()
        self.link.makeConnection(self.transport)


class Harness:
    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        self.events = []
        self.holds = []
        self.epochs = []
        builder = peer_link.LinkBuilder(
            host_id="kitview-1",
            incarnation="one",
            key=KEY,
            rng=random.Random(1),
            clock=self.reactor.seconds,
        )
        self.links = outgoing.OutgoingLinks(
            reactor=self.reactor,
            builder=builder,
            post=self._post,
            on_peer_epoch=lambda epoch, host_id: self.epochs.append(epoch),
            record=lambda _: None,
            hybrid_clock=clock.HybridLogicalClock(wall_ms=lambda: 1),
        )
        self.update_member("two")

    def update_member(self, incarnation):
        member = membership.Member(
            host_id=TARGET,
            incarnation=incarnation,
            data_centre="prai",
            region="r",
            address="127.0.0.2",
            peer_port=7002,
        )
        self.links.update_members({TARGET: member})

    def call(self, number):
        self.links.send_call(
            messages.SendCall(
                host_id=TARGET,
                call=rpc.Call(
                    number=number,
                    user_request_id="r-1",
                    call_id="r-1",
                    request=rpc.Request(
                        service="orderline",
                        method="GET",
                        path="/",
                        headers=[],
                        body=b"",
                    ),
                    deadline_ms=1000,
                    epoch=3,
                ),
            )
        )

    def _post(self, event):
        is_hold = isinstance(event, messages.DispatchHeld)
        (self.holds if is_hold else self.events).append(event)

    @property
    def connection_attempts(self):
        return len(self.reactor.tcpClients)

    def accept(self, incarnation="two"):
        factory = self.reactor.tcpClients[-1][2]
        link = factory.buildProtocol(None)
        link.makeConnection(testing.StringTransport())
        target = TargetNode(incarnation)
        self.exchange_bytes(link, target)
        return link, target

    def exchange_bytes(self, link, target):
        while link.transport.value() or target.transport.value():
            data = link.transport.value()
            link.transport.clear()
            target.link.dataReceived(data)
            data = target.transport.value()
            target.transport.clear()
            link.dataReceived(data)

    def fail_connection(self):
        factory = self.reactor.tcpClients[-1][2]
        reason = failure.Failure(error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, reason)

    def advance_clock(self, seconds):
        for _ in range(round(seconds / 0.25)):
            self.reactor.advance(0.25)
            self.links.check(self.reactor.seconds())


def dispatch_failed(number, *, may_have_been_sent):
    return messages.DispatchFailed(
        number=number, may_have_been_sent=may_have_been_sent
    )


def answer_frame(number):
    return frames.AnswerFrame(
        number=number,
        user_request_id="r-1",
        answer=rpc.Answer(
            outcome=errors.Outcome.COMPLETED, body=b"ok", epoch=5
        ),
    )


def test_send_call_while_link_opens_queues_calls_on_one_link():
    harness = Harness()
    harness.call(1)
    harness.call(2)
    assert harness.connection_attempts == 1
    link, target = harness.accept()
    assert [frame.call.number for frame in target.frames] == [1, 2]
    target.link.send(answer_frame(2))
    harness.exchange_bytes(link, target)
    assert harness.events[0].number == 2
    assert harness.epochs == [5]


# Guards against a call that is reported as not sent while its frame is written.
def test_call_is_held_until_its_frame_is_written():
    harness = Harness()
    harness.call(1)
    assert harness.holds == [messages.DispatchHeld(number=1, is_held=True)]
    harness.links.send_cancel(messages.SendCancel(host_id=TARGET, number=1))
    harness.call(2)
    _, target = harness.accept()
    assert harness.holds[2:] == [messages.DispatchHeld(number=2, is_held=False)]
    assert [frame.call.number for frame in target.frames] == [2]
    harness.call(3)
    assert len(harness.holds) == 3


def test_send_call_with_failed_connection_reports_not_handed_over():
    harness = Harness()
    harness.call(1)
    harness.fail_connection()
    assert harness.events == [dispatch_failed(1, may_have_been_sent=False)]


def test_send_call_to_unknown_host_reports_not_handed_over():
    harness = Harness()
    harness.links.update_members({})
    harness.call(1)
    assert harness.events == [dispatch_failed(1, may_have_been_sent=False)]


def test_send_call_with_stalled_handshake_reports_not_handed_over():
    harness = Harness()
    harness.call(1)
    factory = harness.reactor.tcpClients[-1][2]
    link = factory.buildProtocol(None)
    link.makeConnection(testing.StringTransport())
    harness.advance_clock(3)
    assert harness.events == [dispatch_failed(1, may_have_been_sent=False)]


def test_lost_link_reports_written_calls_as_handed_over():
    harness = Harness()
    harness.call(1)
    link, _ = harness.accept()
    link.connectionLost()
    assert harness.events == [dispatch_failed(1, may_have_been_sent=True)]
    harness.call(2)
    assert harness.connection_attempts == 2


def test_unresponsive_link_is_replaced_and_reports_handed_over():
    harness = Harness()
    harness.call(1)
    harness.accept()
    harness.advance_clock(3)
    assert harness.events == [dispatch_failed(1, may_have_been_sent=True)]
    harness.call(2)
    _, target = harness.accept()
    assert [frame.call.number for frame in target.frames] == [2]


def test_late_answer_on_replaced_link_is_dropped():
    harness = Harness()
    harness.call(1)
    old, target = harness.accept()
    harness.advance_clock(3)
    harness.events.clear()
    target.link.send(answer_frame(1))
    old.dataReceived(target.transport.value())
    assert harness.events == []


def test_update_members_with_new_incarnation_closes_link():
    harness = Harness()
    harness.call(1)
    link, _ = harness.accept("two")
    harness.update_member("three")
    assert link.state is peer_link.LinkState.CLOSED
    assert harness.events == [dispatch_failed(1, may_have_been_sent=True)]


def test_send_cancel_before_link_opens_sends_no_frame():
    harness = Harness()
    harness.call(1)
    harness.links.send_cancel(messages.SendCancel(host_id=TARGET, number=1))
    _, target = harness.accept()
    assert target.frames == []


# Guards against a withdrawal that an older node takes for a malformed frame.
@pytest.mark.parametrize("is_known", [True, False])
def test_call_is_withdrawn_only_from_a_node_that_knows_withdrawals(is_known):
    harness = Harness()
    harness.call(1)
    link, target = harness.accept()
    link.peer_hello.can_withdraw = is_known
    withdrawal = messages.SendCancel(
        host_id=TARGET, number=1, only_waiting=True
    )
    harness.links.send_cancel(withdrawal)
    harness.exchange_bytes(link, target)
    expected = [frames.WithdrawFrame(number=1)] if is_known else []
    assert target.frames[1:] == expected
    target.link.send(answer_frame(1))
    harness.exchange_bytes(link, target)
    assert [event.number for event in harness.events] == [1]


def test_unused_link_is_closed_after_timeout():
    harness = Harness()
    harness.call(1)
    link, target = harness.accept()
    target.link.send(answer_frame(1))
    harness.exchange_bytes(link, target)
    for _ in range(300):
        harness.advance_clock(0.25)
        harness.exchange_bytes(link, target)
    assert len(harness.links) == 0
