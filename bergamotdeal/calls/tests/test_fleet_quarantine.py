"""Quarantine stops a request that crashes servers and no other request."""

import pytest

from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.calls.tests import test_keys as one_node
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.rpc import core as rpc

KINDS = errors.ErrorKind
SENDINGS = 6
RESTART_S = 0.3
SERVERS = 4


def make_poison_request():
    return rpc.Request(
        service="orderline",
        method="GET",
        path="/poison",
        headers=[],
        body=b"",
    )


def make_harmless_request(number):
    return rpc.Request(
        service="orderline",
        method="GET",
        path=f"/kits/{number}",
        headers=[],
        body=b"",
    )


def make_fleet(server_count=SERVERS):
    sim = scenarios.make_pool(scenarios.make_preset(), count=server_count)
    crashed_hosts = []

    def crash(run):
        if run.start.request.path != "/poison":
            return
        crashed_hosts.append(run.host_id)
        sim.after(0.001, lambda: sim.kill_server(run.host_id))
        sim.after(RESTART_S, lambda: sim.start_server(run.host_id))

    sim.servers.on_run = crash
    return sim, crashed_hosts


def send_request(sim, request, request_id, *, attempt=0):
    reply = sim.call(
        "entry-1", request, user_request_id=request_id, attempt=attempt
    )
    sim.run_until(lambda: reply.done)
    return reply


def test_poison_request_is_quarantined_and_others_complete():
    sim, crashed_hosts = make_fleet()
    errors_seen = []
    for attempt in range(SENDINGS):
        reply = send_request(sim, make_poison_request(), "bad", attempt=attempt)
        errors_seen.append(reply.error)
        assert reply.outcome is errors.Outcome.UNKNOWN
        for number in range(5):
            good = send_request(
                sim, make_harmless_request(number), f"good-{attempt}-{number}"
            )
            assert good.outcome is errors.Outcome.COMPLETED
        sim.run_for(2 * RESTART_S)
    assert len(set(crashed_hosts)) == len(crashed_hosts) == 2
    assert errors_seen[-1] is KINDS.QUARANTINED


def test_poison_request_is_quarantined_at_a_service_with_one_server():
    """Guards against a quarantine that waits for a second host for ever."""
    sim, crashed_hosts = make_fleet(server_count=1)
    for attempt in range(SENDINGS):
        reply = send_request(sim, make_poison_request(), f"bad-{attempt}")
        sim.run_for(2 * RESTART_S)
        good = send_request(sim, make_harmless_request(1), f"good-{attempt}")
        assert good.outcome is errors.Outcome.COMPLETED
    assert len(crashed_hosts) == 3
    assert reply.error is KINDS.QUARANTINED
    assert reply.outcome is errors.Outcome.NOT_RUN


def test_popular_request_in_flight_at_both_crashes_runs_afterwards():
    """Completed runs outweigh the crashes during which the request ran."""
    sim, crashed_hosts = make_fleet()
    for number in range(40):
        send_request(sim, make_harmless_request(1), f"before-{number}")
    for attempt in range(SENDINGS):
        if len(set(crashed_hosts)) == 2:
            break
        in_flight = [
            sim.call(
                "entry-2",
                make_harmless_request(1),
                user_request_id=f"g-{attempt}-{number}",
            )
            for number in range(8)
        ]
        send_request(sim, make_poison_request(), f"bad-{attempt}", attempt=1)
        sim.run_until(
            lambda in_flight=in_flight: all(r.done for r in in_flight)
        )
        sim.run_for(2 * RESTART_S)
    assert len(set(crashed_hosts)) == 2
    reply = send_request(sim, make_harmless_request(1), "after")
    assert reply.outcome is errors.Outcome.COMPLETED
    assert (
        send_request(sim, make_poison_request(), "bad-2").error
        is KINDS.QUARANTINED
    )


@pytest.mark.parametrize(
    ("failure", "is_excused"),
    [
        (messages.RunFailure.UNREACHABLE, False),
        (messages.RunFailure.SHED, False),
        (None, True),
    ],
)
def test_only_answered_runs_excuse_a_request(failure, is_excused):
    """Guards against a deadly request that is excused by its refusals."""
    node = one_node.Node()
    fingerprint = ""

    def report_crash(host_id):
        report = membership.CrashReport(
            fingerprint=fingerprint, host_id=host_id, death_id=host_id
        )
        node.handle(messages.PeerCrashesReported(reports=[report]))

    for number in range(1, 8):
        (run,) = one_node.select(node.receive_call(number), messages.StartRun)
        if not fingerprint:
            current = node.engine._run_table.runs_by_id[run.run_id]
            fingerprint = current.fingerprint
            report_crash("b")
        if failure is None:
            node.handle(
                messages.RunAnswered(
                    run_id=run.run_id, status=200, headers=[], body=b""
                )
            )
        else:
            node.handle(messages.RunFailed(run_id=run.run_id, failure=failure))
    report_crash("c")
    effects = node.receive_call(8)
    if is_excused:
        assert one_node.select(effects, messages.StartRun)
    else:
        assert one_node.get_error(effects) is KINDS.QUARANTINED
