import random

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.python import failure
from twisted.web import client as web_client
from twisted.web import http
from twisted.web import http_headers

from bergamotdeal.caller import core
from bergamotdeal.caller import deferred
from bergamotdeal.errors import core as errors

REQUIRED = (
    428,
    {
        "Bergamot-Outcome": "not-run",
        "Bergamot-Error": "ticket-required",
        "Bergamot-Ticket": "dGlja2V0",
    },
    b"",
)
DONE = (200, {"Bergamot-Outcome": "completed"}, b"done")


class Received:
    """An answer of which the body arrives whole or not."""

    def __init__(self, code, headers, body, reason):
        self.code = code
        self.phrase = b""
        self.headers = http_headers.Headers(
            {name: [value] for name, value in headers.items()}
        )
        self.body = body
        self.reason = reason

    def deliverBody(self, protocol):  # noqa: N802
        protocol.dataReceived(self.body)
        protocol.connectionLost(failure.Failure(self.reason))


class ScriptedAgent:
    """Gives the next scripted answer, error or silence."""

    def __init__(self, *script):
        self.script = list(script)
        self.seen = []

    def request(self, method, url, headers, body):
        self.seen.append(headers)
        step = self.script.pop(0)
        match step:
            case None:
                return defer.Deferred()
            case Exception():
                return defer.fail(step)
            case (code, headers, content):
                reason = web_client.ResponseDone()
                return defer.succeed(Received(code, headers, content, reason))
            case Received():
                return defer.succeed(step)


def call(agent, *, policy=None):
    clock = task.Clock()
    client = deferred.Client(
        reactor=clock,
        entries=[("127.0.0.1", 1)],
        policy=policy or core.RetryPolicy(),
        rng=random.Random(1),
        agent=agent,
    )
    made = client.call(service="orderline", method="POST", path="/orders")
    results = []
    made.addCallback(results.append)
    for _ in range(400):
        clock.advance(0.1)
    return results[0]


def header(agent, number, name):
    values = agent.seen[number].getRawHeaders(name, [None])
    return values[0]


def test_one_call_gets_the_ticket_and_uses_it():
    agent = ScriptedAgent(REQUIRED, DONE)
    assert call(agent).ok_value.body == b"done"
    assert header(agent, 0, "bergamot-ticket") is None
    assert header(agent, 1, "bergamot-ticket") == "dGlja2V0"


@pytest.mark.parametrize(
    "reason",
    [
        web_client.ResponseFailed([failure.Failure(error.ConnectionLost())]),
        http.PotentialDataLoss(),
    ],
)
def test_a_cut_answer_is_asked_for_again_with_the_ticket(reason):
    cut = Received(200, DONE[1], b"do", reason)
    agent = ScriptedAgent(REQUIRED, cut, DONE)
    assert call(agent).ok_value.body == b"done"
    assert header(agent, 2, "bergamot-ticket") == "dGlja2V0"
    assert header(agent, 2, "bergamot-attempt") == "1"


def test_silence_ends_as_unknown_at_the_deadline():
    agent = ScriptedAgent(REQUIRED, None)
    failed = call(agent, policy=core.RetryPolicy(timeout_s=5.0)).err_value
    assert failed.outcome is errors.Outcome.UNKNOWN
    assert failed.ticket == "dGlja2V0"


def test_an_unreachable_entry_leaves_the_request_not_run():
    agent = ScriptedAgent(*[error.ConnectionRefusedError()] * 4)
    assert call(agent).err_value.outcome is errors.Outcome.NOT_RUN
