from bergamotdeal.calls import messages
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import ring


def _event(stamp, request="", code=catalogue.EventCode.CALL_ARRIVED):
    return stamp, messages.EventRecord(code=code, user_request_id=request)


def _stamps(events):
    return [event.stamp for event in events]


def test_the_oldest_events_give_way():
    events = ring.EventRing(capacity=4)
    for stamp in range(10):
        events.add(*_event(stamp, request="r"))
    assert _stamps(events.select()) == [6, 7, 8, 9]


def test_traffic_does_not_push_out_the_events_of_the_node():
    events = ring.EventRing(capacity=4)
    events.add(*_event(1, code=catalogue.EventCode.PRESET_IN_FORCE))
    for stamp in range(2, 100):
        events.add(*_event(stamp, request="r"))
    assert _stamps(events.select())[0] == 1
    assert len(events) == 5


def test_select_filters():
    events = ring.EventRing(capacity=20)
    for stamp in range(10):
        events.add(*_event(stamp, request="ab"[stamp % 2]))
    events.add(*_event(10, "a", catalogue.EventCode.CALL_SHED))
    shed = events.select(code=catalogue.EventCode.CALL_SHED)
    assert _stamps(shed) == [10]
    assert _stamps(events.select(user_request_id="a", since=5)) == [6, 8, 10]
