import random
import socket

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import recorder
from bergamotdeal.telemetry import records
from bergamotdeal.telemetry import ring


def _receive_lines(sock):
    lines = []
    sock.settimeout(0.2)
    while True:
        try:
            lines += sock.recv(2000).decode().split("\n")
        except TimeoutError:
            return lines


def test_flush_sends_values_to_statsd_once():
    node_metrics = metrics.Metrics(rng=random.Random(1))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        port = server.getsockname()[1]
        client = metrics.build_statsd_client(
            address="127.0.0.1", port=port, prefix="b"
        )
        node_metrics.increment(metrics.Counter.CALLS_ENTRY, 3)
        node_metrics.set_gauge(metrics.Gauge.EPOCH, 7)
        node_metrics.time(metrics.Timing.CALL_MS, 1.5)
        node_metrics.flush(client)
        node_metrics.flush(client)
        lines = _receive_lines(server)
        client.close()
    assert lines == [
        "b.calls.entry:3|c",
        "b.presets.epoch:7|g",
        "b.calls.time.count:1|c",
        "b.calls.time:1.500000|ms",
    ]
    assert node_metrics.get_totals()["calls.entry"] == 3


def test_get_totals_without_statsd_counts_across_flushes():
    node_metrics = metrics.Metrics(rng=random.Random(1))
    assert (
        metrics.build_statsd_client(address="", port=8125, prefix="b") is None
    )
    for _ in range(3):
        node_metrics.increment(metrics.Counter.CALLS_PEER)
        node_metrics.flush(None)
    node_metrics.increment(metrics.Counter.CALLS_PEER)
    assert node_metrics.get_totals()["calls.peer"] == 4


def test_reservoir_sample_is_bounded_and_uniform():
    sample = metrics.ReservoirSample(rng=random.Random(1))
    for value in range(10_000):
        sample.add(value)
    assert sample.count == 10_000
    assert len(sample.values) == metrics.MAX_SAMPLES_PER_FLUSH
    assert 3_000 < sum(sample.values) / len(sample.values) < 7_000


def test_record_stores_and_counts_event():
    event_ring = ring.EventRing(capacity=10)
    node_metrics = metrics.Metrics(rng=random.Random(1))
    record = recorder.EventRecorder(
        hybrid_clock=clock.HybridLogicalClock(wall_ms=lambda: 5),
        event_ring=event_ring,
        node_metrics=node_metrics,
    ).record
    record(
        records.EventRecord(
            code=catalogue.EventCode.CALL_SHED,
            user_request_id="r1",
            fields={"place": "entry"},
        )
    )
    record(records.EventRecord(code=catalogue.EventCode.NODE_READY))
    shed, ready = event_ring.select()
    assert shed.stamp < ready.stamp
    assert node_metrics.get_totals()["admission.shed"] == 1
