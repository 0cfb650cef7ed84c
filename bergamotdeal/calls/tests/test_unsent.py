"""Outcomes of requests that were certainly not handed to a backend server."""

import msgspec
import pytest

from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.calls.tests import test_host_routes
from bergamotdeal.errors import core as errors

GET = scenarios.get_request("orderline")
LATE = errors.ErrorKind.DEADLINE_EXCEEDED
NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN


def expire(node, seconds):
    """Lets time pass and returns all effects."""
    effects = []
    end = node.now + seconds
    while (wakeup := node.engine.next_wakeup()) is not None and wakeup <= end:
        node.now = max(node.now, wakeup)
        effects += node.handle(messages.TimePassed())
    return effects


def select(effects, kind):
    return test_host_routes.select_effects(effects, kind)


# Guards against a deadline in the queue that is reported as if the request may
# have run, which forbids its repetition.
@pytest.mark.parametrize(("attempt", "outcome"), [(0, NOT_RUN), (1, UNKNOWN)])
def test_request_that_expires_in_the_queue_has_not_run(attempt, outcome):
    sim = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        slots=1,
        program=scenarios.work_program(5.0),
    )
    running = sim.call("entry-1", GET, user_request_id="r1", deadline_ms=500)
    sim.run_for(0.01)
    queued = sim.call(
        "entry-1", GET, user_request_id="r2", deadline_ms=300, attempt=attempt
    )
    sim.run_until(lambda: running.done and queued.done)
    assert (running.error, running.outcome) == (LATE, UNKNOWN)
    assert (queued.error, queued.outcome) == (LATE, outcome)
    assert queued.answer.status == 504
    # Callers repeat what has not run only if there is a Retry-After.
    assert (queued.answer.retry_after_s is None) == (outcome is UNKNOWN)
    assert sim.runs_of("r2") == []


def test_request_without_time_left_has_not_run():
    sim = scenarios.make_pool(scenarios.make_preset(), count=1)
    reply = sim.call("entry-1", GET, user_request_id="r1", deadline_ms=0)
    assert (reply.error, reply.outcome) == (LATE, NOT_RUN)


@pytest.mark.parametrize(
    ("holds", "outcome"),
    [([True], NOT_RUN), ([True, False], UNKNOWN), ([], UNKNOWN)],
    ids=["link is opening", "sent after the link opened", "sent at once"],
)
def test_call_that_waits_for_its_link_has_not_run(holds, outcome):
    node = test_host_routes.Node()
    other = msgspec.structs.replace(test_host_routes.OWN, host_id="b")
    own = msgspec.structs.replace(test_host_routes.OWN, server=None)
    node.handle(messages.MembersChanged(members_by_id={"a": own, "b": other}))
    (sent,) = select(node.send_request(), messages.SendCall)
    for is_held in holds:
        number = sent.call.number
        node.handle(messages.DispatchHeld(number=number, is_held=is_held))
    effects = expire(node, 0.9)
    (reply,) = select(effects, messages.ReplyToCaller)
    assert (reply.answer.error, reply.answer.outcome) == (LATE, outcome)
    assert select(effects, messages.SendCancel)


@pytest.mark.parametrize(
    ("holds", "outcome"),
    [([True], NOT_RUN), ([True, False], UNKNOWN), ([], UNKNOWN)],
    ids=["connection is opening", "sent after it opened", "sent at once"],
)
def test_run_that_waits_for_a_connection_has_not_run(holds, outcome):
    node = test_host_routes.Node()
    (run,) = select(node.send_request(), messages.StartRun)
    for is_held in holds:
        node.handle(messages.RunHeld(run_id=run.run_id, is_held=is_held))
    effects = expire(node, 0.9)
    (reply,) = select(effects, messages.ReplyToCaller)
    assert (reply.answer.error, reply.answer.outcome) == (LATE, outcome)
    (cancelled,) = select(effects, messages.CancelRun)
    assert cancelled.run_id == run.run_id
    assert node.engine.is_idle()


# A ticket may be presented by several calls, one of which may still run.
def test_request_with_a_ticket_that_expires_in_the_queue_may_have_run():
    sim = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        slots=1,
        program=scenarios.work_program(5.0),
    )
    request = scenarios.post_request("orderline")
    ticket = scenarios.fetch_ticket(sim, "entry-1", request, "r2")
    sim.call("entry-1", GET, user_request_id="r1", deadline_ms=2000)
    sim.run_for(0.01)
    queued = sim.call(
        "entry-1",
        request,
        user_request_id="r2",
        ticket=ticket,
        deadline_ms=300,
    )
    sim.run_until(lambda: queued.done)
    assert (queued.error, queued.outcome) == (LATE, UNKNOWN)
