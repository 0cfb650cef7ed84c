from bergamotdeal.node import change_watch
from bergamotdeal.node import status
from bergamotdeal.telemetry import catalogue

EventCode = catalogue.EventCode


def _record_steps(*steps):
    records = []
    recorder = change_watch.ServerChangeRecorder(record=records.append)
    for limit, threshold in steps:
        recorder.record_changes(
            status.ServerStatus(
                service="kitview",
                slots=50,
                limit=limit,
                thresholds_by_class={"critical": 1.0, "browse": threshold},
            )
        )
    return [(r.code, *r.fields.values()) for r in records]


def test_record_changes_with_open_threshold_records_no_event():
    assert _record_steps((50, 1.0), (50, 1.0)) == [
        (EventCode.LIMIT_CHANGED, 50)
    ]


def test_threshold_that_leaves_or_reaches_open_is_recorded():
    assert _record_steps((50, 1.0), (50, 0.99), (50, 0.97), (50, 1.0))[1:] == [
        (EventCode.THRESHOLD_CHANGED, "browse", 0.99),
        (EventCode.THRESHOLD_CHANGED, "browse", 1.0),
    ]


def test_small_threshold_changes_accumulate_to_an_event():
    steps = [(50, 0.5 - i / 64) for i in range(9)]
    assert _record_steps(*steps)[1:] == [
        (EventCode.THRESHOLD_CHANGED, "browse", 0.5),
        (EventCode.THRESHOLD_CHANGED, "browse", 0.438),
        (EventCode.THRESHOLD_CHANGED, "browse", 0.375),
    ]


def test_small_limit_changes_are_not_recorded():
    assert _record_steps((50, 1.0), (54, 1.0), (46, 1.0), (44, 1.0)) == [
        (EventCode.LIMIT_CHANGED, 50),
        (EventCode.LIMIT_CHANGED, 44),
    ]


def test_record_changes_without_server_records_no_event():
    records = []
    change_watch.ServerChangeRecorder(record=records.append).record_changes(
        None
    )
    assert records == []
