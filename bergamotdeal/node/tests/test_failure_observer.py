import gc

from twisted import logger
from twisted.internet import defer

from bergamotdeal.node import failure_observer
from bergamotdeal.telemetry import catalogue


def _record_errors(action):
    records = []
    observer = failure_observer.FailureObserver(record=records.append)
    logger.globalLogPublisher.addObserver(observer.observe)
    try:
        action()
    finally:
        logger.globalLogPublisher.removeObserver(observer.observe)
    return records


def test_unhandled_deferred_failure_is_recorded():
    def drop_failed_deferred():
        defer.fail(RuntimeError("forgotten"))
        gc.collect()

    records = _record_errors(drop_failed_deferred)
    assert {r.code for r in records} == {catalogue.EventCode.TASK_FAILED}
    assert any("forgotten" in r.fields["trace"] for r in records)


def test_logged_error_without_failure_is_recorded():
    log = logger.Logger(namespace="peer")
    (record,) = _record_errors(lambda: log.error("{what} broke", what="link"))
    assert record.fields == {"task": "peer", "trace": "link broke"}


def test_long_trace_is_truncated():
    log = logger.Logger(namespace="peer")
    (record,) = _record_errors(lambda: log.error("x" * 10_000))
    length = len(record.fields["trace"])
    assert length == failure_observer.MAX_TRACE_CHARS


def test_info_message_is_not_recorded():
    log = logger.Logger(namespace="peer")
    assert _record_errors(lambda: log.info("fine")) == []
