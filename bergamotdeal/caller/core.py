"""Retry logic of one call, without input or output.

A call may take several HTTP requests: one to get a ticket, one to use it, and
further ones after a refusal or a lost answer. ``CallStateMachine`` decides
after each answer whether to send again; a client does the input and output.
"""

import base64
import binascii
import dataclasses
import random

from bergamotdeal.errors import core as errors
from bergamotdeal.utils import headers as header_names

_KINDS = errors.ErrorKind
_REQUEST_ID_BYTES = 16
_MS_PER_S = 1000
_MAX_TICKET_ANSWERS = 3

_FINAL_KINDS = frozenset(
    {
        _KINDS.TICKET_INVALID,
        _KINDS.TICKET_MISMATCH,
        _KINDS.TICKET_EXPIRED,
        _KINDS.TICKET_LOST,
        _KINDS.ANSWER_GONE,
    }
)
"""Answers that no further sending under the same ticket can change."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryPolicy:
    """Bounds on the sendings of one call.

    Attributes:
      max_attempts: Attempts; asking for a ticket and using it are one.
      timeout_s: Time for the whole call, in seconds.
      base_backoff_s: Mean wait before the second attempt; it doubles each time.
      max_backoff_s: Longest mean wait.
    """

    max_attempts: int = 4
    timeout_s: float = 10.0
    base_backoff_s: float = 0.1
    max_backoff_s: float = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete answer of the service.

    Attributes:
      status: HTTP status.
      headers: Names in lower case with their values.
      body: The body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallFailure:
    """A call that ended without the service's answer.

    Attributes:
      outcome: ``NOT_RUN`` when it is certain that the request was not run,
        else ``UNKNOWN``.
      error: Error kind of the last answer, or None without one.
      request_id: Id of the request, to be named to the operators.
      ticket: Ticket by which a later call can learn what became of the
        request, or empty.
      attempts: Attempts made.
    """

    outcome: errors.Outcome
    error: errors.ErrorKind | None
    request_id: str
    ticket: str
    attempts: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendAgain:
    """Send the request again.

    Attributes:
      after_s: Time to wait before, in seconds.
    """

    after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReturnResponse:
    """The call is over with the service's answer."""

    response: Response


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReturnFailure:
    """The call is over without one."""

    failure: CallFailure


Action = SendAgain | ReturnResponse | ReturnFailure


class CallStateMachine:
    """Decides on the sendings of one call.

    Args:
      policy: Bounds.
      now: Time in monotonic seconds.
      rng: Source of the request id and of jitter.
      request_id: Id of the request; a new one when empty.
      ticket: Ticket of an earlier call for the same request, or empty.
    """

    def __init__(
        self,
        *,
        policy: RetryPolicy,
        now: float,
        rng: random.Random,
        request_id: str = "",
        ticket: str = "",
    ):
        self._policy = policy
        self._rng = rng
        self._deadline = now + policy.timeout_s
        self.request_id = request_id or rng.randbytes(_REQUEST_ID_BYTES).hex()
        self._ticket = ticket
        # A ticket from an earlier call may have been presented then.
        self._attempt = 1 if ticket else 0
        self._attempts_left = policy.max_attempts - 1
        self._ticket_answers = 0

    def time_left_s(self, now: float) -> float:
        """Returns the time left for the whole call, in seconds."""
        return max(0.0, self._deadline - now)

    def headers(self, now: float) -> list[tuple[str, str]]:
        """Returns the system's headers for the next sending.

        Args:
          now: Time in monotonic seconds.
        """
        left_ms = max(1, int(self.time_left_s(now) * _MS_PER_S))
        headers = [
            (header_names.REQUEST_ID, self.request_id),
            (header_names.ATTEMPT, str(self._attempt)),
            (header_names.DEADLINE_MS, str(left_ms)),
        ]
        if self._ticket:
            headers.append((header_names.TICKET, self._ticket))
        return headers

    def answered(self, response: Response, now: float) -> Action:
        """Decides after a complete answer.

        Args:
          response: The answer.
          now: Time in monotonic seconds.
        """
        headers = dict(response.headers)
        outcome = _outcome_of(headers)
        if outcome is errors.Outcome.COMPLETED:
            return ReturnResponse(response=response)
        kind = _kind_of(headers)
        ticket = headers.get(header_names.TICKET, "")
        if kind is _KINDS.TICKET_REQUIRED and _is_ticket(ticket):
            return self._use_ticket(ticket, now)
        retry_after_s = _retry_after_of(headers)
        if kind in _FINAL_KINDS:
            return self._fail(outcome, kind)
        if outcome is errors.Outcome.NOT_RUN:
            self._ticket = ""
            if retry_after_s is None:
                return self._fail(outcome, kind)
        elif kind is _KINDS.TICKET_BURNT:
            # It was refused unrun, and nothing runs under it any more.
            self._ticket = ""
        return self._send_again(outcome, kind, retry_after_s or 0, now)

    def lost(self, now: float) -> Action:
        """Decides after a sending without a complete answer.

        Sending again is safe: a request that must not be repeated runs only
        under its ticket, and under a ticket only once.

        Args:
          now: Time in monotonic seconds.
        """
        return self._send_again(errors.Outcome.UNKNOWN, None, 0, now)

    def unreachable(self, now: float) -> Action:
        """Decides after an entry face that could not be connected to.

        Nothing was sent, so the next sending counts like this one.

        Args:
          now: Time in monotonic seconds.
        """
        outcome = errors.Outcome.NOT_RUN
        if self._attempt > 0 or self._ticket:
            outcome = errors.Outcome.UNKNOWN
        step = self._send_again(outcome, None, 0, now)
        if isinstance(step, SendAgain):
            self._attempt -= 1
        return step

    def _use_ticket(self, ticket: str, now: float) -> Action:
        self._ticket = ticket
        self._ticket_answers += 1
        if (
            self._ticket_answers
            > _MAX_TICKET_ANSWERS + self._policy.max_attempts
        ):
            return self._fail(errors.Outcome.UNKNOWN, _KINDS.TICKET_REQUIRED)
        if self.time_left_s(now) <= 0:
            return self._fail(errors.Outcome.UNKNOWN, _KINDS.TICKET_REQUIRED)
        return SendAgain(after_s=0.0)

    def _send_again(
        self,
        outcome: errors.Outcome,
        kind: errors.ErrorKind | None,
        retry_after_s: int,
        now: float,
    ) -> Action:
        policy = self._policy
        mean_s = min(
            policy.max_backoff_s, policy.base_backoff_s * 2.0**self._attempt
        )
        # The jitter spreads callers that were refused at the same moment.
        wait_s = retry_after_s + mean_s * self._rng.uniform(0.5, 1.5)
        if self._attempts_left < 1 or now + wait_s >= self._deadline:
            return self._fail(outcome, kind)
        self._attempts_left -= 1
        self._attempt += 1
        return SendAgain(after_s=wait_s)

    def _fail(
        self, outcome: errors.Outcome, kind: errors.ErrorKind | None
    ) -> ReturnFailure:
        failure = CallFailure(
            outcome=outcome,
            error=kind,
            request_id=self.request_id,
            ticket=self._ticket,
            attempts=self._policy.max_attempts - self._attempts_left,
        )
        return ReturnFailure(failure=failure)


def _outcome_of(headers: dict[str, str]) -> errors.Outcome:
    """Returns an answer's outcome; without one, nothing is certain."""
    try:
        return errors.Outcome(headers.get(header_names.OUTCOME, ""))
    except ValueError:
        return errors.Outcome.UNKNOWN


def _kind_of(headers: dict[str, str]) -> errors.ErrorKind | None:
    try:
        return errors.ErrorKind(headers.get(header_names.ERROR, ""))
    except ValueError:
        return None


def _retry_after_of(headers: dict[str, str]) -> int | None:
    value = headers.get(header_names.RETRY_AFTER, "")
    if value.isascii() and value.isdigit():
        return int(value)
    return None


def _is_ticket(value: str) -> bool:
    try:
        return bool(base64.b64decode(value, altchars=b"-_", validate=True))
    except (binascii.Error, ValueError):
        return False
