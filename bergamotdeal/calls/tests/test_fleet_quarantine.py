"""A request that crashes its servers is stopped, and others are not."""

from bergamotdeal.calls import core
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors

KINDS = errors.ErrorKind
SENDINGS = 6
RESTART_S = 0.3
SERVERS = 4


def poison():
    return core.Request(
        service="orderline",
        method="GET",
        path="/poison",
        headers=[],
        body=b"",
    )


def innocent(number):
    return core.Request(
        service="orderline",
        method="GET",
        path=f"/kits/{number}",
        headers=[],
        body=b"",
    )


def build():
    made = scenarios.make_pool(scenarios.make_preset(), count=SERVERS)
    deaths = []

    def crash(run):
        if run.start.request.path != "/poison":
            return
        deaths.append(run.host_id)
        made.after(0.001, lambda: made.kill_server(run.host_id))
        made.after(RESTART_S, lambda: made.start_server(run.host_id))

    made.servers.on_run = crash
    return made, deaths


def send(made, request, request_id, *, attempt=0):
    reply = made.call(
        "entry-1", request, user_request_id=request_id, attempt=attempt
    )
    made.run_until(lambda: reply.done)
    return reply


def test_poison_stops_at_two_servers_while_innocents_keep_running():
    made, deaths = build()
    errors_seen = []
    for attempt in range(SENDINGS):
        reply = send(made, poison(), "bad", attempt=attempt)
        errors_seen.append(reply.error)
        assert reply.outcome is errors.Outcome.UNKNOWN
        for number in range(5):
            good = send(made, innocent(number), f"good-{attempt}-{number}")
            assert good.outcome is errors.Outcome.COMPLETED
        made.run_for(2 * RESTART_S)
    assert len(set(deaths)) == len(deaths) == 2
    assert errors_seen[-1] is KINDS.QUARANTINED


def test_popular_request_in_flight_at_both_deaths_runs_afterwards():
    """Its many completed runs outweigh the deaths that it was near."""
    made, deaths = build()
    for number in range(40):
        send(made, innocent(1), f"before-{number}")
    for attempt in range(SENDINGS):
        if len(set(deaths)) == 2:
            break
        flying = [
            made.call(
                "entry-2", innocent(1), user_request_id=f"g-{attempt}-{number}"
            )
            for number in range(8)
        ]
        send(made, poison(), f"bad-{attempt}", attempt=1)
        made.run_until(lambda flying=flying: all(r.done for r in flying))
        made.run_for(2 * RESTART_S)
    assert len(set(deaths)) == 2
    reply = send(made, innocent(1), "after")
    assert reply.outcome is errors.Outcome.COMPLETED
    assert send(made, poison(), "bad-2").error is KINDS.QUARANTINED
