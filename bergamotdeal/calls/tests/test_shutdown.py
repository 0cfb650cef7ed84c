"""Requests that are open when the process of their node ends."""

import typing

import msgspec
import pytest

from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.calls.tests import test_host_routes
from bergamotdeal.calls.tests import test_quotas
from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core as rpc
from bergamotdeal.shutdown import core as shutdown

GET = scenarios.get_request("orderline")
POST = scenarios.post_request("orderline")
HOST = "orderline-1"
NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN


def make_busy_host(*, accepts_cancellation=True):
    """Makes a fleet of one host whose server has one request to work on."""
    sim = scenarios.make_pool(
        scenarios.make_preset(accepts_cancellation=accepts_cancellation),
        count=1,
        slots=1,
        program=scenarios.work_program(5.0),
    )
    running = call(sim, HOST, "running")
    return sim, running


def call(sim, host_id, user_request_id, request=GET, **kwargs):
    reply = sim.call(
        host_id,
        request,
        user_request_id=user_request_id,
        **{"deadline_ms": 9000} | kwargs,
    )
    sim.run_for(0.01)
    return reply


def call_with_ticket(sim, ticket, **kwargs):
    return call(sim, HOST, "ticketed", request=POST, ticket=ticket, **kwargs)


# Guards against a drain that ends with open requests and doesn't say what they
# wait for.
def test_open_requests_are_counted_by_what_they_wait_for():
    sim, _ = make_busy_host()
    call(sim, "entry-1", "queued")
    counts = {
        host_id: node.engine.count_open_by_state()
        for host_id, node in sim.nodes_by_id.items()
    }
    assert counts == {
        "entry-1": {"AwaitingPeer": 1},
        "entry-2": {},
        HOST: {
            "AwaitingServer": 1,
            "AwaitingSlot": 1,
            "AwaitingOwnTarget": 1,
        },
    }


def wait_for_link():
    sim, _ = make_busy_host()
    reply = sim.call("entry-1", GET, user_request_id="held", deadline_ms=9000)
    number = sim.calls_sent[-1][2].number
    sim.send_event(
        "entry-1", messages.DispatchHeld(number=number, is_held=True)
    )
    return sim, "entry-1", reply


def wait_for_peer():
    sim, _ = make_busy_host()
    return sim, "entry-1", call(sim, "entry-1", "remote")


def wait_for_slot():
    sim, _ = make_busy_host()
    return sim, HOST, call(sim, HOST, "queued")


def wait_for_server():
    sim, running = make_busy_host()
    return sim, HOST, running


def wait_for_connection():
    sim, running = make_busy_host()
    run_id = sim.servers.runs[-1].start.run_id
    sim.send_event(HOST, messages.RunHeld(run_id=run_id, is_held=True))
    return sim, HOST, running


def wait_for_ticket_holder():
    sim = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        program=scenarios.work_program(5.0),
    )
    ticket = scenarios.fetch_ticket(sim, HOST, POST, "ticketed")
    call_with_ticket(sim, ticket)
    return sim, HOST, call_with_ticket(sim, ticket)


def detach():
    sim = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        program=scenarios.work_program(5.0),
    )
    ticket = scenarios.fetch_ticket(sim, HOST, POST, "ticketed")
    reply = call_with_ticket(sim, ticket, deadline_ms=300)
    sim.run_until(lambda: reply.done)
    return sim, HOST, reply


CASES_BY_STATE = {
    shutdown.AwaitingLink: (wait_for_link, NOT_RUN),
    shutdown.AwaitingPeer: (wait_for_peer, UNKNOWN),
    shutdown.AwaitingOwnTarget: (wait_for_server, UNKNOWN),
    shutdown.AwaitingSlot: (wait_for_slot, NOT_RUN),
    shutdown.AwaitingTicketHolder: (wait_for_ticket_holder, UNKNOWN),
    shutdown.AwaitingConnection: (wait_for_connection, NOT_RUN),
    shutdown.AwaitingServer: (wait_for_server, UNKNOWN),
    shutdown.Detached: (detach, UNKNOWN),
}


# Guards against open requests without a final answer when the process exits
# (review/12); a state that is added needs a case here.
@pytest.mark.parametrize(
    "state",
    sorted(
        set(typing.get_args(shutdown.OpenState)) - {shutdown.AwaitingCap},
        key=lambda state: state.__name__,
    ),
)
def test_request_in_each_state_is_answered_when_the_process_exits(state):
    reach_state, outcome = CASES_BY_STATE[state]
    sim, host_id, reply = reach_state()
    engine = sim.nodes_by_id[host_id].engine
    assert state.__name__ in engine.count_open_by_state()
    sim.send_event(host_id, messages.DrainStarted())
    runs = len(sim.servers.runs)
    sim.send_event(host_id, messages.DrainEnded())
    assert reply.done
    assert reply.outcome is outcome
    assert (reply.answer.retry_after_s is not None) == (outcome is NOT_RUN)
    assert len(sim.servers.runs) == runs
    assert engine.count_open_by_state().keys() <= {"Detached"}


def test_request_that_waits_for_its_cap_is_answered_when_the_process_exits():
    engine = test_quotas._make_engine()
    test_quotas._arrive(engine)
    assert engine.count_open_by_state() == {"AwaitingCap": 1}
    effects = engine.handle(messages.DrainEnded(), 0.0)
    (reply,) = test_host_routes.select_effects(effects, messages.ReplyToCaller)
    assert reply.answer.outcome is NOT_RUN
    assert test_host_routes.select_effects(effects, messages.CancelQuota)
    assert engine.is_idle()


# Guards against a refusal that is told as not run although an earlier attempt
# may have run.
def test_retried_request_in_the_queue_may_have_run():
    sim, _ = make_busy_host()
    reply = call(sim, HOST, "again", attempt=1)
    sim.send_event(HOST, messages.DrainEnded())
    assert reply.outcome is UNKNOWN


# Guards against calls of other nodes that are lost with their link although
# another server could run them.
def test_call_of_another_node_in_the_queue_is_retried_elsewhere():
    sim, _ = make_busy_host()
    reply = call(sim, "entry-1", "queued")
    sim.add_node("orderline-2", service="orderline")
    sim.drain(HOST)
    sim.send_event(HOST, messages.DrainEnded())
    sim.run_until(lambda: reply.done)
    assert reply.outcome is errors.Outcome.COMPLETED
    (run,) = sim.runs_of("queued")
    assert run.host_id == "orderline-2"


# Guards against work that starts when the process is about to exit.
def test_nothing_starts_after_the_end_of_the_drain():
    sim, _ = make_busy_host()
    sim.send_event(HOST, messages.DrainStarted())
    sim.send_event(HOST, messages.DrainEnded())
    sim.servers.announce(sim.nodes_by_id[HOST])
    for host_id in (HOST, "entry-1"):
        reply = call(sim, host_id, f"late at {host_id}")
        assert (reply.done, reply.outcome) == (True, NOT_RUN)
        assert sim.runs_of(f"late at {host_id}") == []


# Guards against callers of a stopping node that are told nothing certain about
# requests that wait at another node (review/12, related path).
def test_request_that_waits_at_another_node_is_told_not_run():
    sim, _ = make_busy_host()
    reply = call(sim, "entry-1", "queued")
    sim.send_event("entry-1", messages.DrainStarted())
    sim.send_event("entry-1", messages.DrainEnding())
    sim.run_for(0.01)
    assert (reply.done, reply.outcome) == (True, NOT_RUN)
    sim.run_for(9.0)
    assert sim.runs_of("queued") == []


def test_request_at_another_nodes_server_goes_on_until_the_drain_ends():
    sim, _ = make_busy_host()
    program = scenarios.work_program(5.0)
    sim.add_node("orderline-2", service="orderline", program=program)
    sim.drain(HOST)
    reply = call(sim, "entry-1", "remote")
    sim.send_event("entry-1", messages.DrainStarted())
    sim.send_event("entry-1", messages.DrainEnding())
    sim.run_for(0.01)
    assert not reply.done
    sim.run_until(lambda: reply.done)
    assert reply.outcome is errors.Outcome.COMPLETED


# Guards against a run that starts in the last moments of a drain and is then
# given up at its server.
def test_waiting_request_is_refused_before_the_drain_ends():
    sim, running = make_busy_host()
    reply = call(sim, HOST, "queued")
    sim.send_event(HOST, messages.DrainStarted())
    sim.send_event(HOST, messages.DrainEnding())
    assert (reply.outcome, running.done) == (NOT_RUN, False)
    sim.run_until(lambda: running.done)
    assert running.outcome is errors.Outcome.COMPLETED
    assert sim.runs_of("queued") == []


# Guards against work of the server that is lost because one of its calls is
# refused although the drain would have waited for it.
@pytest.mark.parametrize(
    ("request_id", "is_own"), [("r1.1", True), ("r2", False)]
)
def test_call_of_the_own_server_is_not_withdrawn(request_id, is_own):
    node = test_host_routes.Node()
    assert test_host_routes.select_effects(
        node.send_request(request_id="r1"), messages.StartRun
    )
    own = msgspec.structs.replace(test_host_routes.OWN, server=None)
    far = msgspec.structs.replace(test_host_routes.OWN, host_id="far")
    members_by_id = {"a": own, "far": far}
    node.handle(messages.MembersChanged(members_by_id=members_by_id))
    arrival = messages.CallArrived(
        origin_id=2,
        face=messages.Face.ENTRY,
        request=rpc.Request(
            service="",
            method="GET",
            path="/kits/8",
            headers=[],
            body=b"",
            authority="kits.example",
        ),
        user_request_id=request_id,
        deadline_ms=5000,
    )
    (sent,) = test_host_routes.select_effects(
        node.handle(arrival), messages.SendCall
    )
    effects = node.handle(messages.DrainEnding())
    withdrawn = [
        (effect.host_id, effect.number, effect.only_waiting)
        for effect in test_host_routes.select_effects(
            effects, messages.SendCancel
        )
    ]
    assert withdrawn == ([] if is_own else [("far", sent.call.number, True)])


# Guards against a run that starts in a drain, can't end before the exit and is
# then given up at its server, though it could have been refused or run
# elsewhere.
@pytest.mark.parametrize(("remaining_s", "is_run"), [(2.0, True), (1.0, False)])
def test_queued_run_starts_only_if_it_can_end_before_the_exit(
    remaining_s, is_run
):
    node = test_host_routes.Node()
    run_ids = []
    for number in range(1, 30):
        call = test_host_routes.make_call(number, request_id=f"r{number}")
        effects = node.handle(messages.PeerCalled(link_id=1, call=call))
        (start,) = test_host_routes.select_effects(effects, messages.StartRun)
        run_ids.append(start.run_id)
        node.now += 1.2
        node.handle(
            messages.RunAnswered(
                run_id=start.run_id, status=200, headers=[], body=b""
            )
        )
    started = []
    for number in range(100, 108):
        call = test_host_routes.make_call(number, request_id=f"r{number}")
        effects = node.handle(messages.PeerCalled(link_id=1, call=call))
        started += test_host_routes.select_effects(effects, messages.StartRun)
    node.now += 1.2
    node.handle(messages.DrainStarted(remaining_s=remaining_s))
    effects = node.handle(
        messages.RunAnswered(
            run_id=started[0].run_id, status=200, headers=[], body=b""
        )
    )
    runs = test_host_routes.select_effects(effects, messages.StartRun)
    answers = test_host_routes.select_effects(effects, messages.SendAnswer)
    refused = [a for a in answers if a.answer.error is not None]
    assert bool(runs) == is_run
    assert bool(refused) != is_run
    for answer in refused:
        assert answer.answer.error is errors.ErrorKind.DRAINING
        assert answer.answer.outcome is NOT_RUN


# The same for servers that name their runs in the context header.
def test_call_with_the_context_of_a_run_is_not_withdrawn():
    sim = scenarios.make_chain(scenarios.make_preset())
    sim.kill_node("orderline")
    sim.add_node(
        HOST,
        service="orderline",
        slots=1,
        program=scenarios.work_program(5.0),
    )
    call(sim, HOST, "running")
    reply = call(sim, "stencilhub", "tree", scenarios.get_request("stencilhub"))
    assert "AwaitingPeer" in (
        sim.nodes_by_id["stencilhub"].engine.count_open_by_state()
    )
    sim.send_event("stencilhub", messages.DrainEnding())
    sim.run_for(0.1)
    assert not reply.done
    assert "AwaitingSlot" in sim.nodes_by_id[HOST].engine.count_open_by_state()


def test_withdrawn_call_that_waits_for_a_connection_is_not_run():
    sim, _ = make_busy_host()
    sim.kill_server(HOST)
    sim.start_server(HOST)
    sim.run_for(0.1)
    reply = call(sim, "entry-1", "held")
    run_id = sim.servers.runs[-1].start.run_id
    sim.send_event(HOST, messages.RunHeld(run_id=run_id, is_held=True))
    sim.send_event("entry-1", messages.DrainEnding())
    sim.run_for(0.1)
    assert (reply.done, reply.outcome) == (True, NOT_RUN)
    engine = sim.nodes_by_id[HOST].engine
    assert engine.is_idle()
    assert engine.load().running == 0
