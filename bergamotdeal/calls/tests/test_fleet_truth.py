"""Outcomes reported to callers agree with the runs on the servers."""

import random

import hypothesis
from hypothesis import strategies

from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.calls.tests import test_fleet_allowance as random_fleet
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from standins import fleet
from standins import fleet_model

KINDS = errors.ErrorKind
NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN
COMPLETED = errors.Outcome.COMPLETED
CODES = catalogue.EventCode
SHED_STATUS = 503


def echo_request_id(program):
    """Makes a program that answers with the user request id.

    An answer to the wrong request is detected by its body.
    """

    def echo(start):
        response = yield from program(start)
        response.body = start.user_request_id.encode()
        return response

    return echo


class Caller:
    """Caller that retries a request up to three times until it completes."""

    def __init__(self, *, sim, request, user_request_id, rng):
        self.sim = sim
        self.request = request
        self.user_request_id = user_request_id
        self.rng = rng
        self.ticket = b""
        self.attempt = 0
        self.done = False
        self.send()

    def send(self):
        entry = self.rng.choice(("entry-1", "entry-2"))
        self.reply = self.sim.call(
            entry,
            self.request,
            user_request_id=self.user_request_id,
            attempt=self.attempt,
            ticket=self.ticket,
            deadline_ms=self.rng.choice((50, 500, 2000)),
        )
        if self.reply.done:
            self.handle_reply(self.reply)
        else:
            self.reply.when_done = self.handle_reply

    def find_own_runs(self):
        """Finds the runs of the request, without those that the server shed."""
        return [
            run
            for run in self.sim.runs_of(self.user_request_id)
            if run.start.request == self.request
            and (run.status != SHED_STATUS or run.invoked)
        ]

    def handle_reply(self, reply):
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
        self.sim.after(self.rng.uniform(0, 0.02), self.send)

    def check(self, reply):
        assert reply.user_request_id == self.user_request_id
        if reply.outcome is COMPLETED:
            assert reply.answer.body == self.user_request_id.encode()
            assert self.find_own_runs()
        if reply.outcome is NOT_RUN:
            assert self.find_own_runs() == []


def make_fleet(rng):
    sim = random_fleet.make_fleet(
        random_fleet.make_random_tree(rng), allowance=3
    )
    del sim.nodes_by_id["entry"]
    sim.add_node("entry-1")
    sim.add_node("entry-2")
    for node in sim.nodes_by_id.values():
        node.program = echo_request_id(node.program)
    return sim


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(seed=strategies.integers(0, 2**32))
def test_outcomes_match_server_runs_under_random_faults(seed):
    rng = random.Random(seed)
    sim = make_fleet(rng)
    random_fleet.add_random_faults(sim, rng)
    callers = [
        Caller(
            sim=sim,
            request=rng.choice((scenarios.get_request, scenarios.post_request))(
                "kitview"
            ),
            user_request_id=f"r{number}",
            rng=rng,
        )
        for number in range(6)
    ]
    sim.run_for(60)
    assert all(caller.done for caller in callers)
    for caller in callers:
        if caller.request.method == "POST":
            assert len(caller.find_own_runs()) <= 1
    for host_id, node in sim.nodes_by_id.items():
        assert node.engine.is_idle(), host_id
    assert find_records(sim, CODES.CALL_FAILED_INTERNALLY) == []


def find_reply_records(sim, user_request_id):
    return [
        record
        for _, _, record in sim.event_records
        if record.code is CODES.CALL_ANSWERED
        and record.user_request_id == user_request_id
    ]


def find_records(sim, code):
    return [record for _, _, record in sim.event_records if record.code is code]


def test_late_answer_is_dropped():
    pool = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        program=echo_request_id(fleet_model.answer_at_once),
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
    assert len(find_records(pool, CODES.LATE_ANSWER_DROPPED)) == 20


def test_answer_with_wrong_host_number_or_request_is_dropped():
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
        answer = rpc.Answer(outcome=COMPLETED, body=b"not for you")
        pool.send_event(
            "entry-1",
            messages.PeerAnswered(
                host_id=host_id,
                number=number,
                user_request_id=user_request_id,
                answer=answer,
            ),
        )
    assert len(find_records(pool, CODES.LATE_ANSWER_DROPPED)) == 3
    pool.run_until(lambda: reply.done)
    assert reply.answer.body == b"ok"


def test_refusal_after_lost_dispatch_is_unknown():
    preset = scenarios.make_preset(repeatable_below=True)
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
    pool.kill_node(first, detected=False)
    pool.run_until(lambda: reply.done)
    assert (reply.error, reply.outcome) == (KINDS.DRAINING, UNKNOWN)


def test_refusal_of_child_call_does_not_refuse_parent():
    chain = scenarios.make_chain(scenarios.make_preset())
    chain.send_event("feederdesk", messages.DrainStarted())
    reply = chain.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    chain.run_until(lambda: reply.done)
    assert (reply.outcome, reply.answer.status) == (COMPLETED, 502)


def test_shed_status_means_not_run_only_with_policy():
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


def test_shed_status_after_child_call_is_completed():
    def shed_late(_start):
        yield fleet_model.Invoke(requests=[scenarios.get_request("feederdesk")])
        return fleet_model.Response(status=503)

    sim = fleet.Fleet(preset=scenarios.make_preset())
    sim.add_node("kitview", service="kitview", program=shed_late)
    sim.add_node("feederdesk", service="feederdesk")
    reply = sim.call(
        "kitview", scenarios.get_request("kitview"), user_request_id="r"
    )
    sim.run_until(lambda: reply.done)
    assert (reply.outcome, reply.answer.status) == (COMPLETED, 503)


def test_internal_failure_fails_only_its_own_call():
    pool = scenarios.make_pool(scenarios.make_preset(), count=1)
    target = pool.nodes_by_id["orderline-1"].engine
    start = target._executor._start_run

    def failing_start(run):
        start(run)
        if run.call.user_request_id == "bad":
            raise RuntimeError("broken")

    target._executor._start_run = failing_start
    good = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="g"
    )
    bad = pool.call(
        "entry-2", scenarios.get_request("orderline"), user_request_id="bad"
    )
    pool.run_until(lambda: good.done and bad.done)
    assert good.outcome is COMPLETED
    assert (bad.error, bad.outcome) == (KINDS.INTERNAL, UNKNOWN)
    (record,) = find_records(pool, CODES.CALL_FAILED_INTERNALLY)
    assert "broken" in record.fields["trace"]
    pool.run_for(10)
    assert target.is_idle()


def test_failure_of_queued_call_does_not_fail_previous_call():
    pool = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        slots=1,
        program=scenarios.work_program(0.1),
    )
    target = pool.nodes_by_id["orderline-1"].engine
    start = target._executor._start_run

    def failing_start(run):
        if run.call.user_request_id == "bad":
            raise RuntimeError("broken")
        start(run)

    target._executor._start_run = failing_start
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


def test_persistent_failure_still_answers_every_call():
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


def test_admission_failure_does_not_lose_complete_answer():
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
    assert len(find_records(pool, CODES.CALL_FAILED_INTERNALLY)) == 1


def announce_server(sim, host_id, service="orderline", slots=10):
    sim.send_event(
        host_id,
        messages.ServerAnnounced(service=service, slots=slots, connections=99),
    )


def test_server_crash_fails_only_its_own_runs():
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
    assert find_records(pool, CODES.CALL_FAILED_INTERNALLY) == []


def test_node_restarted_beside_crashed_server_is_not_ready():
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


def test_slots_freed_while_server_unresponsive_stay_free():
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
    announce_server(pool, "orderline-1", slots=2)
    load = pool.nodes_by_id["orderline-1"].engine.load()
    assert (load.running, load.limit) == (0, 2)
    assert find_records(pool, CODES.CALL_FAILED_INTERNALLY) == []


def test_announcement_of_other_service_refuses_queued_calls():
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
    announce_server(pool, "orderline-1", service="kitview", slots=1)
    pool.run_for(0.05)
    assert [reply.error for reply in replies if reply.done] == [KINDS.NO_SERVER]


def test_internal_failure_at_origin_answers_caller_once():
    pool = scenarios.make_pool(scenarios.make_preset(), count=1)
    dispatcher = pool.nodes_by_id["entry-1"].engine._dispatcher

    def failing_reply(*_args):
        raise RuntimeError("broken")

    dispatcher._process_answer = failing_reply
    reply = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="r"
    )
    pool.run_until(lambda: reply.done)
    assert (reply.error, reply.outcome) == (KINDS.INTERNAL, UNKNOWN)
    pool.run_for(10)
    assert len(find_reply_records(pool, "r")) == 1
    assert pool.nodes_by_id["entry-1"].engine.is_idle()


def test_request_without_live_server_is_refused_at_once():
    pool = scenarios.make_pool(scenarios.make_preset(), count=1)
    pool.kill_node("orderline-1")
    started_at = pool.now
    reply = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="r"
    )
    pool.run_until(lambda: reply.done)
    assert pool.now - started_at < 0.01
    assert reply.outcome is NOT_RUN
    assert reply.answer.retry_after_s == 1


def test_crashing_request_is_stopped_after_two_servers():
    pool = scenarios.make_pool(
        scenarios.make_preset(repeatable_below=True),
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
