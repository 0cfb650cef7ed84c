import hypothesis
from hypothesis import strategies

from bergamotdeal.telemetry import clock


class _FakeWallClock:
    def __init__(self, now=1_000):
        self.now = now

    def __call__(self):
        return self.now


def test_now_increases_while_wall_time_stands_still_or_goes_back():
    wall_clock = _FakeWallClock()
    hybrid_clock = clock.HybridLogicalClock(wall_ms=wall_clock)
    stamps = [hybrid_clock.now(), hybrid_clock.now()]
    wall_clock.now -= 500
    stamps.append(hybrid_clock.now())
    wall_clock.now += 5_000
    stamps.append(hybrid_clock.now())
    assert stamps == sorted(set(stamps))
    assert clock.to_wall_ms(stamps[-1]) == wall_clock.now


def test_observe_ignores_stamp_beyond_max_drift():
    wall_clock = _FakeWallClock()
    hybrid_clock = clock.HybridLogicalClock(wall_ms=wall_clock)
    future_stamp = clock.from_wall_ms(wall_clock.now + clock.MAX_DRIFT_MS + 1)
    assert not hybrid_clock.observe(future_stamp)
    assert clock.to_wall_ms(hybrid_clock.now()) == wall_clock.now


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.integers(0, 2),
            strategies.integers(-20, 20),
        ),
        max_size=60,
    )
)
def test_now_after_observe_exceeds_received_stamp(messages):
    wall_clocks = [
        _FakeWallClock(1_000),
        _FakeWallClock(1_400),
        _FakeWallClock(700),
    ]
    clocks = [
        clock.HybridLogicalClock(wall_ms=wall_clock)
        for wall_clock in wall_clocks
    ]
    for sender, receiver, elapsed_ms in messages:
        wall_clocks[sender].now += elapsed_ms
        sent_stamp = clocks[sender].now()
        assert clocks[receiver].observe(sent_stamp)
        assert clocks[receiver].now() > sent_stamp
