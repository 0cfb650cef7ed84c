"""A draining node waits for its work, but not for ever."""

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

    def wait(self, seconds):
        self.clock.pump([0.1] * round(seconds / 0.1))


def test_idle_node_settles_before_it_finishes():
    harness = Harness()
    harness.drain.start()
    harness.wait(drain.SETTLE_S - 0.1)
    assert harness.steps == ["started"]
    harness.wait(0.3)
    assert harness.steps == ["started", "finished"]


def test_open_work_holds_the_finish_up():
    harness = Harness()
    harness.idle = False
    harness.drain.start()
    harness.wait(10)
    assert harness.steps == ["started"]
    harness.idle = True
    harness.wait(0.2)
    assert harness.steps == ["started", "finished"]


def test_stuck_work_does_not_hold_it_up_for_ever():
    harness = Harness()
    harness.idle = False
    harness.drain.start()
    harness.wait(drain.MAX_DRAIN_S + 1)
    assert harness.steps == ["started", "finished"]


def test_second_start_does_nothing():
    harness = Harness()
    harness.drain.start()
    harness.drain.start()
    harness.wait(5)
    assert harness.steps == ["started", "finished"]


def test_callers_are_served_until_the_entry_closes():
    clock = task.Clock()
    steps = []
    leaving = drain.Drain(
        reactor=clock,
        is_idle=lambda: True,
        on_started=lambda: steps.append("started"),
        on_entry_closed=lambda: steps.append("closed"),
        on_finished=lambda: steps.append("finished"),
        entry_open_s=2.5,
        max_drain_s=5.0,
    )
    leaving.start()
    clock.pump([0.1] * 24)
    assert steps == ["started"]
    clock.pump([0.1] * 3)
    assert steps == ["started", "closed", "finished"]
