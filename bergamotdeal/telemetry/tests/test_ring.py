from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records
from bergamotdeal.telemetry import ring


def _stamped_record(stamp, request="", code=catalogue.EventCode.CALL_ARRIVED):
    return stamp, records.EventRecord(code=code, user_request_id=request)


def _stamps(events):
    return [event.stamp for event in events]


def test_add_to_full_ring_drops_oldest_events():
    buffer = ring.EventRing(capacity=4)
    for stamp in range(10):
        buffer.add(*_stamped_record(stamp, request="r"))
    assert _stamps(buffer.select()) == [6, 7, 8, 9]


def test_request_events_do_not_evict_node_events():
    buffer = ring.EventRing(capacity=4)
    buffer.add(*_stamped_record(1, code=catalogue.EventCode.PRESET_IN_FORCE))
    for stamp in range(2, 100):
        buffer.add(*_stamped_record(stamp, request="r"))
    assert _stamps(buffer.select())[0] == 1
    assert len(buffer) == 5


def test_select_filters_by_code_request_and_stamp():
    buffer = ring.EventRing(capacity=20)
    for stamp in range(10):
        buffer.add(*_stamped_record(stamp, request="ab"[stamp % 2]))
    buffer.add(*_stamped_record(10, "a", catalogue.EventCode.CALL_SHED))
    selected = buffer.select(code=catalogue.EventCode.CALL_SHED)
    assert _stamps(selected) == [10]
    assert _stamps(buffer.select(user_request_id="a", since=5)) == [6, 8, 10]
