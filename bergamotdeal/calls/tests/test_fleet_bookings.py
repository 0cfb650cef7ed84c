"""Non-repeatable calls that a backend server makes."""

from bergamotdeal.calls import core
from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors
from standins import fleet_model

KINDS = errors.ErrorKind
UNKNOWN = errors.Outcome.UNKNOWN
POST = scenarios.post_request("orderline")


def booking_program(key, times=1, *, body=b"reserve"):
    """Makes the same booking one or more times, one after the other."""

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
    made = scenarios.make_pool(scenarios.make_preset())
    made.add_node("kitview-1", service="kitview", program=program)
    return made


def run_booking(made, user_request_id="r", **kwargs):
    reply = made.call(
        "entry-1",
        scenarios.get_request("kitview"),
        user_request_id=user_request_id,
        **kwargs,
    )
    made.run_until(lambda: reply.done)
    return reply


def bookings(made):
    return [
        run
        for run in made.servers.runs
        if run.start.request.service == "orderline"
    ]


def test_a_servers_booking_needs_no_ticket_of_its_own():
    pool = make_booking_pool(booking_program(""))
    assert run_booking(pool).answer.body == b"completed"
    assert len(bookings(pool)) == 1


def test_a_servers_bookings_without_a_key_are_separate():
    pool = make_booking_pool(booking_program("", times=2))
    assert run_booking(pool).answer.body == b"completed,completed"
    assert len(bookings(pool)) == 2


def test_a_servers_resend_under_its_key_is_replayed():
    pool = make_booking_pool(booking_program("k", times=3))
    assert run_booking(pool).answer.body == b",".join([b"completed"] * 3)
    assert len(bookings(pool)) == 1


def test_a_parent_that_runs_again_finds_the_booking_by_its_key():
    pool = make_booking_pool(booking_program("k"))
    run_booking(pool)
    reply = run_booking(pool, attempt=1)
    assert reply.answer.body == b"completed"
    assert len(bookings(pool)) == 1


def test_a_parent_is_not_sent_again_once_it_has_booked():
    def crashing(_start):
        yield fleet_model.Invoke(requests=[POST])
        yield fleet_model.Work(seconds=60)
        return fleet_model.Response()

    pool = make_booking_pool(crashing)
    pool.add_node("kitview-2", service="kitview", program=crashing)
    reply = pool.call(
        "entry-1", scenarios.get_request("kitview"), user_request_id="r"
    )
    pool.run_until(lambda: bookings(pool))
    pool.run_for(0.1)
    parent = pool.servers.runs[0]
    pool.kill_server(parent.host_id)
    pool.run_until(lambda: reply.done)
    assert reply.outcome is UNKNOWN
    assert len(bookings(pool)) == 1


def test_a_lost_parent_that_may_have_booked_is_not_sent_again():
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


def test_a_route_declared_repeatable_below_is_sent_again_but_books_nothing():
    made = scenarios.make_pool(scenarios.make_preset(below=True))
    for number in (1, 2):
        made.add_node(
            f"kitview-{number}",
            service="kitview",
            program=booking_program("", times=1),
        )
    reply = run_booking(made)
    assert reply.answer.body == b"not-run"
    assert bookings(made) == []


def test_a_burnt_ticket_of_a_server_is_replaced_within_the_allowance():
    pool = make_booking_pool(booking_program(""))
    by_rendezvous = []
    pool.links.deliver = lambda frame: [0.0005]
    # Each host refuses the first ticket that is presented to it.
    drained = set()

    def refuse_first(frame):
        call = frame.content
        if isinstance(call, core.Call) and call.ticket and not drained:
            drained.add(frame.target)
            by_rendezvous.append(frame.target)
            pool.send_event(frame.target, messages.DrainStarted())
        return [0.0005]

    pool.links.deliver = refuse_first
    assert run_booking(pool).answer.body == b"completed"
    assert len(by_rendezvous) == 1
    assert len(bookings(pool)) == 1
    assert bookings(pool)[0].host_id not in drained


def test_an_unreachable_ticket_host_is_never_replaced():
    pool = make_booking_pool(booking_program("k"))

    def kill_before_use(frame):
        call = frame.content
        if isinstance(call, messages.SendAnswer) and call.answer.ticket:
            pool.after(0, lambda: pool.kill_node(frame.source, noticed=False))
        return [0.0]

    pool.links.deliver = kill_before_use
    reply = run_booking(pool)
    assert reply.answer.body in (b"unknown", b"completed")
    assert len(bookings(pool)) <= 1
