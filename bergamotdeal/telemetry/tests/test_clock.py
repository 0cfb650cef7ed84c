import hypothesis
from hypothesis import strategies

from bergamotdeal.telemetry import clock


class _Wall:
    def __init__(self, now=1_000):
        self.now = now

    def __call__(self):
        return self.now


def test_stamps_grow_while_the_wall_time_stands_or_goes_back():
    wall = _Wall()
    hybrid = clock.HybridLogicalClock(wall_ms=wall)
    stamps = [hybrid.now(), hybrid.now()]
    wall.now -= 500
    stamps.append(hybrid.now())
    wall.now += 5_000
    stamps.append(hybrid.now())
    assert stamps == sorted(set(stamps))
    assert clock.to_wall_ms(stamps[-1]) == wall.now


def test_a_stamp_far_ahead_is_ignored():
    wall = _Wall()
    hybrid = clock.HybridLogicalClock(wall_ms=wall)
    ahead = clock.from_wall_ms(wall.now + clock.MAX_DRIFT_MS + 1)
    assert not hybrid.observe(ahead)
    assert clock.to_wall_ms(hybrid.now()) == wall.now


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
def test_an_effect_is_never_stamped_before_its_cause(messages):
    walls = [_Wall(1_000), _Wall(1_400), _Wall(700)]
    clocks = [clock.HybridLogicalClock(wall_ms=wall) for wall in walls]
    for sender, receiver, step in messages:
        walls[sender].now += step
        sent = clocks[sender].now()
        assert clocks[receiver].observe(sent)
        assert clocks[receiver].now() > sent
