"""Open-loop load generator with a fixed mean rate and aggressive retries."""

import collections
import dataclasses
import json
import random

from twisted.internet import defer
from twisted.internet import task

from bergamotdeal.utils import headers as header_names
from standins import http_client

BROWSE_TARGET = "/kitview/kits/17"
CRITICAL_TARGET = "/kitview/reservations"
TICKET_REQUIRED = 428


@dataclasses.dataclass(frozen=True, kw_only=True)
class Phase:
    """A phase of load.

    Attributes:
      name: Name of the phase.
      rate_per_s: Mean rate of user requests per second.
      duration_s: Duration of the phase in seconds.
      critical_share: Fraction of critical requests.
      tries: Maximum number of attempts of one request.
      resend_after_s: Delay in seconds before a retry.
      deadline_ms: Deadline of one attempt in milliseconds.
      total_timeout_ms: Time limit in milliseconds of all attempts together;
        zero means `deadline_ms`.
    """

    name: str
    rate_per_s: float
    duration_s: float
    critical_share: float = 0.2
    tries: int = 4
    resend_after_s: float = 0.05
    deadline_ms: int = 1000
    total_timeout_ms: int = 0


@dataclasses.dataclass(kw_only=True)
class UserRequest:
    """A user request with the answers that its caller received.

    Attributes:
      phase: Name of the phase in which it was first sent.
      request_id: User request id.
      is_critical: Whether it is of the critical class and not repeatable.
      sent_at: Time of the first sending in monotonic seconds.
      ended_at: Time of the last answer in monotonic seconds.
      sendings: Number of attempts; fetching a ticket is not counted.
      status: HTTP status of the last answer; zero without an answer.
      outcome: Outcome of the last answer.
      error: Error kind of the last answer.
      body: Body of the last answer.
    """

    phase: str
    request_id: str
    is_critical: bool
    sent_at: float
    ended_at: float = 0.0
    sendings: int = 0
    status: int = 0
    outcome: str = "unknown"
    error: str = "no-answer"
    body: bytes = b""

    @property
    def completed(self) -> bool:
        """Whether the last answer has status 200."""
        return self.status == 200

    @property
    def has_own_answer(self) -> bool:
        """Whether the completed answer belongs to this request."""
        return json.loads(self.body)["request_id"] == self.request_id


class Callers:
    """An open-loop load generator that sends to the entry faces of hosts.

    Args:
      reactor: Twisted reactor.
      entries: Address and port of each entry face.
      seed: Seed of the arrivals, classes and request ids.

    Attributes:
      requests: All user requests in the order of their first sending.
    """

    def __init__(
        self, *, reactor, entries: list[tuple[str, int]], seed: int
    ) -> None:
        self._reactor = reactor
        self._rng = random.Random(seed)
        self._clients = [
            http_client.Client(reactor=reactor, address=address, port=port)
            for address, port in entries
        ]
        self.requests: list[UserRequest] = []
        self._open_requests = 0
        self._all_done: defer.Deferred[None] | None = None

    @defer.inlineCallbacks
    def run(self, phases: list[Phase]):
        """Runs the phases in sequence, then waits for all open requests.

        Args:
          phases: Phases in order.
        """
        for phase in phases:
            end = self._reactor.seconds() + phase.duration_s
            due = self._reactor.seconds()
            while due < end:
                due += self._rng.expovariate(phase.rate_per_s)
                delay_s = max(0.0, due - self._reactor.seconds())
                yield task.deferLater(self._reactor, delay_s)
                self._start_request(phase)
        if self._open_requests:
            self._all_done = defer.Deferred()
            yield self._all_done

    def _start_request(self, phase: Phase) -> None:
        request = UserRequest(
            phase=phase.name,
            request_id=self._rng.randbytes(8).hex(),
            is_critical=self._rng.random() < phase.critical_share,
            sent_at=self._reactor.seconds(),
        )
        self.requests.append(request)
        self._open_requests += 1
        done = self._send_until_done(phase, request)
        done.addBoth(self._finish_request)

    def _finish_request(self, outcome) -> None:
        self._open_requests -= 1
        if self._all_done is not None and not self._open_requests:
            self._all_done.callback(None)
        if outcome is not None:
            outcome.printTraceback()

    @defer.inlineCallbacks
    def _send_until_done(self, phase: Phase, request: UserRequest):
        ticket = ""
        total_timeout_ms = phase.total_timeout_ms or phase.deadline_ms
        deadline = request.sent_at + total_timeout_ms / 1000
        while True:
            remaining_s = deadline - self._reactor.seconds()
            if remaining_s <= 0:
                break
            remaining_s = min(remaining_s, phase.deadline_ms / 1000)
            response = yield self._send(request, ticket, remaining_s)
            request.ended_at = self._reactor.seconds()
            if response is not None:
                _record_response(request, response)
                ticket = response.headers_by_name.get(
                    header_names.TICKET, ticket
                )
            if request.status == TICKET_REQUIRED:
                continue
            request.sendings += 1
            if request.completed or request.sendings >= phase.tries:
                break
            yield task.deferLater(self._reactor, phase.resend_after_s)

    @defer.inlineCallbacks
    def _send(self, request: UserRequest, ticket: str, remaining_s: float):
        headers_by_name = {
            header_names.REQUEST_ID: request.request_id,
            header_names.DEADLINE_MS: str(max(1, int(remaining_s * 1000))),
            header_names.ATTEMPT: str(request.sendings),
        }
        if ticket:
            headers_by_name[header_names.TICKET] = ticket
        client = self._rng.choice(self._clients)
        method = "POST" if request.is_critical else "GET"
        target = CRITICAL_TARGET if request.is_critical else BROWSE_TARGET
        try:
            response = yield client.request(
                method,
                target,
                headers_by_name=headers_by_name,
                timeout_s=remaining_s + 0.1,
            )
        except (http_client.RequestError, defer.CancelledError):
            return None
        return response


def _record_response(
    request: UserRequest, response: http_client.Response
) -> None:
    headers_by_name = response.headers_by_name
    request.status = response.status
    request.outcome = headers_by_name.get(header_names.OUTCOME, "unknown")
    request.error = headers_by_name.get(header_names.ERROR, "")
    request.body = response.body


def count_outcomes(
    requests: list[UserRequest],
) -> dict[tuple[str, str, str], int]:
    """Counts requests by phase, class and outcome.

    Args:
      requests: Requests to count.

    Returns:
      Counts by phase, class name and outcome. A completed request that the
      application answered with an error counts as ``failed``.
    """
    counts: dict[tuple[str, str, str], int] = collections.Counter()
    for request in requests:
        class_name = "critical" if request.is_critical else "browse"
        outcome = request.outcome
        if outcome == "completed" and not request.completed:
            outcome = "failed"
        counts[request.phase, class_name, outcome] += 1
    return counts
