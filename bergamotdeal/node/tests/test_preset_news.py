"""Tests of the tracking of news of the preset in force."""

from twisted.internet import task

from bergamotdeal.calls import messages
from bergamotdeal.node import preset_news
from bergamotdeal.settings import model


class Harness:
    """News tracking with a store that answers or doesn't."""

    def __init__(self, *, strict=True):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.events = []
        self.reads = 0
        self.is_store_up = True
        self.news = preset_news.PresetNews(
            policy=model.RevocationSection(strict=strict, max_silence_ms=2000),
            reactor=self.clock,
            post=self.events.append,
            read_store=self.read_store,
        )
        self.news.start()

    def read_store(self):
        self.reads += 1
        if self.is_store_up:
            self.news.record()

    def advance(self, seconds):
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)


def test_store_is_read_while_no_other_news_come():
    # Guards against a lone node whose long poll is silent for half a minute.
    harness = Harness()
    harness.advance(10.0)
    assert len(harness.events) >= 10.0 / 2.0
    assert set(map(type, harness.events)) == {messages.PresetConfirmed}
    harness.is_store_up = False
    count = len(harness.events)
    harness.advance(10.0)
    assert len(harness.events) == count
    assert harness.reads > 20


def test_news_of_other_nodes_are_reported_at_a_bounded_rate():
    harness = Harness()
    for _ in range(100):
        harness.news.record()
        harness.advance(0.1)
    assert 5 <= len(harness.events) <= 50
    assert harness.reads == 0


def test_nothing_is_read_or_reported_without_strict_revocation():
    harness = Harness(strict=False)
    harness.news.record()
    harness.advance(10.0)
    assert (harness.reads, harness.events) == (0, [])
