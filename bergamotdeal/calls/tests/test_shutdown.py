"""Requests that are open when the process of their node ends."""

from bergamotdeal.calls.tests import scenarios

GET = scenarios.get_request("orderline")


def make_busy_host(*, slots=1):
    """Makes a fleet of one host whose server has one request to work on."""
    sim = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        slots=slots,
        program=scenarios.work_program(5.0),
    )
    sim.call("orderline-1", GET, user_request_id="running", deadline_ms=9000)
    sim.run_for(0.01)
    return sim


# Guards against a drain that ends with open requests and doesn't say what they
# wait for.
def test_open_requests_are_counted_by_what_they_wait_for():
    sim = make_busy_host()
    sim.call("entry-1", GET, user_request_id="queued", deadline_ms=9000)
    sim.run_for(0.01)
    counts = {
        host_id: node.engine.count_open_by_state()
        for host_id, node in sim.nodes_by_id.items()
    }
    assert counts == {
        "entry-1": {"AwaitingPeer": 1},
        "entry-2": {},
        "orderline-1": {
            "AwaitingServer": 1,
            "AwaitingSlot": 1,
            "AwaitingOwnTarget": 1,
        },
    }
