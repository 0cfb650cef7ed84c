import random
import types

from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.node import gauges
from bergamotdeal.node import status
from bergamotdeal.node import timed_engine
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import metrics

REQUEST = rpc.Request(
    service="kitview", method="GET", path="/", headers=[], body=b""
)


class _FakeEngine:
    """Engine that returns preset effects."""

    effects = ()

    def handle(self, event, now):
        return self.effects

    def next_wakeup(self):
        return 7.0


class _FakeClient:
    """StatsD client that stores what is sent."""

    def __init__(self):
        self.sent = {}

    def pipeline(self):
        return self

    def __enter__(self):
        return self

    def __exit__(self, *details):
        pass

    def incr(self, name, count):
        self.sent[name] = count

    def gauge(self, name, value):
        self.sent[name] = value

    def timing(self, name, value):
        self.sent.setdefault(name, []).append(value)


class _Harness:
    def __init__(self):
        self.wrapped_engine = _FakeEngine()
        self.node_metrics = metrics.Metrics(rng=random.Random(1))
        self.engine = timed_engine.TimedEngine(
            engine=self.wrapped_engine, node_metrics=self.node_metrics
        )

    def handle(self, event, now, *effects):
        self.wrapped_engine.effects = list(effects)
        assert self.engine.handle(event, now) == list(effects)

    def sent(self):
        client = _FakeClient()
        self.node_metrics.flush(client)
        return client.sent


def _call_arrived(origin_id):
    return messages.CallArrived(
        origin_id=origin_id,
        face=messages.Face.ENTRY,
        request=REQUEST,
        user_request_id="r",
    )


def _reply(origin_id):
    return messages.ReplyToCaller(
        origin_id=origin_id,
        user_request_id="r",
        answer=rpc.Answer(outcome=errors.Outcome.COMPLETED),
    )


def _start_run(run_id):
    return messages.StartRun(
        run_id=run_id,
        request=REQUEST,
        user_request_id="r",
        context="",
        deadline_ms=5,
    )


def test_handle_with_answered_call_records_durations():
    harness = _Harness()
    harness.handle(_call_arrived(1), 1.0, _start_run(4))
    harness.handle(
        messages.RunAnswered(run_id=4, status=200, headers=[], body=b""),
        1.25,
        _reply(1),
    )
    sent = harness.sent()
    assert sent["calls.time"] == [250.0]
    assert sent["runs.time"] == [250.0]
    assert harness.engine.next_wakeup() == 7.0


def test_handle_with_gone_caller_drops_start_times():
    harness = _Harness()
    harness.handle(_call_arrived(1), 1.0, _start_run(4))
    harness.handle(
        messages.CallerDisconnected(origin_id=1),
        2.0,
        messages.CancelRun(run_id=4),
    )
    assert harness.engine._started_at_by_origin_id == {}
    assert harness.engine._started_at_by_run_id == {}
    assert "calls.time" not in harness.sent()


def test_set_gauges_sets_values_of_status():
    members = [
        types.SimpleNamespace(state=state)
        for state in ("alive", "alive", "dead", "draining")
    ]
    node_metrics = metrics.Metrics(rng=random.Random(1))
    gauges.set_gauges(
        node_metrics,
        status.NodeStatus(
            host_id="a",
            incarnation="b",
            data_centre="prai",
            region="penang",
            ready=True,
            epoch=3,
            preset_behind_s=1.5,
            resident_bytes=5,
            body_bytes=6,
            body_capacity_bytes=8,
            members=members,
            server=status.ServerStatus(
                service="kitview",
                slots=9,
                running=4,
                queued=2,
                limit=7,
                work_factor=2.5,
                thresholds_by_class={"browse": 0.5},
            ),
        ),
    )
    client = _FakeClient()
    node_metrics.flush(client)
    assert client.sent == {
        "presets.epoch": 3,
        "presets.behind_s": 1.5,
        "process.resident_bytes": 5,
        "memory.body_bytes": 6,
        "memory.body_capacity_bytes": 8,
        "membership.alive": 2,
        "membership.suspect": 0,
        "membership.draining": 1,
        "membership.dead": 1,
        "server.running": 4,
        "server.queued": 2,
        "server.limit": 7,
        "server.work_factor": 2.5,
        "admission.threshold.browse": 0.5,
    }
