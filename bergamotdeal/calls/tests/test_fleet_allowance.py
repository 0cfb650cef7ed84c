"""The re-sends of one user request stay within what its entry minted."""

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
FATES = {
    "deliver": [0.0005],
    "drop": [],
    "twice": [0.0005, 0.002],
    "late": [0.02],
}
FATE_WEIGHTS = (40, 1, 2, 2)


def shedding(_start):
    yield fleet_model.Work(seconds=0.001)
    return fleet_model.Response(status=503)


def shedding_at_last(program):
    """Does the program's work and answers that it did none."""

    def shedding_program(start):
        response = yield from program(start)
        response.status = 503
        return response

    return shedding_program


def random_tree(rng):
    """Maps each service to the calls that its servers make."""
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


def program_of(service, tree):
    requests = tree.get(service)
    if not requests:
        return scenarios.work_program(0.005)
    return scenarios.call_program(*requests)


def build(tree, *, allowance, below=False):
    preset = scenarios.make_preset(
        below=below,
        retries=model.RetryPolicy(allowance=allowance, ratio=1.0, burst=1000),
    )
    made = fleet.Fleet(preset=preset)
    made.add_node("entry")
    for service in scenarios.SERVICES:
        for number in (1, 2, 3):
            made.add_node(
                f"{service}-{number}",
                service=service,
                program=program_of(service, tree),
            )
    return made


def inject(made, fault, host_id):
    match fault:
        case "kill_node":
            made.kill_node(host_id, noticed=False)
            made.after(0.02, lambda: made.start_node(host_id))
        case "kill_server":
            made.kill_server(host_id)
            made.after(0.02, lambda: made.start_server(host_id))
        case "reset":
            for origin in list(made.nodes_by_id):
                made.links.reset(origin, host_id)
        case "drain":
            made.drain(host_id)
        case "pause":
            made.pause_node(host_id)
            made.after(0.03, lambda: made.resume_node(host_id))


def add_random_faults(made, rng):
    """Lets some servers refuse, some frames go astray and hosts fail."""
    hosts = [host_id for host_id in made.nodes_by_id if host_id != "entry"]
    for host_id in hosts:
        node = made.nodes_by_id[host_id]
        if rng.random() < 0.4:
            node.program = shedding_at_last(node.program)
    for _ in range(rng.randint(0, 6)):
        fault = rng.choice(FAULTS)
        host_id = rng.choice(hosts)
        made.after(
            rng.uniform(0, 0.05),
            lambda fault=fault, host_id=host_id: inject(made, fault, host_id),
        )
    fates = list(FATES.values())
    made.links.deliver = lambda _frame: rng.choices(fates, FATE_WEIGHTS)[0]


def count_resends(made):
    """Counts the frames that repeat an earlier one of the same call.

    Asking for a ticket and using it are different frames.
    """
    dispatches = collections.Counter(
        (call.call_id, bool(call.ticket)) for _, _, call in made.calls_sent
    )
    return sum(count - 1 for count in dispatches.values())


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    allowance=strategies.integers(0, 5),
    below=strategies.booleans(),
)
def test_resends_stay_within_the_allowance(seed, allowance, below):
    rng = random.Random(seed)
    made = build(random_tree(rng), allowance=allowance, below=below)
    add_random_faults(made, rng)
    reply = made.call(
        "entry", scenarios.get_request("kitview"), user_request_id="r"
    )
    made.run_for(SETTLE_S)
    assert reply.done
    assert count_resends(made) <= allowance


def test_the_whole_allowance_is_used_and_no_more():
    made = build({}, allowance=2)
    for number in (1, 2, 3):
        made.nodes_by_id[f"kitview-{number}"].program = shedding
    reply = made.call(
        "entry", scenarios.get_request("kitview"), user_request_id="r"
    )
    made.run_until(lambda: reply.done)
    assert count_resends(made) == 2


def test_a_callers_own_resend_mints_no_allowance():
    made = build({}, allowance=2)
    for number in (1, 2, 3):
        made.nodes_by_id[f"kitview-{number}"].program = shedding
    reply = made.call(
        "entry",
        scenarios.get_request("kitview"),
        user_request_id="r",
        attempt=1,
    )
    made.run_until(lambda: reply.done)
    assert count_resends(made) == 0


def test_a_servers_call_without_context_mints_no_allowance():
    made = build({}, allowance=2)
    for number in (1, 2, 3):
        made.nodes_by_id[f"orderline-{number}"].program = shedding

    def program(_start):
        yield fleet_model.Invoke(
            requests=[scenarios.get_request("orderline")], copy_context=False
        )
        return fleet_model.Response()

    for number in (1, 2, 3):
        made.nodes_by_id[f"kitview-{number}"].program = program
    reply = made.call(
        "entry", scenarios.get_request("kitview"), user_request_id="r"
    )
    made.run_until(lambda: reply.done)
    assert count_resends(made) == 0


def test_the_ratio_bounds_resends_of_many_user_requests():
    made = build({}, allowance=3)
    made.switch_preset(
        scenarios.make_preset(retries=model.RetryPolicy(ratio=0.1, burst=5))
    )
    for number in (1, 2, 3):
        made.nodes_by_id[f"kitview-{number}"].program = shedding
    replies = [
        made.call(
            "entry", scenarios.get_request("kitview"), user_request_id=f"r{n}"
        )
        for n in range(20)
    ]
    made.run_until(lambda: all(reply.done for reply in replies))
    assert count_resends(made) <= 5 + 0.1 * 20
