import gc

from twisted import logger
from twisted.internet import defer

from bergamotdeal.node import failure_observer
from bergamotdeal.telemetry import catalogue


def _records(act):
    records = []
    observer = failure_observer.FailureObserver(record=records.append)
    logger.globalLogPublisher.addObserver(observer.observe)
    try:
        act()
    finally:
        logger.globalLogPublisher.removeObserver(observer.observe)
    return records


def test_a_forgotten_failure_is_an_event():
    def forget():
        defer.fail(RuntimeError("forgotten"))
        gc.collect()

    records = _records(forget)
    assert {r.code for r in records} == {catalogue.EventCode.TASK_FAILED}
    assert any("forgotten" in r.fields["trace"] for r in records)


def test_an_error_without_a_trace_is_an_event():
    log = logger.Logger(namespace="peer")
    (record,) = _records(lambda: log.error("{what} broke", what="link"))
    assert record.fields == {"task": "peer", "trace": "link broke"}


def test_a_long_trace_is_cut():
    log = logger.Logger(namespace="peer")
    (record,) = _records(lambda: log.error("x" * 10_000))
    length = len(record.fields["trace"])
    assert length == failure_observer.MAX_TRACE_CHARS


def test_what_is_no_error_is_no_event():
    log = logger.Logger(namespace="peer")
    assert _records(lambda: log.info("fine")) == []
