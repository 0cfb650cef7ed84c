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

TICKET_REQUIRED = (
    428,
    {
        "Bergamot-Outcome": "not-run",
        "Bergamot-Error": "ticket-required",
        "Bergamot-Ticket": "dGlja2V0",
    },
    b"",
)
COMPLETED = (200, {"Bergamot-Outcome": "completed"}, b"done")


class ScriptedResponse:
    """HTTP response whose body ends with a given reason."""

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
    """HTTP agent that gives the next scripted answer, error or no answer."""

    def __init__(self, *script):
        self.script = list(script)
        self.received_headers = []

    def request(self, method, url, headers, body):
        self.received_headers.append(headers)
        scripted = self.script.pop(0)
        match scripted:
            case None:
                return defer.Deferred()
            case Exception():
                return defer.fail(scripted)
            case (code, headers, content):
                reason = web_client.ResponseDone()
                return defer.succeed(
                    ScriptedResponse(code, headers, content, reason)
                )
            case ScriptedResponse():
                return defer.succeed(scripted)


def call_service(agent, *, policy=None):
    clock = task.Clock()
    client = deferred.Client(
        reactor=clock,
        entries=[("127.0.0.1", 1)],
        policy=policy or core.RetryPolicy(),
        rng=random.Random(1),
        agent=agent,
    )
    pending_result = client.call(
        service="orderline", method="POST", path="/orders"
    )
    results = []
    pending_result.addCallback(results.append)
    for _ in range(400):
        clock.advance(0.1)
    return results[0]


def get_header(agent, index, name):
    values = agent.received_headers[index].getRawHeaders(name, [None])
    return values[0]


def test_call_gets_ticket_and_uses_it():
    agent = ScriptedAgent(TICKET_REQUIRED, COMPLETED)
    assert call_service(agent).ok_value.body == b"done"
    assert get_header(agent, 0, "bergamot-ticket") is None
    assert get_header(agent, 1, "bergamot-ticket") == "dGlja2V0"


@pytest.mark.parametrize(
    "reason",
    [
        web_client.ResponseFailed([failure.Failure(error.ConnectionLost())]),
        http.PotentialDataLoss(),
    ],
)
def test_truncated_answer_is_requested_again_with_ticket(reason):
    truncated = ScriptedResponse(200, COMPLETED[1], b"do", reason)
    agent = ScriptedAgent(TICKET_REQUIRED, truncated, COMPLETED)
    assert call_service(agent).ok_value.body == b"done"
    assert get_header(agent, 2, "bergamot-ticket") == "dGlja2V0"
    assert get_header(agent, 2, "bergamot-attempt") == "1"


def test_missing_answer_ends_call_as_unknown_at_timeout():
    agent = ScriptedAgent(TICKET_REQUIRED, None)
    call_failure = call_service(
        agent, policy=core.RetryPolicy(deadline_s=5.0)
    ).err_value
    assert call_failure.outcome is errors.Outcome.UNKNOWN
    assert call_failure.ticket == "dGlja2V0"


def test_unreachable_entry_ends_call_as_not_run():
    agent = ScriptedAgent(*[error.ConnectionRefusedError()] * 4)
    assert call_service(agent).err_value.outcome is errors.Outcome.NOT_RUN
