"""The HTTP client against the stand-in, with each of its faults.

The reactor of the test process is driven by hand, so no plug-in is needed.
"""

import pytest
import result
from twisted.internet import reactor

from bergamotdeal.settings import model as settings
from bergamotdeal.store import core
from bergamotdeal.store import http
from standins import store as standin

DEADLINE_S = 10.0
Kind = core.FailureKind


def wait(answer, deadline_s=DEADLINE_S):
    """Runs the reactor until a deferred has fired."""
    outcomes = []
    answer.addBoth(outcomes.append)
    end = reactor.seconds() + deadline_s
    while not outcomes:
        assert reactor.seconds() < end, "no answer in time"
        reactor.iterate(0.01)
    return outcomes[0]


def wait_until(condition, deadline_s=DEADLINE_S):
    end = reactor.seconds() + deadline_s
    while not condition():
        assert reactor.seconds() < end, "condition not met in time"
        reactor.iterate(0.01)


@pytest.fixture
def platform():
    store, listening = standin.listen(reactor=reactor, token="secret")
    clients = []

    def client(**options):
        section = settings.StoreSection(
            **{
                "address": "127.0.0.1",
                "port": listening.getHost().port,
                "token": "secret",
                "calls_per_minute": 600,
                **options,
            }
        )
        clients.append(http.HttpStore(settings=section, reactor=reactor))
        return clients[-1]

    store.client = client
    yield store
    store.control({"down": True})
    for used in clients:
        wait(used.close())
    wait(listening.stopListening())


def kind(outcome):
    return outcome.unwrap_err().kind


def test_versions_and_conditional_writes(platform):
    client = platform.client()
    assert kind(wait(client.get("presets/a"))) is Kind.NOT_FOUND
    put = client.put
    assert wait(put("presets/a", b"1", expected_version=0)) == result.Ok(1)
    assert wait(put("presets/a", b"2", expected_version=1)) == result.Ok(2)
    again = wait(put("presets/a", b"3", expected_version=1))
    assert kind(again) is Kind.CONFLICT
    assert not again.unwrap_err().may_have_applied
    stored = wait(client.get("presets/a")).unwrap()
    assert (stored.version, stored.value) == (2, b"2")


def test_listing_by_prefix(platform):
    client = platform.client()
    for key in ("presets/b", "presets/a x", "in-force"):
        wait(client.put(key, b"x", expected_version=0)).unwrap()
    listed = wait(client.list("presets/")).unwrap()
    assert [entry.key for entry in listed] == ["presets/a x", "presets/b"]


def test_watch_sees_a_write_and_ends_without_one(platform):
    client = platform.client()
    assert wait(client.watch("k", after_version=0, timeout_s=0.05)).is_ok()
    waiting = client.watch("k", after_version=0, timeout_s=30)
    wait_until(lambda: platform.report()["waiting"] == 1)
    wait(client.put("k", b"v", expected_version=0)).unwrap()
    assert wait(waiting).unwrap().value == b"v"
    at_once = wait(client.watch("k", after_version=0, timeout_s=30))
    assert at_once.unwrap().version == 1


def test_dropped_watch_is_unavailable(platform):
    waiting = platform.client().watch("k", after_version=0, timeout_s=30)
    wait_until(lambda: platform.report()["waiting"] == 1)
    platform.control({"drop_watches": True})
    assert kind(wait(waiting)) is Kind.UNAVAILABLE


def test_cancelled_watch_frees_the_store(platform):
    waiting = platform.client().watch("k", after_version=0, timeout_s=30)
    wait_until(lambda: platform.report()["waiting"] == 1)
    waiting.cancel()
    assert wait(waiting).is_err()
    wait_until(lambda: platform.report()["waiting"] == 0)


@pytest.mark.parametrize("warm", [False, True])
def test_lost_answer_is_not_sent_again(platform, warm):
    """A reused connection is where an HTTP pool would send once more."""
    client = platform.client()
    if warm:
        wait(client.get("k"))
    platform.control({"lose_writes": 1})
    lost = wait(client.put("k", b"v", expected_version=0)).unwrap_err()
    assert lost.kind is Kind.UNAVAILABLE
    assert lost.may_have_applied
    assert platform.counts_by_operation["put"] == 1
    assert wait(client.get("k")).unwrap().value == b"v"


def test_lost_read_on_a_reused_connection_is_not_sent_again(platform):
    client = platform.client()
    wait(client.get("k"))
    platform.control({"down": True})
    assert kind(wait(client.get("k"))) is Kind.UNAVAILABLE
    assert platform.counts_by_operation["get"] == 2


def test_write_refused_before_it_took_effect(platform):
    client = platform.client()
    platform.control({"refuse_writes": 1})
    lost = wait(client.put("k", b"v", expected_version=0)).unwrap_err()
    assert lost.may_have_applied
    assert kind(wait(client.get("k"))) is Kind.NOT_FOUND


def test_down_and_back(platform):
    client = platform.client()
    platform.control({"down": True})
    assert kind(wait(client.get("k"))) is Kind.UNAVAILABLE
    platform.control({"down": False})
    assert kind(wait(client.get("k"))) is Kind.NOT_FOUND


def test_slow_answer_ends_by_timeout(platform):
    platform.control({"slow_s": 60.0})
    outcome = wait(platform.client().get("k"))
    assert kind(outcome) is Kind.UNAVAILABLE


def test_rate_limit_tells_when_to_come_back(platform):
    platform.control({"calls_per_s": 1})
    client = platform.client()
    failures = [
        outcome.unwrap_err()
        for outcome in [wait(client.get("k")) for _ in range(5)]
    ]
    limited = [f for f in failures if f.kind is Kind.RATE_LIMITED]
    assert limited
    assert limited[0].retry_after_s == 1.0


def test_wrong_token(platform):
    client = platform.client(token="other")
    assert kind(wait(client.get("k"))) is Kind.UNAUTHORIZED


def test_budget_is_spent_without_calling(platform):
    client = platform.client(calls_per_minute=3)
    outcomes = [wait(client.get("k")) for _ in range(5)]
    assert [kind(o) for o in outcomes].count(Kind.BUDGET_SPENT) == 2
    assert platform.counts_by_operation["get"] == 3


def test_nobody_listening():
    section = settings.StoreSection(address="127.0.0.1", port=1)
    client = http.HttpStore(settings=section, reactor=reactor)
    assert kind(wait(client.get("k"))) is Kind.UNAVAILABLE
