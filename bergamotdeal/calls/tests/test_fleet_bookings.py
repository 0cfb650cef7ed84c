"""Non-repeatable calls made by a backend server."""

from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core as rpc
from standins import fleet_model

KINDS = errors.ErrorKind
UNKNOWN = errors.Outcome.UNKNOWN
POST = scenarios.post_request("orderline")


def make_booking_program(key, times=1, *, body=b"reserve"):
    """Makes a program that makes the same booking several times in sequence."""

    def program(_start):
        bodies = []
        for _ in range(times):
            (reply,) = yield fleet_model.Invoke(
                requests=[scenarios.post_request("orderline", body)],
                idempotency_keys=[key],
            )
            bodies.append(reply.outcome.value.encode())
        return fleet_model.Response(body=b",".join(bodies))

    return program


def make_booking_pool(program):
    sim = scenarios.make_pool(scenarios.make_preset())
    sim.add_node("kitview-1", service="kitview", program=program)
    return sim


def run_booking(sim, user_request_id="r", **kwargs):
    reply = sim.call(
        "entry-1",
        scenarios.get_request("kitview"),
        user_request_id=user_request_id,
        **kwargs,
    )
    sim.run_until(lambda: reply.done)
    return reply


def find_bookings(sim):
    return [
        run
        for run in sim.servers.runs
        if run.start.request.service == "orderline"
    ]


def test_booking_by_server_needs_no_ticket_from_it():
    pool = make_booking_pool(make_booking_program(""))
    assert run_booking(pool).answer.body == b"completed"
    assert len(find_bookings(pool)) == 1


def test_bookings_without_key_run_separately():
    pool = make_booking_pool(make_booking_program("", times=2))
    assert run_booking(pool).answer.body == b"completed,completed"
    assert len(find_bookings(pool)) == 2


def test_repeated_booking_with_same_key_is_replayed():
    pool = make_booking_pool(make_booking_program("k", times=3))
    assert run_booking(pool).answer.body == b",".join([b"completed"] * 3)
    assert len(find_bookings(pool)) == 1


def test_rerun_parent_replays_booking_by_key():
    pool = make_booking_pool(make_booking_program("k"))
    run_booking(pool)
    reply = run_booking(pool, attempt=1)
    assert reply.answer.body == b"completed"
    assert len(find_bookings(pool)) == 1


def test_crashed_parent_with_booking_is_not_retried():
    def crashing(_start):
        yield fleet_model.Invoke(requests=[POST])
        yield fleet_model.Work(seconds=60)
        return fleet_model.Response()

    pool = make_booking_pool(crashing)
    pool.add_node("kitview-2", service="kitview", program=crashing)
    reply = pool.call(
        "entry-1", scenarios.get_request("kitview"), user_request_id="r"
    )
    pool.run_until(lambda: find_bookings(pool))
    pool.run_for(0.1)
    parent = pool.servers.runs[0]
    pool.kill_server(parent.host_id)
    pool.run_until(lambda: reply.done)
    assert reply.outcome is UNKNOWN
    assert len(find_bookings(pool)) == 1


def test_lost_parent_that_may_have_booked_is_not_retried():
    def waiting(_start):
        yield fleet_model.Work(seconds=60)
        return fleet_model.Response()

    pool = make_booking_pool(waiting)
    pool.add_node("kitview-2", service="kitview", program=waiting)
    reply = pool.call(
        "entry-1", scenarios.get_request("kitview"), user_request_id="r"
    )
    pool.run_until(lambda: pool.runs_of("r"))
    pool.kill_node(pool.servers.runs[0].host_id)
    pool.run_until(lambda: reply.done)
    assert (reply.error, reply.outcome) == (KINDS.PEER_LOST, UNKNOWN)
    assert len(pool.runs_of("r")) == 1


def test_route_declared_repeatable_below_cannot_book():
    sim = scenarios.make_pool(scenarios.make_preset(repeatable_below=True))
    for number in (1, 2):
        sim.add_node(
            f"kitview-{number}",
            service="kitview",
            program=make_booking_program("", times=1),
        )
    reply = run_booking(sim)
    assert reply.answer.body == b"not-run"
    assert find_bookings(sim) == []


def test_burnt_ticket_of_server_is_replaced_within_allowance():
    pool = make_booking_pool(make_booking_program(""))
    refusing_hosts = []
    pool.links.deliver = lambda frame: [0.0005]
    # The first host that is presented a ticket refuses it.
    drained = set()

    def refuse_first(frame):
        call = frame.content
        if isinstance(call, rpc.Call) and call.ticket and not drained:
            drained.add(frame.target)
            refusing_hosts.append(frame.target)
            pool.send_event(frame.target, messages.DrainStarted())
        return [0.0005]

    pool.links.deliver = refuse_first
    assert run_booking(pool).answer.body == b"completed"
    assert len(refusing_hosts) == 1
    assert len(find_bookings(pool)) == 1
    assert find_bookings(pool)[0].host_id not in drained


def test_unreachable_ticket_host_is_never_replaced():
    pool = make_booking_pool(make_booking_program("k"))

    def kill_before_use(frame):
        call = frame.content
        if isinstance(call, messages.SendAnswer) and call.answer.ticket:
            pool.after(0, lambda: pool.kill_node(frame.source, detected=False))
        return [0.0]

    pool.links.deliver = kill_before_use
    reply = run_booking(pool)
    assert reply.answer.body in (b"unknown", b"completed")
    assert len(find_bookings(pool)) <= 1
