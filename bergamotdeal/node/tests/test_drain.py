"""Tests of the graceful drain: it waits for work in progress, up to a limit."""

from twisted.internet import task

from bergamotdeal.node import drain


class Harness:
    def __init__(self):
        self.clock = task.Clock()
        self.idle = True
        self.steps = []
        self.drain = drain.Drain(
            reactor=self.clock,
            is_idle=lambda: self.idle,
            on_started=lambda: self.steps.append("started"),
            on_finished=lambda: self.steps.append("finished"),
        )

    def advance(self, seconds):
        self.clock.pump([0.1] * round(seconds / 0.1))


def test_idle_node_finishes_after_the_settle_time():
    harness = Harness()
    harness.drain.start()
    harness.advance(drain.SETTLE_S - 0.1)
    assert harness.steps == ["started"]
    harness.advance(0.3)
    assert harness.steps == ["started", "finished"]


def test_drain_finishes_after_work_in_progress_ends():
    harness = Harness()
    harness.idle = False
    harness.drain.start()
    harness.advance(10)
    assert harness.steps == ["started"]
    harness.idle = True
    harness.advance(0.2)
    assert harness.steps == ["started", "finished"]


def test_drain_with_stuck_work_finishes_after_the_maximum_time():
    harness = Harness()
    harness.idle = False
    harness.drain.start()
    harness.advance(drain.MAX_DRAIN_S + 1)
    assert harness.steps == ["started", "finished"]


def test_second_start_has_no_effect():
    harness = Harness()
    harness.drain.start()
    harness.drain.start()
    harness.advance(5)
    assert harness.steps == ["started", "finished"]


def test_entry_closes_after_its_open_time():
    clock = task.Clock()
    steps = []
    draining = drain.Drain(
        reactor=clock,
        is_idle=lambda: True,
        on_started=lambda: steps.append("started"),
        on_entry_closed=lambda remaining_s: steps.append(
            ("closed", round(remaining_s, 1))
        ),
        on_finished=lambda: steps.append("finished"),
        entry_open_s=2.5,
        max_drain_s=5.0,
    )
    draining.start()
    clock.pump([0.1] * 24)
    assert steps == ["started"]
    clock.pump([0.1] * 3)
    assert steps == ["started", ("closed", 2.5), "finished"]


class Entry:
    """Entry listener with connections that close when they are idle."""

    def __init__(self, open_connections):
        self.open_connections = open_connections

    def close_idle_connections(self):
        self.open_connections = 0


def measure_stop(*, open_connections=0, unsent_until=0.0):
    """Returns the time after which the reactor is stopped."""
    clock = task.Clock()
    stops = []
    clock.stop = lambda: stops.append(clock.seconds())
    drain.stop_when_flushed(
        reactor=clock,
        entry=Entry(open_connections),
        has_unsent_data=lambda: clock.seconds() < unsent_until,
        flush_s=0.4,
        longest_s=3.0,
    )
    clock.pump([0.01] * 500)
    (stopped_at,) = stops
    return stopped_at


def test_exit_is_prompt_when_nothing_is_owed():
    assert measure_stop() < 0.05
    assert measure_stop(open_connections=3) < 0.2


def test_exit_waits_for_answers_that_are_still_being_read():
    """Guards against answers that end when the process does."""
    assert 2.0 <= measure_stop(unsent_until=2.0) < 2.1
    assert 2.0 <= measure_stop(open_connections=3, unsent_until=2.0) < 2.1


def test_reader_that_never_reads_on_does_not_hold_the_exit_for_longer():
    assert 3.0 <= measure_stop(open_connections=1, unsent_until=99.0) < 3.1


def test_remaining_time_is_that_until_the_longest_drain_is_over():
    harness = Harness()
    assert harness.drain.remaining_s == drain.MAX_DRAIN_S
    harness.drain.start()
    harness.advance(10.0)
    assert round(harness.drain.remaining_s, 3) == drain.MAX_DRAIN_S - 10.0
    harness.advance(drain.MAX_DRAIN_S)
    assert harness.drain.remaining_s == 0.0


# Guards against a drain that asks other nodes for answers too late to get them.
def test_end_is_announced_before_the_longest_time_is_over():
    clock = task.Clock()
    steps = []
    draining = drain.Drain(
        reactor=clock,
        is_idle=lambda: False,
        on_started=lambda: None,
        on_ending=lambda: steps.append(("ending", round(clock.seconds(), 1))),
        on_finished=lambda: steps.append(
            ("finished", round(clock.seconds(), 1))
        ),
        max_drain_s=5.0,
    )
    draining.start()
    clock.pump([0.02] * 300)
    assert steps == [("ending", 4.8), ("finished", 5.0)]
