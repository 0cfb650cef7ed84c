from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors


def all_idle(made):
    return all(node.engine.is_idle() for node in made.nodes_by_id.values())


def test_a_call_goes_down_four_services_and_back():
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


def test_a_caller_that_hangs_up_cancels_the_whole_chain():
    chain = scenarios.make_chain(scenarios.make_preset())
    chain.nodes_by_id["orderline"].program = scenarios.work_program(3)
    reply = chain.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    chain.run_until(lambda: len(chain.runs_of("r")) == 4)
    chain.hang_up(reply)
    chain.run_for(0.1)
    assert all_idle(chain)
    assert all(run.stopped for run in chain.runs_of("r"))


def test_a_run_that_cannot_be_cancelled_keeps_its_slot_until_it_ends():
    chain = scenarios.make_chain(scenarios.make_preset(cancels=False))
    node = chain.nodes_by_id["orderline"]
    node.program = scenarios.work_program(3)
    reply = chain.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    chain.run_until(lambda: len(chain.runs_of("r")) == 4)
    chain.hang_up(reply)
    chain.run_for(1)
    assert not node.engine.is_idle()
    chain.run_for(3)
    assert node.engine.is_idle()
    assert chain.runs_of("r")[-1].finished


def test_a_deadline_ends_the_whole_chain():
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


def test_a_dead_server_is_replaced_within_the_allowance():
    chain = scenarios.make_chain(scenarios.make_preset())
    chain.add_node("orderline-2", service="orderline")
    chain.kill_server("orderline")
    reply = chain.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    chain.run_until(lambda: reply.done)
    assert reply.outcome is errors.Outcome.COMPLETED


def test_a_call_cycle_ends_at_the_depth_bound():
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
