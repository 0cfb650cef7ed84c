import io
import json

import pytest

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import log
from bergamotdeal.telemetry import ring


class _CapturedLog:
    def __init__(self, level):
        self.stream = io.StringIO()
        self.now = 0.0
        self.event_log = log.EventLog(
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


PRESET_SWITCH = _event(
    catalogue.EventCode.PRESET_IN_FORCE, name="peak", epoch=4
)
RUN_START = _event(catalogue.EventCode.RUN_STARTED, "r1", run=4)
SHED_CALL = _event(
    catalogue.EventCode.CALL_SHED, "r1", place="entry", reason="x"
)


def test_write_emits_event_as_one_json_line():
    captured = _CapturedLog("info")
    captured.event_log.write(PRESET_SWITCH)
    (line,) = captured.lines()
    assert line["event"] == "preset peak in force, epoch 4"
    assert line["number"] == 700
    assert line["host"] == "kitview-1"
    assert line["level"] == "info"
    assert line["fields"] == {"name": "peak", "epoch": 4}


@pytest.mark.parametrize(("level", "count"), [("debug", 2), ("info", 1)])
def test_write_logs_request_event_at_debug_level_only(level, count):
    captured = _CapturedLog(level)
    captured.event_log.write(PRESET_SWITCH)
    captured.event_log.write(RUN_START)
    assert len(captured.lines()) == count


def test_write_logs_shed_call_at_info_level():
    captured = _CapturedLog("info")
    captured.event_log.write(SHED_CALL)
    (line,) = captured.lines()
    assert line["request"] == "r1"


def test_write_logs_internal_failure_of_request_at_error_level():
    captured = _CapturedLog("error")
    code = catalogue.EventCode.CALL_FAILED_INTERNALLY
    captured.event_log.write(_event(code, "r1", trace="t"))
    assert captured.lines()[0]["level"] == "error"


def test_write_suppresses_and_counts_lines_above_rate_limit():
    captured = _CapturedLog("info")
    for _ in range(log.MAX_LINES_PER_CODE_PER_SECOND + 5):
        captured.event_log.write(PRESET_SWITCH)
    assert len(captured.lines()) == log.MAX_LINES_PER_CODE_PER_SECOND
    captured.now = 1.0
    captured.event_log.write(PRESET_SWITCH)
    assert captured.lines()[-1]["left_out"] == 5


def test_format_message_replaces_missing_field_by_question_mark():
    code = catalogue.EventCode.PRESET_IN_FORCE
    assert catalogue.format_message(code, {"name": "a"}) == (
        "preset a in force, epoch ?"
    )
