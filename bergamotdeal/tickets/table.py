"""The tickets that one incarnation has issued and what became of them.

A ticket's record is kept until the ticket expires, so that no used ticket is
ever taken for an unused one. When the table is full, no ticket is issued.
"""

import collections
import dataclasses
import enum

import result

from bergamotdeal.calls import core as calls
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.tickets import core
from bergamotdeal.tickets import mint

_KINDS = errors.ErrorKind
_MS_PER_S = 1000


class TicketState(enum.Enum):
    """What became of a ticket."""

    ISSUED = "issued"
    ACTIVE = "active"  # Its request waits for a slot or runs.
    DONE = "done"
    BURNT = "burnt"  # Refused; its request never runs.


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Record:
    """What a node remembers of a ticket.

    Attributes:
      serial: The ticket's serial.
      encoded: The ticket itself, to issue it again for the same request.
      expires_ms: Its expiry, in milliseconds of the node's clock.
      request_key: Call id and fingerprint for which it was issued.
      state: What became of it.
      fingerprint: Fingerprint of its first use, empty before.
      answer: The answer to replay, None when it is not kept.
    """

    serial: int
    encoded: bytes
    expires_ms: int
    request_key: tuple[str, str]
    state: TicketState = TicketState.ISSUED
    fingerprint: str = ""
    answer: calls.Answer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """The request may run under its ticket now."""

    record: Record


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Join:
    """The request waits or runs already; its answer serves this call too."""

    record: Record


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The request has run; this is its answer."""

    answer: calls.Answer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reject:
    """The ticket gives no right to run the request."""

    kind: errors.ErrorKind


Verdict = Run | Join | Replay | Reject


class Table:
    """Records of the tickets of one incarnation.

    Args:
      policy: Bounds and lifetime.
      issuer: Signs and verifies the tickets.
    """

    def __init__(self, *, policy: model.TicketPolicy, issuer: mint.Mint):
        self._policy = policy
        self._issuer = issuer
        self._last_serial = 0
        self._records_by_serial: dict[int, Record] = {}
        self._records_by_request: dict[tuple[str, str], Record] = {}
        self._answered: collections.deque[Record] = collections.deque()
        self._answer_bytes = 0
        # In order of issue; a shorter lifetime from a new preset only makes
        # the records behind a longer one wait for it.
        self._by_expiry: collections.deque[Record] = collections.deque()

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records_by_serial)

    def set_policy(self, policy: model.TicketPolicy) -> None:
        """Applies a new policy to the tickets that are issued from now on."""
        self._policy = policy
        self._drop_answers()

    def issue(
        self, call_id: str, request: calls.Request, now: float
    ) -> Record | None:
        """Returns the ticket for a request, a new one at its first sending.

        Args:
          call_id: Id of the call, the same for all of its sendings.
          request: The request.
          now: Time in monotonic seconds.

        Returns:
          The ticket's record, or None when the table is full.
        """
        self._expire(now)
        request_key = (call_id, core.fingerprint(request))
        record = self._records_by_request.get(request_key)
        if record is not None and not self._is_spent(record, now):
            return record
        if len(self._records_by_serial) >= self._policy.table_size:
            return None
        self._last_serial += 1
        expires_ms = int(now * _MS_PER_S) + self._policy.lifetime_ms
        record = Record(
            serial=self._last_serial,
            encoded=self._issuer.issue(
                service=request.service,
                serial=self._last_serial,
                expires_ms=expires_ms,
            ),
            expires_ms=expires_ms,
            request_key=request_key,
        )
        self._records_by_serial[record.serial] = record
        self._records_by_request[request_key] = record
        self._by_expiry.append(record)
        return record

    def present(
        self, encoded: bytes, request: calls.Request, now: float
    ) -> Verdict:
        """Decides on a request that presents a ticket.

        Args:
          encoded: The ticket as presented.
          request: The request.
          now: Time in monotonic seconds.
        """
        match self._issuer.verify(encoded):
            case result.Ok(ticket):
                pass
            case result.Err(kind):
                return Reject(kind=kind)
        if now * _MS_PER_S >= ticket.expires_ms:
            return Reject(kind=_KINDS.TICKET_EXPIRED)
        record = self._records_by_serial.get(ticket.serial)
        if record is None:
            return Reject(kind=_KINDS.TICKET_LOST)
        if ticket.service != request.service:
            return Reject(kind=_KINDS.TICKET_MISMATCH)
        request_fingerprint = core.fingerprint(request)
        if record.fingerprint not in ("", request_fingerprint):
            return Reject(kind=_KINDS.TICKET_MISMATCH)
        match record.state:
            case TicketState.BURNT:
                return Reject(kind=_KINDS.TICKET_BURNT)
            case TicketState.DONE:
                if record.answer is None:
                    return Reject(kind=_KINDS.ANSWER_GONE)
                return Replay(answer=record.answer)
            case TicketState.ACTIVE:
                return Join(record=record)
        record.fingerprint = request_fingerprint
        record.state = TicketState.ACTIVE
        return Run(record=record)

    def release(self, record: Record) -> None:
        """Gives a ticket back whose request was withdrawn before it ran.

        Nobody was told that the request was not run, so a copy that still
        travels may use the ticket.
        """
        record.state = TicketState.ISSUED

    def burn(self, record: Record) -> None:
        """Makes sure that a refused request never runs under its ticket."""
        record.state = TicketState.BURNT

    def finish(self, record: Record, answer: calls.Answer) -> None:
        """Keeps the answer of a request that was handed over.

        Args:
          record: The ticket's record.
          answer: The final answer, to be replayed.
        """
        record.state = TicketState.DONE
        if record.serial not in self._records_by_serial:
            return  # It expired meanwhile and can't be presented again.
        record.answer = answer
        self._answered.append(record)
        self._answer_bytes += _size_of(answer)
        self._drop_answers()

    def _drop_answers(self) -> None:
        while self._answer_bytes > self._policy.answer_bytes:
            self._drop_answer(self._answered.popleft())

    def _drop_answer(self, record: Record) -> None:
        if record.answer is not None:
            self._answer_bytes -= _size_of(record.answer)
            record.answer = None

    def _is_spent(self, record: Record, now: float) -> bool:
        if record.state is TicketState.BURNT:
            return True
        # An active one may outlive its expiry; it can't be presented again.
        return now * _MS_PER_S >= record.expires_ms

    def _expire(self, now: float) -> None:
        """Forgets the records of expired tickets."""
        now_ms = now * _MS_PER_S
        while self._by_expiry and self._by_expiry[0].expires_ms <= now_ms:
            record = self._by_expiry.popleft()
            self._drop_answer(record)
            del self._records_by_serial[record.serial]
            if self._records_by_request.get(record.request_key) is record:
                del self._records_by_request[record.request_key]
        while self._answered and self._answered[0].answer is None:
            self._answered.popleft()


def _size_of(answer: calls.Answer) -> int:
    headers_size = sum(len(k) + len(v) for k, v in answer.headers)
    return len(answer.body) + headers_size
