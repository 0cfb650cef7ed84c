import random
import socket

from bergamotdeal.calls import messages
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import recorder
from bergamotdeal.telemetry import ring


def _receive(sock):
    lines = []
    sock.settimeout(0.2)
    while True:
        try:
            lines += sock.recv(2000).decode().split("\n")
        except TimeoutError:
            return lines


def test_values_arrive_at_statsd_in_a_flush():
    counts = metrics.Metrics(rng=random.Random(1))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        port = server.getsockname()[1]
        client = metrics.build_statsd_client(
            address="127.0.0.1", port=port, prefix="b"
        )
        counts.increment(metrics.Counter.CALLS_ENTRY, 3)
        counts.set_gauge(metrics.Gauge.EPOCH, 7)
        counts.time(metrics.Timing.CALL_MS, 1.5)
        counts.flush(client)
        counts.flush(client)
        lines = _receive(server)
        client.close()
    assert lines == [
        "b.calls.entry:3|c",
        "b.presets.epoch:7|g",
        "b.calls.time.count:1|c",
        "b.calls.time:1.500000|ms",
    ]
    assert counts.get_totals()["calls.entry"] == 3


def test_without_statsd_totals_still_grow():
    counts = metrics.Metrics(rng=random.Random(1))
    assert (
        metrics.build_statsd_client(address="", port=8125, prefix="b") is None
    )
    for _ in range(3):
        counts.increment(metrics.Counter.CALLS_PEER)
        counts.flush(None)
    counts.increment(metrics.Counter.CALLS_PEER)
    assert counts.get_totals()["calls.peer"] == 4


def test_timings_are_sampled_within_a_bound():
    samples = metrics.ReservoirSample(rng=random.Random(1))
    for value in range(10_000):
        samples.add(value)
    assert samples.count == 10_000
    assert len(samples.values) == metrics.MAX_SAMPLES_PER_FLUSH
    assert 3_000 < sum(samples.values) / len(samples.values) < 7_000


def test_recording_an_event_keeps_and_counts_it():
    events = ring.EventRing(capacity=10)
    counts = metrics.Metrics(rng=random.Random(1))
    record = recorder.EventRecorder(
        hybrid_clock=clock.HybridLogicalClock(wall_ms=lambda: 5),
        event_ring=events,
        node_metrics=counts,
    ).record
    record(
        messages.EventRecord(
            code=catalogue.EventCode.CALL_SHED,
            user_request_id="r1",
            fields={"place": "entry"},
        )
    )
    record(messages.EventRecord(code=catalogue.EventCode.NODE_READY))
    shed, ready = events.select()
    assert shed.stamp < ready.stamp
    assert counts.get_totals()["admission.shed"] == 1
