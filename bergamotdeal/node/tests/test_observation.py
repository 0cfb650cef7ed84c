import pytest
from twisted.internet import task

from bergamotdeal.node import observation
from bergamotdeal.node import status
from bergamotdeal.settings import model
from bergamotdeal.telemetry import catalogue


def _start_telemetry(read_status, *, statsd_port):
    clock = task.Clock()
    node_telemetry = observation.NodeTelemetry(
        settings=model.Settings(
            node=model.NodeSection(host_id="a", data_centre="prai"),
            peer=model.PeerSection(key="0123456789abcdef"),
            statsd=model.StatsdSection(
                address="127.0.0.1" if statsd_port else "", port=statsd_port
            ),
        ),
        reactor=clock,
    )
    node_telemetry.start(read_status=read_status)
    return node_telemetry, clock


def _status(*, with_members):
    return status.NodeStatus(
        host_id="a",
        incarnation="b",
        data_centre="prai",
        region="default",
        ready=True,
        server=status.ServerStatus(service="kitview", slots=9, limit=9),
    )


def test_flush_with_failing_status_continues():
    def read_status(*, with_members):
        raise RuntimeError("no status")

    node_telemetry, clock = _start_telemetry(read_status, statsd_port=9)
    for _ in range(3):
        clock.advance(1)
    events = node_telemetry.recorder.ring.select()
    assert len(events) == 3
    assert "no status" in events[0].fields_by_name["trace"]


@pytest.mark.parametrize(
    ("statsd_port", "expected_member_reads"), [(9, 3), (0, 0)]
)
def test_status_includes_members_only_for_gauge_updates(
    statsd_port, expected_member_reads
):
    reads = []

    def read_status(*, with_members):
        reads.append(with_members)
        return _status(with_members=with_members)

    node_telemetry, clock = _start_telemetry(
        read_status, statsd_port=statsd_port
    )
    for _ in range(21):
        clock.advance(1)
    assert (len(reads), sum(reads)) == (21, expected_member_reads)
    (event,) = node_telemetry.recorder.ring.select()
    assert event.code is catalogue.EventCode.LIMIT_CHANGED


def test_flush_after_pause_records_lag_once(monkeypatch):
    node_telemetry, clock = _start_telemetry(_status, statsd_port=0)
    lags = []
    monkeypatch.setattr(
        node_telemetry.recorder.metrics,
        "time",
        lambda timing, value: lags.append(value),
    )
    for step in (1, 1, 9.5, 0.5, 1, 1):
        clock.advance(step)
    assert lags == [0, 0, 8500, 0, 0, 0]
