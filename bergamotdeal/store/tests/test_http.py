"""HTTP store client against the stand-in store and its faults.

The tests iterate the global reactor themselves, so no pytest plug-in is needed.
"""

import pytest
import result
from twisted.internet import reactor

from bergamotdeal.settings import model as settings
from bergamotdeal.store import core
from bergamotdeal.store import eras
from bergamotdeal.store import http
from standins import store as standin

DEADLINE_S = 10.0
Kind = core.FailureKind


def wait(deferred, deadline_s=DEADLINE_S):
    """Iterates the reactor until a deferred has fired."""
    outcomes = []
    deferred.addBoth(outcomes.append)
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
def store_server():
    server, listening = standin.listen(reactor=reactor, token="secret")
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

    server.client = client
    yield server
    server.control({"down": True})
    for opened in clients:
        wait(opened.close())
    wait(listening.stopListening())


def failure_kind(outcome):
    return outcome.unwrap_err().kind


def test_write_with_an_outdated_version_is_a_conflict(store_server):
    client = store_server.client()
    assert failure_kind(wait(client.get("presets/a"))) is Kind.NOT_FOUND
    put = client.put
    first, second = (eras.combine(store_server.era, n) for n in (1, 2))
    written = wait(put("presets/a", b"1", expected_version=0))
    assert written == result.Ok(first)
    written = wait(put("presets/a", b"2", expected_version=first))
    assert written == result.Ok(second)
    again = wait(put("presets/a", b"3", expected_version=first))
    assert failure_kind(again) is Kind.CONFLICT
    assert not again.unwrap_err().may_have_applied
    stored = wait(client.get("presets/a")).unwrap()
    assert (stored.version, stored.value) == (second, b"2")


def test_list_returns_only_keys_with_the_prefix(store_server):
    client = store_server.client()
    for key in ("presets/b", "presets/a x", "in-force"):
        wait(client.put(key, b"x", expected_version=0)).unwrap()
    listed = wait(client.list("presets/")).unwrap()
    assert [entry.key for entry in listed] == ["presets/a x", "presets/b"]


def test_watch_returns_on_a_write_or_after_its_timeout(store_server):
    client = store_server.client()
    assert wait(client.watch("k", after_version=0, timeout_s=0.05)).is_ok()
    waiting = client.watch("k", after_version=0, timeout_s=30)
    wait_until(lambda: store_server.report()["waiting"] == 1)
    wait(client.put("k", b"v", expected_version=0)).unwrap()
    assert wait(waiting).unwrap().value == b"v"
    immediate = wait(client.watch("k", after_version=0, timeout_s=30))
    assert immediate.unwrap().version == eras.combine(store_server.era, 1)


def test_watch_closed_by_the_store_fails_as_unavailable(store_server):
    waiting = store_server.client().watch("k", after_version=0, timeout_s=30)
    wait_until(lambda: store_server.report()["waiting"] == 1)
    store_server.control({"drop_watches": True})
    assert failure_kind(wait(waiting)) is Kind.UNAVAILABLE


def test_cancelled_watch_closes_its_connection(store_server):
    waiting = store_server.client().watch("k", after_version=0, timeout_s=30)
    wait_until(lambda: store_server.report()["waiting"] == 1)
    waiting.cancel()
    assert wait(waiting).is_err()
    wait_until(lambda: store_server.report()["waiting"] == 0)


@pytest.mark.parametrize("reuses_connection", [False, True])
def test_write_is_not_retried_after_a_lost_answer(
    store_server, reuses_connection
):
    """An HTTP connection pool may retry by itself on a reused connection."""
    client = store_server.client()
    if reuses_connection:
        wait(client.get("k"))
    store_server.control({"lose_writes": 1})
    lost = wait(client.put("k", b"v", expected_version=0)).unwrap_err()
    assert lost.kind is Kind.UNAVAILABLE
    assert lost.may_have_applied
    assert store_server.counts_by_operation["put"] == 1
    assert wait(client.get("k")).unwrap().value == b"v"


def test_read_is_not_retried_when_a_reused_connection_is_lost(store_server):
    client = store_server.client()
    wait(client.get("k"))
    store_server.control({"down": True})
    assert failure_kind(wait(client.get("k"))) is Kind.UNAVAILABLE
    assert store_server.counts_by_operation["get"] == 2


def test_lost_write_request_is_reported_as_maybe_applied(store_server):
    client = store_server.client()
    store_server.control({"refuse_writes": 1})
    lost = wait(client.put("k", b"v", expected_version=0)).unwrap_err()
    assert lost.may_have_applied
    assert failure_kind(wait(client.get("k"))) is Kind.NOT_FOUND


def test_check_tells_whether_the_store_answers(store_server):
    client = store_server.client()
    assert wait(client.check()) == result.Ok(None)
    store_server.control({"down": True})
    assert wait(client.check()).is_err()


def test_client_recovers_after_an_outage(store_server):
    client = store_server.client()
    store_server.control({"down": True})
    assert failure_kind(wait(client.get("k"))) is Kind.UNAVAILABLE
    store_server.control({"down": False})
    assert failure_kind(wait(client.get("k"))) is Kind.NOT_FOUND


def test_slow_answer_fails_as_unavailable_after_the_timeout(store_server):
    store_server.control({"slow_s": 60.0})
    outcome = wait(store_server.client().get("k"))
    assert failure_kind(outcome) is Kind.UNAVAILABLE


def test_rate_limited_failure_carries_retry_after(store_server):
    store_server.control({"calls_per_s": 1})
    client = store_server.client()
    failures = [
        outcome.unwrap_err()
        for outcome in [wait(client.get("k")) for _ in range(5)]
    ]
    limited = [f for f in failures if f.kind is Kind.RATE_LIMITED]
    assert limited
    assert limited[0].retry_after_s == 1.0


def test_wrong_token_is_unauthorized(store_server):
    client = store_server.client(token="other")
    assert failure_kind(wait(client.get("k"))) is Kind.UNAUTHORIZED


def test_exhausted_budget_fails_without_a_request(store_server):
    client = store_server.client(calls_per_minute=3)
    outcomes = [wait(client.get("k")) for _ in range(5)]
    assert [failure_kind(o) for o in outcomes].count(Kind.BUDGET_SPENT) == 2
    assert store_server.counts_by_operation["get"] == 3


def test_refused_connection_fails_as_unavailable():
    section = settings.StoreSection(address="127.0.0.1", port=1)
    client = http.HttpStore(settings=section, reactor=reactor)
    assert failure_kind(wait(client.get("k"))) is Kind.UNAVAILABLE


def test_write_that_expects_a_version_of_an_earlier_era_conflicts(store_server):
    """After a restore, version 1 was given out again."""
    client = store_server.client()
    store_server.control({"save_copy": True})
    first = wait(client.put("k", b"mine", expected_version=0)).unwrap()
    store_server.control({"restore": True})
    other = store_server.client()
    again = wait(other.put("k", b"other", expected_version=0)).unwrap()
    assert eras.get_revision(again) == eras.get_revision(first)
    assert wait(client.get("k")).unwrap().version == again
    written = wait(client.put("k", b"mine again", expected_version=first))
    assert failure_kind(written) is Kind.CONFLICT
    assert wait(client.get("k")).unwrap().value == b"other"


def test_delete_removes_only_the_expected_version(store_server):
    store = store_server.client()
    put = wait(store.put("nodes/a", b"1", expected_version=core.NO_VERSION))
    version = put.unwrap()
    stale = wait(store.delete("nodes/a", expected_version=version + 1))
    assert stale.err_value.kind is Kind.CONFLICT
    assert wait(store.delete("nodes/a", expected_version=version)).is_ok()
    for outcome in (
        wait(store.get("nodes/a")),
        wait(store.delete("nodes/a", expected_version=version)),
    ):
        assert outcome.err_value.kind is Kind.NOT_FOUND


def test_version_of_a_deleted_object_is_not_given_out_again(store_server):
    store = store_server.client()
    first = wait(store.put("nodes/a", b"1", expected_version=core.NO_VERSION))
    wait(store.delete("nodes/a", expected_version=first.unwrap()))
    again = wait(store.put("nodes/a", b"2", expected_version=core.NO_VERSION))
    assert again.unwrap() > first.unwrap()
    deleted = wait(store.delete("nodes/a", expected_version=first.unwrap()))
    assert deleted.err_value.kind is Kind.CONFLICT
