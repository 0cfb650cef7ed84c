"""Retries of a user request stay within the allowance set by its entry."""

import collections
import random

import hypothesis
from hypothesis import strategies

from bergamotdeal.calls.tests import scenarios
from bergamotdeal.presets import model
from standins import fleet
from standins import fleet_model

SETTLE_S = 60

FAULTS = ("kill_node", "kill_server", "reset", "drain", "pause")
DELAYS_BY_DELIVERY = {
    "deliver": [0.0005],
    "drop": [],
    "twice": [0.0005, 0.002],
    "late": [0.02],
}
DELIVERY_WEIGHTS = (40, 1, 2, 2)


def shed_at_once(_start):
    yield fleet_model.Work(seconds=0.001)
    return fleet_model.Response(status=503)


def shed_after_work(program):
    """Makes a program that does its work but answers with the shed status."""

    def program_with_shed(start):
        response = yield from program(start)
        response.status = 503
        return response

    return program_with_shed


def make_random_tree(rng):
    """Maps each service to random calls that its servers make."""
    tree = {}
    for number, service in enumerate(scenarios.SERVICES[:-1], start=1):
        callees = rng.choices(scenarios.SERVICES[number:], k=rng.randint(1, 3))
        tree[service] = [
            (
                scenarios.post_request
                if rng.random() < 0.3
                else scenarios.get_request
            )(callee)
            for callee in callees
        ]
    return tree


def make_program(service, tree):
    requests = tree.get(service)
    if not requests:
        return scenarios.work_program(0.005)
    return scenarios.call_program(*requests)


def make_fleet(tree, *, allowance, repeatable_below=False):
    preset = scenarios.make_preset(
        repeatable_below=repeatable_below,
        retries=model.RetryPolicy(allowance=allowance, ratio=1.0, burst=1000),
    )
    sim = fleet.Fleet(preset=preset)
    sim.add_node("entry")
    for service in scenarios.SERVICES:
        for number in (1, 2, 3):
            sim.add_node(
                f"{service}-{number}",
                service=service,
                program=make_program(service, tree),
            )
    return sim


def inject_fault(sim, fault, host_id):
    match fault:
        case "kill_node":
            sim.kill_node(host_id, detected=False)
            sim.after(0.02, lambda: sim.start_node(host_id))
        case "kill_server":
            sim.kill_server(host_id)
            sim.after(0.02, lambda: sim.start_server(host_id))
        case "reset":
            for origin in list(sim.nodes_by_id):
                sim.links.reset(origin, host_id)
        case "drain":
            sim.drain(host_id)
        case "pause":
            sim.pause_node(host_id)
            sim.after(0.03, lambda: sim.resume_node(host_id))


def add_random_faults(sim, rng):
    """Adds servers that shed, frames lost or duplicated, and host failures."""
    hosts = [host_id for host_id in sim.nodes_by_id if host_id != "entry"]
    for host_id in hosts:
        node = sim.nodes_by_id[host_id]
        if rng.random() < 0.4:
            node.program = shed_after_work(node.program)
    for _ in range(rng.randint(0, 6)):
        fault = rng.choice(FAULTS)
        host_id = rng.choice(hosts)
        sim.after(
            rng.uniform(0, 0.05),
            lambda fault=fault, host_id=host_id: inject_fault(
                sim, fault, host_id
            ),
        )
    delays = list(DELAYS_BY_DELIVERY.values())
    sim.links.deliver = lambda _frame: rng.choices(delays, DELIVERY_WEIGHTS)[0]


def count_retries(sim):
    """Counts the frames that repeat an earlier one of the same call.

    Requesting a ticket and using it are different frames.
    """
    dispatches = collections.Counter(
        (call.call_id, bool(call.ticket)) for _, _, call in sim.calls_sent
    )
    return sum(count - 1 for count in dispatches.values())


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    allowance=strategies.integers(0, 5),
    repeatable_below=strategies.booleans(),
)
def test_retries_stay_within_allowance(seed, allowance, repeatable_below):
    rng = random.Random(seed)
    sim = make_fleet(
        make_random_tree(rng),
        allowance=allowance,
        repeatable_below=repeatable_below,
    )
    add_random_faults(sim, rng)
    reply = sim.call(
        "entry", scenarios.get_request("kitview"), user_request_id="r"
    )
    sim.run_for(SETTLE_S)
    assert reply.done
    assert count_retries(sim) <= allowance


def test_whole_allowance_is_used_and_not_exceeded():
    sim = make_fleet({}, allowance=2)
    for number in (1, 2, 3):
        sim.nodes_by_id[f"kitview-{number}"].program = shed_at_once
    reply = sim.call(
        "entry", scenarios.get_request("kitview"), user_request_id="r"
    )
    sim.run_until(lambda: reply.done)
    assert count_retries(sim) == 2


def test_retry_by_caller_gets_no_allowance():
    sim = make_fleet({}, allowance=2)
    for number in (1, 2, 3):
        sim.nodes_by_id[f"kitview-{number}"].program = shed_at_once
    reply = sim.call(
        "entry",
        scenarios.get_request("kitview"),
        user_request_id="r",
        attempt=1,
    )
    sim.run_until(lambda: reply.done)
    assert count_retries(sim) == 0


def test_call_without_context_gets_no_allowance():
    sim = make_fleet({}, allowance=2)
    for number in (1, 2, 3):
        sim.nodes_by_id[f"orderline-{number}"].program = shed_at_once

    def program(_start):
        yield fleet_model.Invoke(
            requests=[scenarios.get_request("orderline")], copy_context=False
        )
        return fleet_model.Response()

    for number in (1, 2, 3):
        sim.nodes_by_id[f"kitview-{number}"].program = program
    reply = sim.call(
        "entry", scenarios.get_request("kitview"), user_request_id="r"
    )
    sim.run_until(lambda: reply.done)
    assert count_retries(sim) == 0


def test_retry_ratio_bounds_retries_of_many_user_requests():
    sim = make_fleet({}, allowance=3)
    sim.switch_preset(
        scenarios.make_preset(retries=model.RetryPolicy(ratio=0.1, burst=5))
    )
    for number in (1, 2, 3):
        sim.nodes_by_id[f"kitview-{number}"].program = shed_at_once
    replies = [
        sim.call(
            "entry", scenarios.get_request("kitview"), user_request_id=f"r{n}"
        )
        for n in range(20)
    ]
    sim.run_until(lambda: all(reply.done for reply in replies))
    assert count_retries(sim) <= 5 + 0.1 * 20
