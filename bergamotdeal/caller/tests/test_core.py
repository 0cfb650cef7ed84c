import base64
import random

from bergamotdeal.caller import core
from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors
from bergamotdeal.utils import headers as header_names
from standins import fleet_model

KINDS = errors.ErrorKind
POLICY = core.RetryPolicy()


def start(**kwargs):
    kwargs.setdefault("policy", POLICY)
    return core.CallStateMachine(now=0.0, rng=random.Random(1), **kwargs)


def refusal(kind, *, may_have_run=False, ticket=""):
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


def sent(conversation, now=0.0):
    return dict(conversation.headers(now))


TICKET = base64.urlsafe_b64encode(b"ticket").decode()


def test_a_ticket_is_used_at_once_within_the_same_attempt():
    talk = start()
    first = sent(talk)
    step = talk.answered(refusal(KINDS.TICKET_REQUIRED, ticket=TICKET), 0.1)
    assert step == core.SendAgain(after_s=0.0)
    second = sent(talk, 0.1)
    assert second[header_names.TICKET] == TICKET
    assert second[header_names.ATTEMPT] == first[header_names.ATTEMPT] == "0"
    assert second[header_names.REQUEST_ID] == first[header_names.REQUEST_ID]


def test_a_lost_answer_is_asked_for_again_with_the_same_ticket():
    talk = start()
    talk.answered(refusal(KINDS.TICKET_REQUIRED, ticket=TICKET), 0.1)
    assert isinstance(talk.lost(0.2), core.SendAgain)
    again = sent(talk, 0.3)
    assert again[header_names.TICKET] == TICKET
    assert again[header_names.ATTEMPT] == "1"


def test_a_refused_ticket_is_given_up_and_retry_after_is_kept():
    talk = start()
    talk.answered(refusal(KINDS.TICKET_REQUIRED, ticket=TICKET), 0.1)
    step = talk.answered(refusal(KINDS.SHED), 0.2)
    assert step.after_s >= 1
    assert header_names.TICKET not in sent(talk, 2.0)


def test_a_lost_ticket_ends_the_call_as_unknown():
    talk = start()
    talk.answered(refusal(KINDS.TICKET_REQUIRED, ticket=TICKET), 0.1)
    talk.lost(0.2)
    step = talk.answered(refusal(KINDS.TICKET_LOST), 0.5)
    assert step.failure.outcome is errors.Outcome.UNKNOWN
    assert step.failure.ticket == TICKET


def test_a_refusal_that_a_resend_cannot_help_ends_the_call():
    step = start().answered(refusal(KINDS.UNKNOWN_SERVICE), 0.1)
    assert step.failure.outcome is errors.Outcome.NOT_RUN
    assert step.failure.attempts == 1


def test_attempts_and_deadline_bound_the_sendings():
    talk = start(policy=core.RetryPolicy(max_attempts=2))
    assert isinstance(talk.lost(0.1), core.SendAgain)
    assert isinstance(talk.lost(0.2), core.ReturnFailure)
    late = start(policy=core.RetryPolicy(timeout_s=0.5))
    assert isinstance(
        late.answered(refusal(KINDS.SHED), 0.1), core.ReturnFailure
    )


def test_an_entry_that_is_not_there_costs_no_certainty():
    talk = start(policy=core.RetryPolicy(max_attempts=2))
    assert isinstance(talk.unreachable(0.1), core.SendAgain)
    assert sent(talk)[header_names.ATTEMPT] == "0"
    step = talk.unreachable(0.2)
    assert step.failure.outcome is errors.Outcome.NOT_RUN


def test_an_answer_without_an_outcome_proves_nothing():
    talk = start(policy=core.RetryPolicy(max_attempts=1))
    step = talk.answered(core.Response(status=200, headers=[], body=b""), 0.1)
    assert step.failure.outcome is errors.Outcome.UNKNOWN


class FleetCaller:
    """Carries a conversation out on an in-memory fleet."""

    def __init__(self, made, request):
        self.made = made
        self.request = request
        self.talk = core.CallStateMachine(
            policy=POLICY, now=made.now, rng=random.Random(2)
        )
        self.result = None
        self.send()

    def send(self):
        headers = dict(self.talk.headers(self.made.now))
        ticket = headers.get(header_names.TICKET, "")
        reply = self.made.call(
            "entry-1",
            self.request,
            user_request_id=headers[header_names.REQUEST_ID],
            attempt=int(headers[header_names.ATTEMPT]),
            ticket=base64.urlsafe_b64decode(ticket),
        )
        if reply.done:
            self.take(reply)
        else:
            reply.when_done = self.take

    def take(self, reply):
        step = self.step_for(reply)
        match step:
            case core.SendAgain(after_s=after_s):
                self.made.after(after_s, self.send)
            case core.ReturnResponse() | core.ReturnFailure():
                self.result = step

    def step_for(self, reply):
        answer = reply.answer
        if answer is None:
            return self.talk.lost(self.made.now)
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
        return self.talk.answered(response, self.made.now)


def run_on_fleet(made):
    caller = FleetCaller(made, scenarios.post_request("orderline"))
    made.run_until(lambda: caller.result is not None)
    return caller


def test_a_reservation_runs_once_although_its_answer_is_lost():
    made = scenarios.make_pool(scenarios.make_preset())
    losses = iter([True])

    def is_result(content):
        is_answer = isinstance(content, messages.SendAnswer)
        return is_answer and content.answer.status == 200

    def lose_first_result(frame):
        if is_result(frame.content) and next(losses, False):
            made.after(0, lambda: made.links.reset("entry-1", frame.source))
            return []
        return [0.0005]

    made.links.deliver = lose_first_result
    caller = run_on_fleet(made)
    assert isinstance(caller.result, core.ReturnResponse)
    assert len(made.servers.runs) == 1


def test_a_reservation_is_made_once_the_overload_is_over():
    made = scenarios.make_pool(scenarios.make_preset(), count=1)
    node = made.nodes_by_id["orderline-1"]

    def shedding(_start):
        yield fleet_model.Work(seconds=0.001)
        return fleet_model.Response(status=503)

    node.program = shedding
    made.after(
        0.5, lambda: setattr(node, "program", fleet_model.answer_at_once)
    )
    caller = run_on_fleet(made)
    assert isinstance(caller.result, core.ReturnResponse)
    assert sum(run.status == 200 for run in made.servers.runs) == 1
