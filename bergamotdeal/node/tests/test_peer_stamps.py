"""Causal order of the merged timeline of hosts whose clocks differ."""

import random

import pytest
from twisted.internet import testing

from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.node import peer
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import recorder
from bergamotdeal.telemetry import records
from bergamotdeal.telemetry import ring
from bergamotdeal.telemetry import timeline

KEY = b"0123456789abcdef"
WALL_MS = 1_700_000_000_000


class PeerNode:
    """Peer task that records its events."""

    def __init__(self, host_id, *, wall_ms):
        self.host_id = host_id
        self.reactor = testing.MemoryReactorClock()
        self.events = []
        self.recorder = recorder.EventRecorder(
            hybrid_clock=clock.HybridLogicalClock(wall_ms=lambda: wall_ms),
            event_ring=ring.EventRing(capacity=100),
            node_metrics=metrics.Metrics(rng=random.Random(1)),
        )
        self.peer = peer.PeerTask(
            reactor=self.reactor,
            host_id=host_id,
            incarnation=host_id,
            key=KEY,
            rng=random.Random(host_id),
            post=self.events.append,
            on_peer_epoch=lambda epoch, sender: None,
            record=self.recorder.record,
            on_bulk_request=lambda payload: payload,
            hybrid_clock=self.recorder.clock,
        )

    def record_event(self, code):
        self.recorder.record(
            records.EventRecord(code=code, user_request_id="r-1")
        )

    def entries(self):
        return [
            timeline.build_entry(event, host=self.host_id)
            for event in self.recorder.ring.select(user_request_id="r-1")
        ]


def _connect_nodes(origin, target):
    """Connects two nodes; returns a callable that exchanges their bytes."""
    target.peer.start(address="127.0.0.2", port=7002)
    origin.peer.outgoing.update_members(
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
            call=rpc.Call(
                number=1,
                user_request_id="r-1",
                call_id="c-1",
                request=rpc.Request(
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
    links = [
        origin.reactor.tcpClients[-1][2].buildProtocol(None),
        target.reactor.tcpServers[-1][1].buildProtocol(None),
    ]
    for link in links:
        link.makeConnection(testing.StringTransport())
    return lambda: _exchange_bytes(*links)


def _exchange_bytes(a, b):
    while a.transport.value() or b.transport.value():
        from_a, from_b = a.transport.value(), b.transport.value()
        a.transport.clear()
        b.transport.clear()
        b.dataReceived(from_a)
        a.dataReceived(from_b)


@pytest.mark.parametrize("clock_skew_ms", [-30_000, 0, 30_000])
def test_merged_timeline_with_clock_skew_orders_causes_before_effects(
    clock_skew_ms,
):
    origin = PeerNode("kitview-1", wall_ms=WALL_MS)
    target = PeerNode("orderline-1", wall_ms=WALL_MS + clock_skew_ms)
    origin.record_event(catalogue.EventCode.CALL_DISPATCHED)
    exchange_bytes = _connect_nodes(origin, target)
    exchange_bytes()
    (called,) = target.events
    target.record_event(catalogue.EventCode.RUN_STARTED)
    target.peer.send_answer(
        messages.SendAnswer(
            link_id=called.link_id,
            number=1,
            user_request_id="r-1",
            answer=rpc.Answer(outcome=errors.Outcome.COMPLETED),
        )
    )
    exchange_bytes()
    assert isinstance(origin.events[-1], messages.PeerAnswered)
    origin.record_event(catalogue.EventCode.CALL_ANSWERED)
    merged = timeline.merge(origin.entries() + target.entries())
    assert [entry.name for entry in merged] == [
        "CALL_DISPATCHED",
        "RUN_STARTED",
        "CALL_ANSWERED",
    ]
