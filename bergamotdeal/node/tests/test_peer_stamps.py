"""The time line sorts by cause although the hosts' clocks differ."""

import random

import pytest
from twisted.internet import testing

from bergamotdeal.calls import core as calls
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.node import peer
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import recorder
from bergamotdeal.telemetry import ring
from bergamotdeal.telemetry import timeline

KEY = b"0123456789abcdef"
WALL_MS = 1_700_000_000_000


class Node:
    """A peer face that records what it sends and receives."""

    def __init__(self, host_id, *, wall_ms):
        self.host_id = host_id
        self.reactor = testing.MemoryReactorClock()
        self.events = []
        self.recorder = recorder.Recorder(
            hybrid_clock=clock.HybridClock(wall_ms=lambda: wall_ms),
            events=ring.Ring(capacity=100),
            counts=metrics.Metrics(rng=random.Random(1)),
        )
        self.peer = peer.PeerTask(
            reactor=self.reactor,
            host_id=host_id,
            incarnation=host_id,
            key=KEY,
            rng=random.Random(host_id),
            post=self.events.append,
            on_epoch=lambda epoch, sender: None,
            record=self.recorder.record,
            serve_bulk=lambda payload: payload,
            hybrid_clock=self.recorder.clock,
        )

    def note(self, code):
        self.recorder.record(
            messages.EventRecord(code=code, user_request_id="r-1")
        )

    def entries(self):
        return [
            timeline.entry_of(event, host=self.host_id)
            for event in self.recorder.ring.select(user_request_id="r-1")
        ]


def _connect(origin, target):
    """Connects the two faces and returns what carries their bytes."""
    target.peer.start(address="127.0.0.2", port=7002)
    origin.peer.outgoing.members_changed(
        {
            target.host_id: membership.Member(
                host_id=target.host_id,
                incarnation=target.host_id,
                data_centre="prai",
                region="default",
                address="127.0.0.2",
                peer_port=7002,
            )
        }
    )
    origin.peer.outgoing.send_call(
        messages.SendCall(
            host_id=target.host_id,
            call=calls.Call(
                number=1,
                user_request_id="r-1",
                call_id="c-1",
                request=calls.Request(
                    service="orderline",
                    method="GET",
                    path="/",
                    headers=[],
                    body=b"",
                ),
                deadline_ms=1000,
            ),
        )
    )
    ends = [
        origin.reactor.tcpClients[-1][2].buildProtocol(None),
        target.reactor.tcpServers[-1][1].buildProtocol(None),
    ]
    for end in ends:
        end.makeConnection(testing.StringTransport())
    return lambda: _exchange(*ends)


def _exchange(a, b):
    while a.transport.value() or b.transport.value():
        from_a, from_b = a.transport.value(), b.transport.value()
        a.transport.clear()
        b.transport.clear()
        b.dataReceived(from_a)
        a.dataReceived(from_b)


@pytest.mark.parametrize("ahead_ms", [-30_000, 0, 30_000])
def test_no_effect_is_sorted_before_its_cause(ahead_ms):
    origin = Node("kitview-1", wall_ms=WALL_MS)
    target = Node("orderline-1", wall_ms=WALL_MS + ahead_ms)
    origin.note(catalogue.EventCode.CALL_DISPATCHED)
    carry = _connect(origin, target)
    carry()
    (called,) = target.events
    target.note(catalogue.EventCode.RUN_STARTED)
    target.peer.send_answer(
        messages.SendAnswer(
            link_id=called.link_id,
            number=1,
            user_request_id="r-1",
            answer=calls.Answer(outcome=errors.Outcome.COMPLETED),
        )
    )
    carry()
    assert isinstance(origin.events[-1], messages.PeerAnswered)
    origin.note(catalogue.EventCode.CALL_ANSWERED)
    merged = timeline.merge(origin.entries() + target.entries())
    assert [entry.name for entry in merged] == [
        "CALL_DISPATCHED",
        "RUN_STARTED",
        "CALL_ANSWERED",
    ]
