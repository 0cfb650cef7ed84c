import base64
import random

from bergamotdeal.caller import core
from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors
from bergamotdeal.utils import headers as header_names
from standins import fleet_model

ErrorKind = errors.ErrorKind
POLICY = core.RetryPolicy()


def start_call(**kwargs):
    kwargs.setdefault("policy", POLICY)
    return core.Conversation(now=0.0, rng=random.Random(1), **kwargs)


def build_refusal(kind, *, may_have_run=False, ticket=""):
    entry = errors.ANSWERS_BY_KIND[kind]
    outcome = errors.resolve_outcome(kind, may_have_run=may_have_run)
    headers = [
        (header_names.OUTCOME, outcome.value),
        (header_names.ERROR, kind.value),
    ]
    if entry.retry_after_s is not None:
        headers.append((header_names.RETRY_AFTER, str(entry.retry_after_s)))
    if ticket:
        headers.append((header_names.TICKET, ticket))
    return core.Response(status=entry.status, headers=headers, body=b"")


def build_headers(machine, now=0.0):
    return dict(machine.headers(now))


TICKET = base64.urlsafe_b64encode(b"ticket").decode()


def test_ticket_is_used_at_once_in_same_attempt():
    machine = start_call()
    first_headers = build_headers(machine)
    action = machine.answered(
        build_refusal(ErrorKind.TICKET_REQUIRED, ticket=TICKET), 0.1
    )
    assert action == core.Send(after_s=0.0)
    second_headers = build_headers(machine, 0.1)
    assert second_headers[header_names.TICKET] == TICKET
    assert (
        second_headers[header_names.ATTEMPT]
        == first_headers[header_names.ATTEMPT]
        == "0"
    )
    assert (
        second_headers[header_names.REQUEST_ID]
        == first_headers[header_names.REQUEST_ID]
    )


def test_lost_answer_is_requested_again_with_same_ticket():
    machine = start_call()
    machine.answered(
        build_refusal(ErrorKind.TICKET_REQUIRED, ticket=TICKET), 0.1
    )
    assert isinstance(machine.lost(0.2), core.Send)
    retry_headers = build_headers(machine, 0.3)
    assert retry_headers[header_names.TICKET] == TICKET
    assert retry_headers[header_names.ATTEMPT] == "1"


def test_refusal_as_not_run_drops_ticket_and_honours_retry_after():
    machine = start_call()
    machine.answered(
        build_refusal(ErrorKind.TICKET_REQUIRED, ticket=TICKET), 0.1
    )
    action = machine.answered(build_refusal(ErrorKind.SHED), 0.2)
    assert action.after_s >= 1
    assert header_names.TICKET not in build_headers(machine, 2.0)


def test_lost_ticket_ends_call_as_unknown():
    machine = start_call()
    machine.answered(
        build_refusal(ErrorKind.TICKET_REQUIRED, ticket=TICKET), 0.1
    )
    machine.lost(0.2)
    action = machine.answered(build_refusal(ErrorKind.TICKET_LOST), 0.5)
    assert action.failure.outcome is errors.Outcome.UNKNOWN
    assert action.failure.ticket == TICKET


def test_refusal_without_retry_after_ends_call_as_not_run():
    action = start_call().answered(
        build_refusal(ErrorKind.UNKNOWN_SERVICE), 0.1
    )
    assert action.failure.outcome is errors.Outcome.NOT_RUN
    assert action.failure.attempts == 1


def test_retries_stop_at_max_attempts_and_timeout():
    machine = start_call(policy=core.RetryPolicy(attempts=2))
    assert isinstance(machine.lost(0.1), core.Send)
    assert isinstance(machine.lost(0.2), core.Fail)
    late_machine = start_call(policy=core.RetryPolicy(deadline_s=0.5))
    assert isinstance(
        late_machine.answered(build_refusal(ErrorKind.SHED), 0.1),
        core.Fail,
    )


def test_unreachable_entry_keeps_attempt_number_and_not_run():
    machine = start_call(policy=core.RetryPolicy(attempts=2))
    assert isinstance(machine.unreachable(0.1), core.Send)
    assert build_headers(machine)[header_names.ATTEMPT] == "0"
    action = machine.unreachable(0.2)
    assert action.failure.outcome is errors.Outcome.NOT_RUN


def test_answer_without_outcome_ends_call_as_unknown():
    machine = start_call(policy=core.RetryPolicy(attempts=1))
    action = machine.answered(
        core.Response(status=200, headers=[], body=b""), 0.1
    )
    assert action.failure.outcome is errors.Outcome.UNKNOWN


class FleetCaller:
    """Caller whose state machine runs on an in-memory fleet."""

    def __init__(self, fleet, request):
        self.fleet = fleet
        self.request = request
        self.machine = core.Conversation(
            policy=POLICY, now=fleet.now, rng=random.Random(2)
        )
        self.final_action = None
        self.send()

    def send(self):
        headers = dict(self.machine.headers(self.fleet.now))
        ticket = headers.get(header_names.TICKET, "")
        reply = self.fleet.call(
            "entry-1",
            self.request,
            user_request_id=headers[header_names.REQUEST_ID],
            attempt=int(headers[header_names.ATTEMPT]),
            ticket=base64.urlsafe_b64decode(ticket),
        )
        if reply.done:
            self.handle_reply(reply)
        else:
            reply.when_done = self.handle_reply

    def handle_reply(self, reply):
        action = self.decide(reply)
        match action:
            case core.Send(after_s=after_s):
                self.fleet.after(after_s, self.send)
            case core.Succeed() | core.Fail():
                self.final_action = action

    def decide(self, reply):
        answer = reply.answer
        if answer is None:
            return self.machine.lost(self.fleet.now)
        headers = [(header_names.OUTCOME, answer.outcome.value)]
        if answer.error:
            headers.append((header_names.ERROR, answer.error.value))
        if answer.retry_after_s is not None:
            retry_after = str(answer.retry_after_s)
            headers.append((header_names.RETRY_AFTER, retry_after))
        if answer.ticket:
            ticket = base64.urlsafe_b64encode(answer.ticket).decode()
            headers.append((header_names.TICKET, ticket))
        response = core.Response(
            status=answer.status, headers=headers, body=answer.body
        )
        return self.machine.answered(response, self.fleet.now)


def run_call_on_fleet(fleet):
    caller = FleetCaller(fleet, scenarios.post_request("orderline"))
    fleet.run_until(lambda: caller.final_action is not None)
    return caller


def test_request_runs_once_although_its_answer_is_lost():
    fleet = scenarios.make_pool(scenarios.make_preset())
    resets = iter([True])

    def is_successful_answer(content):
        is_answer = isinstance(content, messages.SendAnswer)
        return is_answer and content.answer.status == 200

    def reset_link_on_first_answer(frame):
        if is_successful_answer(frame.content) and next(resets, False):
            fleet.after(0, lambda: fleet.links.reset("entry-1", frame.source))
            return []
        return [0.0005]

    fleet.links.deliver = reset_link_on_first_answer
    caller = run_call_on_fleet(fleet)
    assert isinstance(caller.final_action, core.Succeed)
    assert len(fleet.servers.runs) == 1


def test_request_succeeds_once_after_overload_ends():
    fleet = scenarios.make_pool(scenarios.make_preset(), count=1)
    node = fleet.nodes_by_id["orderline-1"]

    def shed_request(_start):
        yield fleet_model.Work(seconds=0.001)
        return fleet_model.Response(status=503)

    node.program = shed_request
    fleet.after(
        0.5, lambda: setattr(node, "program", fleet_model.answer_at_once)
    )
    caller = run_call_on_fleet(fleet)
    assert isinstance(caller.final_action, core.Succeed)
    assert sum(run.status == 200 for run in fleet.servers.runs) == 1
