from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors


def all_idle(sim):
    return all(node.engine.is_idle() for node in sim.nodes_by_id.values())


def test_call_through_four_services_completes():
    chain = scenarios.make_chain(scenarios.make_preset())
    reply = chain.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    chain.run_until(lambda: reply.done)
    assert reply.answer.body == b"ok"
    assert reply.outcome is errors.Outcome.COMPLETED
    assert [run.start.request.service for run in chain.runs_of("r")] == list(
        scenarios.SERVICES
    )
    chain.run_for(10)
    assert all_idle(chain)


def test_caller_disconnect_cancels_whole_chain():
    chain = scenarios.make_chain(scenarios.make_preset())
    chain.nodes_by_id["orderline"].program = scenarios.work_program(3)
    reply = chain.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    chain.run_until(lambda: len(chain.runs_of("r")) == 4)
    chain.disconnect_caller(reply)
    chain.run_for(0.1)
    assert all_idle(chain)
    assert all(run.stopped for run in chain.runs_of("r"))


def test_uncancellable_run_keeps_slot_until_it_ends():
    chain = scenarios.make_chain(
        scenarios.make_preset(accepts_cancellation=False)
    )
    node = chain.nodes_by_id["orderline"]
    node.program = scenarios.work_program(3)
    reply = chain.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    chain.run_until(lambda: len(chain.runs_of("r")) == 4)
    chain.disconnect_caller(reply)
    chain.run_for(1)
    assert not node.engine.is_idle()
    chain.run_for(3)
    assert node.engine.is_idle()
    assert chain.runs_of("r")[-1].finished


def test_deadline_ends_whole_chain():
    chain = scenarios.make_chain(scenarios.make_preset())
    chain.nodes_by_id["orderline"].program = scenarios.work_program(3)
    reply = chain.call(
        "kitview",
        scenarios.get_request("kitview"),
        user_request_id="r",
        deadline_ms=200,
    )
    started = chain.now
    chain.run_until(lambda: reply.done)
    assert chain.now - started <= 0.2 + 1e-6
    assert reply.outcome in (errors.Outcome.UNKNOWN, errors.Outcome.COMPLETED)
    chain.run_for(0.1)
    assert all_idle(chain)


def test_call_to_crashed_server_is_retried_within_allowance():
    chain = scenarios.make_chain(scenarios.make_preset())
    chain.add_node("orderline-2", service="orderline")
    chain.kill_server("orderline")
    reply = chain.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    chain.run_until(lambda: reply.done)
    assert reply.outcome is errors.Outcome.COMPLETED


def test_call_cycle_stops_at_maximum_depth():
    ring = scenarios.make_chain(scenarios.make_preset())
    ring.nodes_by_id["orderline"].program = scenarios.call_program(
        scenarios.get_request("kitview")
    )
    reply = ring.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    ring.run_until(lambda: reply.done)
    assert reply.outcome is errors.Outcome.COMPLETED
    assert len(ring.runs_of("r")) == 33
