import random
import types

from bergamotdeal.calls import core as calls
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.node import gauges
from bergamotdeal.node import status
from bergamotdeal.node import timed_engine
from bergamotdeal.telemetry import metrics

REQUEST = calls.Request(
    service="kitview", method="GET", path="/", headers=[], body=b""
)


class _Engine:
    """Returns the effects that a test sets."""

    effects = ()

    def handle(self, event, now):
        return self.effects

    def next_wakeup(self):
        return 7.0


class _Client:
    """Keeps what is sent."""

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


class _Timed:
    def __init__(self):
        self.inner = _Engine()
        self.counts = metrics.Metrics(rng=random.Random(1))
        self.engine = timed_engine.TimedEngine(
            engine=self.inner, counts=self.counts
        )

    def handle(self, event, now, *effects):
        self.inner.effects = list(effects)
        assert self.engine.handle(event, now) == list(effects)

    def sent(self):
        client = _Client()
        self.counts.flush(client)
        return client.sent


def _arrived(origin_id):
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
        answer=calls.Answer(outcome=errors.Outcome.COMPLETED),
    )


def _start(run_id):
    return messages.StartRun(
        run_id=run_id,
        request=REQUEST,
        user_request_id="r",
        context="",
        deadline_ms=5,
    )


def test_calls_and_runs_are_timed():
    timed = _Timed()
    timed.handle(_arrived(1), 1.0, _start(4))
    timed.handle(
        messages.RunAnswered(run_id=4, status=200, headers=[], body=b""),
        1.25,
        _reply(1),
    )
    sent = timed.sent()
    assert sent["calls.time"] == [250.0]
    assert sent["runs.time"] == [250.0]
    assert timed.engine.next_wakeup() == 7.0


def test_a_call_without_an_answer_is_forgotten():
    timed = _Timed()
    timed.handle(_arrived(1), 1.0, _start(4))
    timed.handle(
        messages.CallerDisconnected(origin_id=1),
        2.0,
        messages.CancelRun(run_id=4),
    )
    assert timed.engine._started_by_origin == {}
    assert timed.engine._started_by_run == {}
    assert "calls.time" not in timed.sent()


def test_gauges_follow_the_status():
    members = [
        types.SimpleNamespace(state=state)
        for state in ("alive", "alive", "dead", "draining")
    ]
    counts = metrics.Metrics(rng=random.Random(1))
    gauges.set_gauges(
        counts,
        status.NodeStatus(
            host_id="a",
            incarnation="b",
            data_centre="prai",
            region="penang",
            ready=True,
            epoch=3,
            resident_bytes=5,
            members=members,
            server=status.ServerStatus(
                service="kitview",
                slots=9,
                running=4,
                queued=2,
                limit=7,
                thresholds_by_class={"browse": 0.5},
            ),
        ),
    )
    client = _Client()
    counts.flush(client)
    assert client.sent == {
        "presets.epoch": 3,
        "process.resident_bytes": 5,
        "membership.alive": 2,
        "membership.suspect": 0,
        "membership.draining": 1,
        "membership.dead": 1,
        "server.running": 4,
        "server.queued": 2,
        "server.limit": 7,
        "admission.threshold.browse": 0.5,
    }
