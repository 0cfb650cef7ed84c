import io
import json

import pytest

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import log
from bergamotdeal.telemetry import ring


class _Log:
    def __init__(self, level):
        self.stream = io.StringIO()
        self.now = 0.0
        self.log = log.EventLog(
            level=level,
            stream=self.stream,
            host_id="kitview-1",
            monotonic=lambda: self.now,
        )

    def lines(self):
        return [
            json.loads(line) for line in self.stream.getvalue().split("\n")[:-1]
        ]


def _event(code, request="", **fields):
    return ring.Event(
        code=code, stamp=7, user_request_id=request, fields_by_name=fields
    )


SWITCH = _event(catalogue.EventCode.PRESET_IN_FORCE, name="peak", epoch=4)
STEP = _event(catalogue.EventCode.RUN_STARTED, "r1", run=4)
SHED = _event(catalogue.EventCode.CALL_SHED, "r1", place="entry", reason="x")


def test_an_event_is_one_json_line():
    logs = _Log("info")
    logs.log.write(SWITCH)
    (line,) = logs.lines()
    assert line["event"] == "preset peak in force, epoch 4"
    assert line["number"] == 700
    assert line["host"] == "kitview-1"
    assert line["level"] == "info"
    assert line["fields"] == {"name": "peak", "epoch": 4}


@pytest.mark.parametrize(("level", "count"), [("debug", 2), ("info", 1)])
def test_steps_of_requests_are_logged_at_debug_only(level, count):
    logs = _Log(level)
    logs.log.write(SWITCH)
    logs.log.write(STEP)
    assert len(logs.lines()) == count


def test_refusals_of_requests_are_logged_at_info():
    logs = _Log("info")
    logs.log.write(SHED)
    (line,) = logs.lines()
    assert line["request"] == "r1"


def test_an_internal_failure_is_an_error_also_with_a_request():
    logs = _Log("error")
    code = catalogue.EventCode.CALL_FAILED_INTERNALLY
    logs.log.write(_event(code, "r1", trace="t"))
    assert logs.lines()[0]["level"] == "error"


def test_a_flood_is_bounded_and_counted():
    logs = _Log("info")
    for _ in range(log.MAX_LINES_PER_CODE_PER_SECOND + 5):
        logs.log.write(SWITCH)
    assert len(logs.lines()) == log.MAX_LINES_PER_CODE_PER_SECOND
    logs.now = 1.0
    logs.log.write(SWITCH)
    assert logs.lines()[-1]["left_out"] == 5


def test_a_missing_field_does_not_fail():
    code = catalogue.EventCode.PRESET_IN_FORCE
    assert catalogue.format_message(code, {"name": "a"}) == (
        "preset a in force, epoch ?"
    )
