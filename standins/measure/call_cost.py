"""Processor time of one call's way through two nodes, without sockets.

The nodes are call engines with their event recorders; calls and answers pass
through the codec of the peer links. Sockets and the event loop, whose cost
depends on the machine, are left out, so that runs can be compared.
"""

import random
import statistics
import time

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.node import timed_engine
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import recorder
from bergamotdeal.telemetry import records
from bergamotdeal.telemetry import ring
from bergamotdeal.wire import codec
from bergamotdeal.wire import messages as wire
from standins.measure import figures

ROUNDS = 15
CALLS_PER_ROUND = 1000
SERVER_COUNT = 24
SLOTS = 53
_OPEN_CALLS = 16
_RING_EVENTS = 4096
_STEP_S = 0.001
_US_PER_S = 1e6
_HEADERS = [
    ("accept", "*/*"),
    ("content-type", "application/json"),
    ("user-agent", "line-lead/3"),
]
_PRESET = model.Preset(
    name="benchmark",
    classes=("internal", "urgent", "usual"),
    internal_class="internal",
    tickets=model.TicketPolicy(required=False),
    admission=model.AdmissionPolicy(
        thresholds=False,
        pricing=True,
        slots_share=0.95,
        adapt_limit=False,
        consistent_hash=False,
        preempt=False,
    ),
    routing=model.RoutingPolicy(spill_share=0.75, weigh_speed=True),
    retries=model.RetryPolicy(shed_elsewhere=True, by_progress=True),
    host_routes=(
        model.HostRoute(
            name="kits",
            host="kits.example",
            prefix="/kits/",
            destinations=(model.Destination(service="kitview"),),
            class_name="usual",
            repeatable=True,
            timeout_ms=5000,
            target_latency_ms=1500,
            max_sendings=2,
        ),
    ),
)


class _Node:
    """Call engine of one node with its recorder.

    Args:
      identity: Membership entry of the node.
      members_by_id: Members of the fleet.
    """

    def __init__(
        self,
        *,
        identity: membership.Member,
        members_by_id: dict[str, membership.Member],
    ) -> None:
        self.host_id = identity.host_id
        node_metrics = metrics.Metrics(rng=random.Random(1))
        self._recorder = recorder.EventRecorder(
            hybrid_clock=clock.HybridLogicalClock(
                wall_ms=lambda: time.time_ns() // 1_000_000
            ),
            event_ring=ring.EventRing(capacity=_RING_EVENTS),
            node_metrics=node_metrics,
        )
        self._engine = timed_engine.TimedEngine(
            engine=call_engine.Engine(
                identity=identity,
                preset=_PRESET,
                epoch=1,
                rng=random.Random(1),
                caller_service="kitview",
            ),
            node_metrics=node_metrics,
        )
        self.handle(messages.MembersChanged(members_by_id=members_by_id), 1.0)

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Handles one event and returns the effects other than records."""
        others = []
        for effect in self._engine.handle(event, now):
            if isinstance(effect, records.EventRecord):
                self._recorder.record(effect)
            else:
                others.append(effect)
        self._engine.next_wakeup()
        return others


class CallPath:
    """An entry node and a node beside a server, with calls in flight.

    Attributes:
      now: Time in monotonic seconds.
    """

    def __init__(self) -> None:
        self.now = 10.0
        self._last_origin = 0
        servers = {
            f"kitview-{index}": _build_member(f"kitview-{index}", "kitview")
            for index in range(SERVER_COUNT)
        }
        members_by_id = servers | {"gate-1": _build_member("gate-1", "")}
        self._entry = _Node(
            identity=members_by_id["gate-1"], members_by_id=members_by_id
        )
        self._callees_by_id = {
            host_id: _Node(identity=member, members_by_id=members_by_id)
            for host_id, member in servers.items()
        }
        for node in self._callees_by_id.values():
            node.handle(
                messages.ServerAnnounced(
                    service="kitview", slots=SLOTS, connections=SLOTS
                ),
                self.now,
            )
        self._open: list[tuple[_Node, messages.StartRun]] = []

    def advance(self) -> None:
        """Starts one call and, with enough of them open, ends the oldest."""
        self.now += _STEP_S
        self._last_origin += 1
        request = rpc.Request(
            service="",
            method="GET",
            path="/kits/7",
            headers=list(_HEADERS),
            body=b"",
            authority="kits.example",
        )
        arrived = messages.CallArrived(
            origin_id=self._last_origin,
            face=messages.Face.ENTRY,
            request=request,
            user_request_id=f"{self._last_origin:016x}",
            deadline_ms=5000,
        )
        (send,) = self._entry.handle(arrived, self.now)
        callee = self._callees_by_id[send.host_id]
        frame = _transmit(wire.CallFrame(call=send.call))
        called = messages.PeerCalled(link_id=1, call=frame.call)
        (run,) = callee.handle(called, self.now)
        self._open.append((callee, run))
        if len(self._open) > _OPEN_CALLS:
            self._finish(*self._open.pop(0))

    def _finish(self, callee: _Node, run: messages.StartRun) -> None:
        answered = messages.RunAnswered(
            run_id=run.run_id, status=200, headers=list(_HEADERS), body=b"kit"
        )
        effects = callee.handle(answered, self.now)
        (send,) = (
            each for each in effects if isinstance(each, messages.SendAnswer)
        )
        frame = _transmit(
            wire.AnswerFrame(
                number=send.number,
                user_request_id=send.user_request_id,
                answer=send.answer,
            )
        )
        replies = self._entry.handle(
            messages.PeerAnswered(
                host_id=callee.host_id,
                number=frame.number,
                user_request_id=frame.user_request_id,
                answer=frame.answer,
            ),
            self.now,
        )
        assert replies[0].answer.outcome is errors.Outcome.COMPLETED


def _transmit(frame: wire.Frame) -> wire.Frame:
    return codec.decode(codec.encode(frame)).unwrap()


def _build_member(host_id: str, service: str) -> membership.Member:
    server = None
    if service:
        server = membership.Server(
            service=service, slots=SLOTS, connections=SLOTS
        )
    return membership.Member(
        host_id=host_id,
        incarnation="00" * 16,
        data_centre="prai",
        region="penang",
        address="127.0.0.1",
        peer_port=1,
        server=server,
    )


def measure_rounds(rounds: int = ROUNDS) -> list[float]:
    """Returns the processor time of a call in each round, in microseconds.

    Args:
      rounds: Number of rounds.
    """
    path = CallPath()
    for _ in range(CALLS_PER_ROUND):
        path.advance()
    costs_us = []
    for _ in range(rounds):
        started_at = time.process_time()
        for _ in range(CALLS_PER_ROUND):
            path.advance()
        elapsed_s = time.process_time() - started_at
        costs_us.append(elapsed_s / CALLS_PER_ROUND * _US_PER_S)
    return costs_us


def measure(report: figures.Report) -> None:
    """Adds the least and the median processor time of a call.

    Args:
      report: Report that receives the figures.
    """
    costs_us = measure_rounds()
    variant = "engines and codec of two nodes"
    report.add("call cost, least", min(costs_us), "us", variant=variant)
    report.add(
        "call cost, median", statistics.median(costs_us), "us", variant=variant
    )
