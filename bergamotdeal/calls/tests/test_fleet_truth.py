"""What callers are told holds against what the servers did."""

import random

import hypothesis
from hypothesis import strategies

from bergamotdeal.calls import core
from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.calls.tests import test_fleet_allowance as random_fleet
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.telemetry import catalogue
from standins import fleet
from standins import fleet_model

KINDS = errors.ErrorKind
NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN
COMPLETED = errors.Outcome.COMPLETED
CODES = catalogue.EventCode
SHED_STATUS = 503


def echoing(program):
    """Answers with the user request id, so that a mix-up shows."""

    def echo(start):
        response = yield from program(start)
        response.body = start.user_request_id.encode()
        return response

    return echo


class Caller:
    """Sends one user request until it completes or three resends failed."""

    def __init__(self, *, made, request, user_request_id, rng):
        self.made = made
        self.request = request
        self.user_request_id = user_request_id
        self.rng = rng
        self.ticket = b""
        self.attempt = 0
        self.done = False
        self.send()

    def send(self):
        entry = self.rng.choice(("entry-1", "entry-2"))
        self.reply = self.made.call(
            entry,
            self.request,
            user_request_id=self.user_request_id,
            attempt=self.attempt,
            ticket=self.ticket,
            deadline_ms=self.rng.choice((50, 500, 2000)),
        )
        if self.reply.done:
            self.take(self.reply)
        else:
            self.reply.when_done = self.take

    def own_runs(self):
        """Returns the runs that the server did not truthfully refuse."""
        return [
            run
            for run in self.made.runs_of(self.user_request_id)
            if run.start.request == self.request
            and (run.status != SHED_STATUS or run.invoked)
        ]

    def take(self, reply):
        if reply.answer is not None:
            self.check(reply)
        if reply.outcome is COMPLETED:
            self.done = True
            return
        if reply.error is KINDS.TICKET_REQUIRED:
            self.ticket = reply.answer.ticket
        else:
            if reply.outcome is NOT_RUN:
                self.ticket = b""
            self.attempt += 1
        if self.attempt > 3:
            self.done = True
            return
        self.made.after(self.rng.uniform(0, 0.02), self.send)

    def check(self, reply):
        assert reply.user_request_id == self.user_request_id
        if reply.outcome is COMPLETED:
            assert reply.answer.body == self.user_request_id.encode()
            assert self.own_runs()
        if reply.outcome is NOT_RUN:
            assert self.own_runs() == []


def build(rng):
    made = random_fleet.build(random_fleet.random_tree(rng), allowance=3)
    del made.nodes_by_id["entry"]
    made.add_node("entry-1")
    made.add_node("entry-2")
    for node in made.nodes_by_id.values():
        node.program = echoing(node.program)
    return made


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(seed=strategies.integers(0, 2**32))
def test_no_caller_is_told_anything_false(seed):
    rng = random.Random(seed)
    made = build(rng)
    random_fleet.add_random_faults(made, rng)
    callers = [
        Caller(
            made=made,
            request=rng.choice((scenarios.get_request, scenarios.post_request))(
                "kitview"
            ),
            user_request_id=f"r{number}",
            rng=rng,
        )
        for number in range(6)
    ]
    made.run_for(60)
    assert all(caller.done for caller in callers)
    for caller in callers:
        if caller.request.method == "POST":
            assert len(caller.own_runs()) <= 1
    for host_id, node in made.nodes_by_id.items():
        assert node.engine.is_idle(), host_id
    assert records_of(made, CODES.CALL_FAILED_INTERNALLY) == []


def replies_to(made, user_request_id):
    return [
        record
        for _, _, record in made.records
        if record.code is CODES.CALL_ANSWERED
        and record.user_request_id == user_request_id
    ]


def records_of(made, code):
    return [record for _, _, record in made.records if record.code is code]


def test_a_late_answer_never_reaches_another_call():
    pool = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        program=echoing(fleet_model.answer_at_once),
    )
    pool.links.deliver = lambda frame: (
        [0.0005, 0.3]
        if isinstance(frame.content, messages.SendAnswer)
        else [0.0005]
    )
    replies = []
    for number in range(20):
        reply = pool.call(
            "entry-1",
            scenarios.get_request("orderline"),
            user_request_id=f"r{number}",
        )
        replies.append(reply)
        pool.run_for(0.05)
    pool.run_for(1)
    for number, reply in enumerate(replies):
        assert reply.answer.body == f"r{number}".encode()
    assert len(records_of(pool, CODES.LATE_ANSWER_DROPPED)) == 20


def test_an_answer_with_a_wrong_host_number_or_request_is_dropped():
    pool = scenarios.make_pool(
        scenarios.make_preset(), count=1, program=scenarios.work_program(0.1)
    )
    reply = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="r"
    )
    pool.run_until(lambda: pool.runs_of("r"))
    (_, _, call) = pool.calls_sent[-1]
    for host_id, number, user_request_id in (
        ("orderline-9", call.number, "r"),
        ("orderline-1", call.number + 1, "r"),
        ("orderline-1", call.number, "other"),
    ):
        answer = core.Answer(outcome=COMPLETED, body=b"not for you")
        pool.send_event(
            "entry-1",
            messages.PeerAnswered(
                host_id=host_id,
                number=number,
                user_request_id=user_request_id,
                answer=answer,
            ),
        )
    assert len(records_of(pool, CODES.LATE_ANSWER_DROPPED)) == 3
    pool.run_until(lambda: reply.done)
    assert reply.answer.body == b"ok"


def test_a_refusal_after_a_lost_dispatch_says_unknown():
    preset = scenarios.make_preset(below=True)
    pool = scenarios.make_pool(
        preset, count=2, program=scenarios.work_program(5)
    )
    reply = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="r"
    )
    pool.run_until(lambda: pool.runs_of("r"))
    first = pool.runs_of("r")[0].host_id
    for host_id in ("orderline-1", "orderline-2"):
        if host_id != first:
            pool.send_event(host_id, messages.DrainStarted())
    pool.kill_node(first, noticed=False)
    pool.run_until(lambda: reply.done)
    assert (reply.error, reply.outcome) == (KINDS.DRAINING, UNKNOWN)


def test_a_childs_refusal_is_not_the_parents():
    chain = scenarios.make_chain(scenarios.make_preset())
    chain.send_event("feederdesk", messages.DrainStarted())
    reply = chain.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    chain.run_until(lambda: reply.done)
    assert (reply.outcome, reply.answer.status) == (COMPLETED, 502)


def test_a_servers_shed_status_is_not_run_only_by_its_policy():
    def shedding(_start):
        yield fleet_model.Work(seconds=0.001)
        return fleet_model.Response(status=503)

    for shed_status, outcome in ((503, NOT_RUN), (None, COMPLETED)):
        preset = scenarios.make_preset()
        preset.services_by_name["orderline"] = model.ServicePolicy(
            shed_status=shed_status
        )
        pool = scenarios.make_pool(preset, count=1, program=shedding)
        reply = pool.call(
            "entry-1", scenarios.get_request("orderline"), user_request_id="r"
        )
        pool.run_until(lambda reply=reply: reply.done)
        assert reply.outcome is outcome


def test_a_shed_status_after_a_call_below_is_an_ordinary_answer():
    def late(_start):
        yield fleet_model.Invoke(requests=[scenarios.get_request("feederdesk")])
        return fleet_model.Response(status=503)

    made = fleet.Fleet(preset=scenarios.make_preset())
    made.add_node("kitview", service="kitview", program=late)
    made.add_node("feederdesk", service="feederdesk")
    reply = made.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    made.run_until(lambda: reply.done)
    assert (reply.outcome, reply.answer.status) == (COMPLETED, 503)


def test_an_internal_failure_answers_its_own_call_only():
    pool = scenarios.make_pool(scenarios.make_preset(), count=1)
    target = pool.nodes_by_id["orderline-1"].engine
    start = target._executor._start

    def failing_start(run):
        start(run)
        if run.call.user_request_id == "bad":
            raise RuntimeError("broken")

    target._executor._start = failing_start
    good = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="g"
    )
    bad = pool.call(
        "entry-2", scenarios.get_request("orderline"), user_request_id="bad"
    )
    pool.run_until(lambda: good.done and bad.done)
    assert good.outcome is COMPLETED
    assert (bad.error, bad.outcome) == (KINDS.INTERNAL, UNKNOWN)
    (record,) = records_of(pool, CODES.CALL_FAILED_INTERNALLY)
    assert "broken" in record.fields["trace"]
    pool.run_for(10)
    assert target.is_idle()


def test_a_failure_of_a_queued_call_is_not_that_of_the_one_before():
    pool = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        slots=1,
        program=scenarios.work_program(0.1),
    )
    target = pool.nodes_by_id["orderline-1"].engine
    start = target._executor._start

    def failing_start(run):
        if run.call.user_request_id == "bad":
            raise RuntimeError("broken")
        start(run)

    target._executor._start = failing_start
    good = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="g"
    )
    pool.run_for(0.01)
    bad = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="bad"
    )
    pool.run_until(lambda: good.done and bad.done)
    assert good.outcome is COMPLETED
    assert (bad.error, bad.outcome) == (KINDS.INTERNAL, UNKNOWN)
    after = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="a"
    )
    pool.run_until(lambda: after.done)
    assert after.outcome is COMPLETED


def test_a_failure_that_persists_still_answers_every_call():
    pool = scenarios.make_pool(scenarios.make_preset(), count=1)
    target = pool.nodes_by_id["orderline-1"].engine

    def failing_load():
        raise RuntimeError("broken")

    target._server.load = failing_load
    for request in (
        scenarios.get_request("orderline"),
        scenarios.post_request("orderline"),
    ):
        reply = pool.call("entry-1", request, user_request_id="r")
        pool.run_until(lambda reply=reply: reply.done)
        assert (reply.error, reply.outcome) == (KINDS.INTERNAL, UNKNOWN)


def test_a_failure_of_admission_does_not_lose_a_complete_answer():
    pool = scenarios.make_pool(scenarios.make_preset(), count=1)
    server = pool.nodes_by_id["orderline-1"].engine._server

    def failing_finish(*_args, **_kwargs):
        raise RuntimeError("broken")

    server.finish = failing_finish
    reply = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="r"
    )
    pool.run_until(lambda: reply.done)
    assert reply.outcome is COMPLETED
    assert len(records_of(pool, CODES.CALL_FAILED_INTERNALLY)) == 1


def announce(made, host_id, service="orderline", slots=10):
    made.send_event(
        host_id,
        messages.ServerAnnounced(service=service, slots=slots, connections=99),
    )


def test_a_servers_death_fails_no_more_than_its_own_runs():
    pool = scenarios.make_pool(
        scenarios.make_preset(), count=1, program=scenarios.work_program(1)
    )
    replies = [
        pool.call(
            "entry-1",
            scenarios.get_request("orderline"),
            user_request_id=f"r{n}",
        )
        for n in range(8)
    ]
    pool.run_for(0.3)
    pool.kill_server("orderline-1")
    pool.run_until(lambda: all(reply.done for reply in replies))
    assert {reply.error for reply in replies} == {KINDS.SERVER_LOST}
    assert records_of(pool, CODES.CALL_FAILED_INTERNALLY) == []


def test_a_node_that_restarts_beside_a_dead_server_is_not_ready():
    pool = scenarios.make_pool(scenarios.make_preset(), count=1)
    pool.kill_server("orderline-1")
    pool.kill_node("orderline-1")
    pool.start_node("orderline-1")
    for request in (
        scenarios.get_request("orderline"),
        scenarios.post_request("orderline"),
    ):
        reply = pool.call("entry-1", request, user_request_id="r")
        pool.run_until(lambda reply=reply: reply.done)
        assert (reply.error, reply.outcome) == (KINDS.NOT_READY, NOT_RUN)


def test_slots_freed_while_the_server_was_silent_are_free_afterwards():
    pool = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        slots=2,
        program=scenarios.work_program(0.1),
    )
    replies = [
        pool.call(
            "entry-1",
            scenarios.get_request("orderline"),
            user_request_id=f"r{n}",
        )
        for n in range(2)
    ]
    pool.run_for(0.05)
    pool.send_event("orderline-1", messages.ServerUnresponsive())
    pool.run_until(lambda: all(reply.done for reply in replies))
    assert [reply.outcome for reply in replies] == [COMPLETED] * 2
    announce(pool, "orderline-1", slots=2)
    load = pool.nodes_by_id["orderline-1"].engine.load()
    assert (load.running, load.limit) == (0, 2)
    assert records_of(pool, CODES.CALL_FAILED_INTERNALLY) == []


def test_a_server_of_another_service_leaves_no_call_waiting():
    pool = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        slots=1,
        program=scenarios.work_program(1),
    )
    replies = [
        pool.call(
            "entry-1",
            scenarios.get_request("orderline"),
            user_request_id=f"r{number}",
        )
        for number in range(2)
    ]
    pool.run_for(0.05)
    announce(pool, "orderline-1", service="kitview", slots=1)
    pool.run_for(0.05)
    assert [reply.error for reply in replies if reply.done] == [KINDS.NO_SERVER]


def test_an_internal_failure_at_the_origin_answers_its_caller_once():
    pool = scenarios.make_pool(scenarios.make_preset(), count=1)
    dispatcher = pool.nodes_by_id["entry-1"].engine._dispatcher

    def failing_reply(*_args):
        raise RuntimeError("broken")

    dispatcher._take_answer = failing_reply
    reply = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="r"
    )
    pool.run_until(lambda: reply.done)
    assert (reply.error, reply.outcome) == (KINDS.INTERNAL, UNKNOWN)
    pool.run_for(10)
    assert len(replies_to(pool, "r")) == 1
    assert pool.nodes_by_id["entry-1"].engine.is_idle()


def test_a_hopeless_request_is_answered_at_once():
    pool = scenarios.make_pool(scenarios.make_preset(), count=1)
    pool.kill_node("orderline-1")
    before = pool.now
    reply = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="r"
    )
    pool.run_until(lambda: reply.done)
    assert pool.now - before < 0.01
    assert reply.outcome is NOT_RUN
    assert reply.answer.retry_after_s == 1


def test_a_deadly_request_stops_at_two_servers():
    pool = scenarios.make_pool(
        scenarios.make_preset(below=True),
        count=4,
        program=scenarios.work_program(5),
    )
    pool.servers.on_run = lambda run: pool.after(
        0.01, lambda: pool.kill_server(run.host_id)
    )
    for attempt in range(4):
        reply = pool.call(
            "entry-1",
            scenarios.get_request("orderline"),
            user_request_id="r",
            attempt=attempt,
        )
        pool.run_until(lambda reply=reply: reply.done)
        assert reply.outcome is UNKNOWN
    assert len(pool.runs_of("r")) == 2
