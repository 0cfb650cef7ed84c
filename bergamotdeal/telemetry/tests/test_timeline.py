import re

import hypothesis
from hypothesis import strategies

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import timeline


def _entry(**changes):
    values = {
        "host": "kitview-1",
        "stamp": clock.from_wall_ms(1_700_000_000_123),
        "code": 300,
        "request": "r1",
        "fields": {"place": "entry", "reason": "threshold"},
    }
    return timeline.Entry(**(values | changes))


def test_an_entry_shows_its_message_and_time():
    entry = _entry()
    assert entry.name == "CALL_SHED"
    assert entry.message == "call shed at entry: threshold"
    assert entry.time == "2023-11-14T22:13:20.123Z"


def test_an_event_of_a_newer_node_is_shown_by_number():
    entry = _entry(code=9999, fields={"a": 1})
    assert entry.name == "9999"
    assert entry.message == "{'a': 1}"


def test_entries_read_back():
    entries = [_entry(), _entry(host="b", fields={"n": 1, "f": 0.5, "b": True})]
    assert timeline.decode(timeline.encode(entries)).unwrap() == entries
    assert timeline.decode(b"").unwrap() == []


@hypothesis.given(strategies.permutations(range(6)))
def test_merging_restores_the_order_of_cause_and_effect(order):
    chain = [_entry(host=f"host-{i % 3}", stamp=100 + i) for i in range(6)]
    assert timeline.merge([chain[i] for i in order]) == chain


def test_every_event_has_a_message():
    assert set(catalogue.MESSAGES_BY_CODE) == set(catalogue.EventCode)


def test_events_are_found_by_name_and_number():
    shed = catalogue.EventCode.CALL_SHED
    for word in ("call-shed", "CALL_SHED", "300"):
        assert catalogue.find_event_code(word).unwrap() is shed
    assert catalogue.find_event_code("").unwrap() is None
    assert re.search("no event", catalogue.find_event_code("999").unwrap_err())
