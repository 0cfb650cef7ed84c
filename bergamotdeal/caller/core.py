"""Retry logic of one call, without input or output.

A call may take several HTTP requests: one to get a ticket, one to use it, and
further ones after a refusal or a lost answer. ``Conversation`` decides
after each answer whether to send again; a client does the input and output.
"""

import base64
import binascii
import dataclasses
import random

from bergamotdeal.errors import core as errors
from bergamotdeal.utils import headers as header_names

_ErrorKind = errors.ErrorKind
_REQUEST_ID_BYTES = 16
_MS_PER_S = 1000
_MAX_EXTRA_TICKETS = 3

_NON_RETRYABLE_KINDS = frozenset(
    {
        _ErrorKind.TICKET_INVALID,
        _ErrorKind.TICKET_MISMATCH,
        _ErrorKind.TICKET_EXPIRED,
        _ErrorKind.TICKET_LOST,
        _ErrorKind.ANSWER_GONE,
    }
)
"""Errors that sending the request again with the ticket can't change."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryPolicy:
    """Retry policy of one call.

    Attributes:
      attempts: Maximum number of attempts. Getting a ticket and using it
        count as one attempt.
      deadline_s: Time for the whole call in seconds.
      backoff_s: Mean wait before the second attempt in seconds. It
        doubles with each further attempt.
      backoff_max_s: Upper bound of the mean wait in seconds.
    """

    attempts: int = 4
    deadline_s: float = 10.0
    backoff_s: float = 0.1
    backoff_max_s: float = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """Complete answer of the service.

    Attributes:
      status: HTTP status code.
      headers: Header names in lower case with their values.
      body: Response body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """Failure of a call that ended without the service's answer.

    Attributes:
      outcome: ``NOT_RUN`` if it is certain that the request was not run, else
        ``UNKNOWN``.
      error: Error kind of the last answer; None if it had none or was lost.
      request_id: Id of the request, for reports to the operators.
      ticket: Ticket with which a later call can learn the outcome of the
        request, or empty.
      attempts: Number of attempts made.
    """

    outcome: errors.Outcome
    error: errors.ErrorKind | None
    request_id: str
    ticket: str
    attempts: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Step to send the request again.

    Attributes:
      after_s: Time to wait before sending in seconds.
    """

    after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Succeed:
    """Step to end the call with the service's answer."""

    response: Response


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fail:
    """Step to end the call with a failure."""

    failure: Failure


Step = Send | Succeed | Fail


class Conversation:
    """State machine that decides when one call sends its request again.

    Attributes:
      request_id: Id of the request.

    Args:
      policy: Retry policy.
      now: Monotonic time in seconds.
      rng: Source of the request id and of jitter.
      request_id: Id of the request; generated if empty.
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
        self._deadline = now + policy.deadline_s
        self.request_id = request_id or rng.randbytes(_REQUEST_ID_BYTES).hex()
        self._ticket = ticket
        # The earlier call may already have presented its ticket.
        self._attempt_number = 1 if ticket else 0
        self._remaining_attempts = policy.attempts - 1
        self._ticket_count = 0

    def time_left_s(self, now: float) -> float:
        """Returns the time left for the whole call in seconds.

        Args:
          now: Monotonic time in seconds.
        """
        return max(0.0, self._deadline - now)

    def headers(self, now: float) -> list[tuple[str, str]]:
        """Returns the ``bergamot-`` headers for the next HTTP request.

        Args:
          now: Monotonic time in seconds.
        """
        remaining_ms = max(1, int(self.time_left_s(now) * _MS_PER_S))
        headers = [
            (header_names.REQUEST_ID, self.request_id),
            (header_names.ATTEMPT, str(self._attempt_number)),
            (header_names.DEADLINE_MS, str(remaining_ms)),
        ]
        if self._ticket:
            headers.append((header_names.TICKET, self._ticket))
        return headers

    def answered(self, response: Response, now: float) -> Step:
        """Returns the next step after a complete answer.

        Args:
          response: The answer.
          now: Monotonic time in seconds.
        """
        headers = dict(response.headers)
        outcome = _parse_outcome(headers)
        if outcome is errors.Outcome.COMPLETED:
            return Succeed(response=response)
        kind = _parse_error_kind(headers)
        ticket = headers.get(header_names.TICKET, "")
        if kind is _ErrorKind.TICKET_REQUIRED and _is_base64(ticket):
            return self._send_with_ticket(ticket, now)
        retry_after_s = _parse_retry_after_s(headers)
        if kind in _NON_RETRYABLE_KINDS:
            return self._give_up(outcome, kind)
        if outcome is errors.Outcome.NOT_RUN:
            self._ticket = ""
            if retry_after_s is None:
                return self._give_up(outcome, kind)
        elif kind is _ErrorKind.TICKET_BURNT:
            # The request was refused without a run, and a burnt ticket can't
            # start one any more.
            self._ticket = ""
        return self._retry(outcome, kind, retry_after_s or 0, now)

    def lost(self, now: float) -> Step:
        """Returns the next step after a truncated or missing answer.

        Sending again is safe: a non-idempotent request runs only with a
        ticket, and only once per ticket.

        Args:
          now: Monotonic time in seconds.
        """
        return self._retry(errors.Outcome.UNKNOWN, None, 0, now)

    def unreachable(self, now: float) -> Step:
        """Returns the next step after a failed connect to an entry listener.

        Nothing was sent, so the next request keeps the attempt number.

        Args:
          now: Monotonic time in seconds.
        """
        outcome = errors.Outcome.NOT_RUN
        if self._attempt_number > 0 or self._ticket:
            outcome = errors.Outcome.UNKNOWN
        step = self._retry(outcome, None, 0, now)
        if isinstance(step, Send):
            self._attempt_number -= 1
        return step

    def _send_with_ticket(self, ticket: str, now: float) -> Step:
        self._ticket = ticket
        self._ticket_count += 1
        if self._ticket_count > _MAX_EXTRA_TICKETS + self._policy.attempts:
            return self._give_up(
                errors.Outcome.UNKNOWN, _ErrorKind.TICKET_REQUIRED
            )
        if self.time_left_s(now) <= 0:
            return self._give_up(
                errors.Outcome.UNKNOWN, _ErrorKind.TICKET_REQUIRED
            )
        return Send(after_s=0.0)

    def _retry(
        self,
        outcome: errors.Outcome,
        kind: errors.ErrorKind | None,
        retry_after_s: int,
        now: float,
    ) -> Step:
        policy = self._policy
        mean_wait_s = min(
            policy.backoff_max_s,
            policy.backoff_s * 2.0**self._attempt_number,
        )
        # Jitter spreads the retries of callers that were refused together.
        wait_s = retry_after_s + mean_wait_s * self._rng.uniform(0.5, 1.5)
        if self._remaining_attempts < 1 or now + wait_s >= self._deadline:
            return self._give_up(outcome, kind)
        self._remaining_attempts -= 1
        self._attempt_number += 1
        return Send(after_s=wait_s)

    def _give_up(
        self, outcome: errors.Outcome, kind: errors.ErrorKind | None
    ) -> Fail:
        failure = Failure(
            outcome=outcome,
            error=kind,
            request_id=self.request_id,
            ticket=self._ticket,
            attempts=self._policy.attempts - self._remaining_attempts,
        )
        return Fail(failure=failure)


def _parse_outcome(headers: dict[str, str]) -> errors.Outcome:
    """Returns the outcome of an answer; unknown if it names none."""
    try:
        return errors.Outcome(headers.get(header_names.OUTCOME, ""))
    except ValueError:
        return errors.Outcome.UNKNOWN


def _parse_error_kind(headers: dict[str, str]) -> errors.ErrorKind | None:
    try:
        return errors.ErrorKind(headers.get(header_names.ERROR, ""))
    except ValueError:
        return None


def _parse_retry_after_s(headers: dict[str, str]) -> int | None:
    value = headers.get(header_names.RETRY_AFTER, "")
    if value.isascii() and value.isdigit():
        return int(value)
    return None


def _is_base64(value: str) -> bool:
    try:
        return bool(base64.b64decode(value, altchars=b"-_", validate=True))
    except (binascii.Error, ValueError):
        return False
