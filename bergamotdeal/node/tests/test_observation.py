from twisted.internet import task

from bergamotdeal.node import observation
from bergamotdeal.settings import model


def _observe(read_status, *, statsd_port):
    clock = task.Clock()
    made = observation.Observation(
        settings=model.Settings(
            node=model.NodeSection(host_id="a", data_centre="prai"),
            peer=model.PeerSection(key="0123456789abcdef"),
            statsd=model.StatsdSection(
                address="127.0.0.1" if statsd_port else "", port=statsd_port
            ),
        ),
        reactor=clock,
    )
    made.start(read_status=read_status)
    return made, clock


def test_a_failing_status_does_not_end_the_flushes():
    asked = []

    def read_status():
        asked.append(1)
        raise RuntimeError("no status")

    made, clock = _observe(read_status, statsd_port=9)
    for _ in range(21):
        clock.advance(1)
    assert len(asked) == 3
    events = made.recorder.ring.select()
    assert "no status" in events[0].fields_by_name["trace"]


def test_without_statsd_the_status_is_not_read():
    asked = []
    _, clock = _observe(lambda: asked.append(1), statsd_port=0)
    for _ in range(21):
        clock.advance(1)
    assert asked == []


def test_a_pause_is_one_lag_and_leaves_none_behind(monkeypatch):
    made, clock = _observe(lambda: None, statsd_port=0)
    lags = []
    monkeypatch.setattr(
        made.recorder.metrics, "time", lambda timing, value: lags.append(value)
    )
    for step in (1, 1, 9.5, 0.5, 1, 1):
        clock.advance(step)
    assert lags == [0, 0, 8500, 0, 0, 0]
