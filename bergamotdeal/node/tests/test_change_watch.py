from bergamotdeal.node import change_watch
from bergamotdeal.node import status
from bergamotdeal.telemetry import catalogue

Code = catalogue.EventCode


def _look(*steps):
    records = []
    watch = change_watch.ChangeWatch(record=records.append)
    for limit, browse in steps:
        watch.look(
            status.ServerStatus(
                service="kitview",
                slots=50,
                limit=limit,
                thresholds_by_class={"critical": 1.0, "browse": browse},
            )
        )
    return [(r.code, *r.fields.values()) for r in records]


def test_an_open_threshold_is_no_event():
    assert _look((50, 1.0), (50, 1.0)) == [(Code.LIMIT_CHANGED, 50)]


def test_leaving_and_reaching_the_open_threshold_are_events():
    assert _look((50, 1.0), (50, 0.99), (50, 0.97), (50, 1.0))[1:] == [
        (Code.THRESHOLD_CHANGED, "browse", 0.99),
        (Code.THRESHOLD_CHANGED, "browse", 1.0),
    ]


def test_small_steps_add_up_to_an_event():
    steps = [(50, 0.5 - i / 64) for i in range(9)]
    assert _look(*steps)[1:] == [
        (Code.THRESHOLD_CHANGED, "browse", 0.5),
        (Code.THRESHOLD_CHANGED, "browse", 0.438),
        (Code.THRESHOLD_CHANGED, "browse", 0.375),
    ]


def test_limits_that_barely_move_are_no_event():
    assert _look((50, 1.0), (54, 1.0), (46, 1.0), (44, 1.0)) == [
        (Code.LIMIT_CHANGED, 50),
        (Code.LIMIT_CHANGED, 44),
    ]


def test_no_server_is_no_event():
    records = []
    change_watch.ChangeWatch(record=records.append).look(None)
    assert records == []
