import re

import hypothesis
from hypothesis import strategies

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import timeline


def _make_entry(**changes):
    values = {
        "host": "kitview-1",
        "stamp": clock.from_wall_ms(1_700_000_000_123),
        "code": 300,
        "request": "r1",
        "fields": {"place": "entry", "reason": "threshold"},
    }
    return timeline.Entry(**(values | changes))


def test_entry_formats_name_message_and_time():
    entry = _make_entry()
    assert entry.name == "CALL_SHED"
    assert entry.message == "call shed at entry: threshold"
    assert entry.time == "2023-11-14T22:13:20.123Z"


def test_entry_with_unknown_code_shows_number_and_fields():
    entry = _make_entry(code=9999, fields={"a": 1})
    assert entry.name == "9999"
    assert entry.message == "{'a': 1}"


def test_decode_restores_encoded_entries():
    entries = [
        _make_entry(),
        _make_entry(host="b", fields={"n": 1, "f": 0.5, "b": True}),
    ]
    assert timeline.decode(timeline.encode(entries)).unwrap() == entries
    assert timeline.decode(b"").unwrap() == []


@hypothesis.given(strategies.permutations(range(6)))
def test_merge_restores_causal_order(order):
    chain = [_make_entry(host=f"host-{i % 3}", stamp=100 + i) for i in range(6)]
    assert timeline.merge([chain[i] for i in order]) == chain


def test_catalogue_has_message_for_every_event_code():
    assert set(catalogue.MESSAGES_BY_CODE) == set(catalogue.EventCode)


def test_find_event_code_accepts_name_and_number():
    shed = catalogue.EventCode.CALL_SHED
    for query in ("call-shed", "CALL_SHED", "300"):
        assert catalogue.find_event_code(query).unwrap() is shed
    assert catalogue.find_event_code("").unwrap() is None
    assert re.search(
        "no event has", catalogue.find_event_code("999").unwrap_err()
    )
