"""The tickets that one incarnation has issued and what became of them.

A ticket whose request was handed over or refused is remembered for as long as
it could still be presented, so it is never taken for an unused one. A ticket
that was never presented needs no record to be valid; its record only lets a
second sending find it, and is the first to go when the table is full.
"""

import collections
import dataclasses
import enum
import hashlib

import result

from bergamotdeal.calls import core as calls
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.tickets import core
from bergamotdeal.tickets import mint

FIRST_USE_WINDOW_MS = 60_000
"""Time from issue within which a ticket must be used first."""

_KINDS = errors.ErrorKind
_MS_PER_S = 1000
_REQUEST_KEY_BYTES = 16


class TicketState(enum.Enum):
    """What became of a ticket."""

    ISSUED = "issued"
    ACTIVE = "active"  # Its request waits for a slot or runs.
    DONE = "done"
    BURNT = "burnt"  # Refused; its request never runs.


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class TicketRecord:
    """What a node remembers of a ticket.

    Attributes:
      serial: The ticket's serial.
      service: Service that its request calls.
      use_by_ms: Latest first use, in milliseconds of the node's clock.
      expires_ms: Its expiry, by the same clock.
      request_key: Digest of the call id and the request that it is for.
      state: What became of it.
      fingerprint: Fingerprint of its first use, empty before.
      answer: The answer to replay, None when it is not kept.
    """

    serial: int
    service: str
    use_by_ms: int
    expires_ms: int
    request_key: bytes = b""
    state: TicketState = TicketState.ISSUED
    fingerprint: str = ""
    answer: calls.Answer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Execute:
    """The request may run under its ticket now."""

    record: TicketRecord


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Join:
    """The request waits or runs already; its answer serves this call too."""

    record: TicketRecord


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The request has run; this is its answer."""

    answer: calls.Answer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reject:
    """The ticket gives no right to run the request.

    Attributes:
      kind: The reason.
      may_run_later: Whether a later sending may run under the ticket still.
    """

    kind: errors.ErrorKind
    may_run_later: bool = False


Verdict = Execute | Join | Replay | Reject
_RecordsBySerial = collections.OrderedDict[int, TicketRecord]


class TicketTable:
    """Records of the tickets of one incarnation.

    Args:
      policy: Bounds and lifetime.
      issuer: Signs and verifies the tickets.
    """

    def __init__(
        self, *, policy: model.TicketPolicy, issuer: mint.TicketIssuer
    ):
        self._policy = policy
        self._issuer = issuer
        self._last_serial = 0
        # Each in order of issue: all records up to the latest first use, the
        # unused ones among them, and the used ones after that time.
        self._records_in_first_use: _RecordsBySerial = collections.OrderedDict()
        self._unused_records: _RecordsBySerial = collections.OrderedDict()
        self._used_records: _RecordsBySerial = collections.OrderedDict()
        self._records_by_request: dict[bytes, TicketRecord] = {}
        self._answered: collections.deque[TicketRecord] = collections.deque()
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records_in_first_use) + len(self._used_records)

    def set_policy(self, policy: model.TicketPolicy) -> None:
        """Applies a new policy to the tickets that are issued from now on."""
        self._policy = policy
        self._drop_answers()

    def issue(
        self, call_id: str, request: calls.Request, now: float
    ) -> TicketRecord | None:
        """Returns the ticket for a request, a new one at its first sending.

        Args:
          call_id: Id of the call, the same for all of its sendings.
          request: The request.
          now: Time in monotonic seconds.

        Returns:
          The ticket's record, or None when the table is full.
        """
        now_ms = int(now * _MS_PER_S)
        self._expire(now_ms)
        request_key = _request_key(call_id, request)
        record = self._records_by_request.get(request_key)
        if record is not None and record.state is not TicketState.BURNT:
            return record
        if not self._make_room():
            return None
        self._last_serial += 1
        lifetime_ms = self._policy.lifetime_ms
        record = TicketRecord(
            serial=self._last_serial,
            service=request.service,
            use_by_ms=now_ms + min(FIRST_USE_WINDOW_MS, lifetime_ms),
            expires_ms=now_ms + lifetime_ms,
            request_key=request_key,
        )
        self._records_in_first_use[record.serial] = record
        self._unused_records[record.serial] = record
        self._records_by_request[request_key] = record
        return record

    def encoded(self, record: TicketRecord) -> bytes:
        """Returns the ticket of a record, as callers present it."""
        return self._issuer.issue(
            service=record.service,
            serial=record.serial,
            use_by_ms=record.use_by_ms,
            expires_ms=record.expires_ms,
        )

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
        now_ms = int(now * _MS_PER_S)
        self._expire(now_ms)
        if now_ms >= ticket.expires_ms:
            return Reject(kind=_KINDS.TICKET_EXPIRED)
        if ticket.service != request.service:
            return Reject(kind=_KINDS.TICKET_MISMATCH)
        record = self._records_in_first_use.get(
            ticket.serial
        ) or self._used_records.get(ticket.serial)
        if record is None or record.state is TicketState.ISSUED:
            return self._use(ticket, record, request, now_ms)
        if record.state is TicketState.BURNT:
            return Reject(kind=_KINDS.TICKET_BURNT)
        if record.fingerprint != core.fingerprint(request):
            return Reject(kind=_KINDS.TICKET_MISMATCH)
        if record.state is TicketState.ACTIVE:
            return Join(record=record)
        if record.answer is None:
            return Reject(kind=_KINDS.ANSWER_GONE)
        return Replay(answer=record.answer)

    def release(self, record: TicketRecord) -> None:
        """Gives a ticket back whose request was withdrawn before it ran.

        Nobody was told that the request was not run, so a copy that still
        travels may use the ticket.
        """
        record.state = TicketState.ISSUED
        if record.serial in self._records_in_first_use:
            self._unused_records[record.serial] = record

    def burn(self, record: TicketRecord) -> None:
        """Makes sure that a refused request never runs under its ticket."""
        record.state = TicketState.BURNT

    def finish(self, record: TicketRecord, answer: calls.Answer) -> None:
        """Keeps the answer of a request that was handed over.

        Args:
          record: The ticket's record.
          answer: The final answer, to be replayed.
        """
        record.state = TicketState.DONE
        if (
            record.serial not in self._records_in_first_use
            and record.serial not in self._used_records
        ):
            return  # It expired meanwhile and can't be presented again.
        record.answer = answer
        self._answered.append(record)
        self._answer_bytes += _size_of(answer)
        self._drop_answers()

    def _use(
        self,
        ticket: core.Ticket,
        record: TicketRecord | None,
        request: calls.Request,
        now_ms: int,
    ) -> Verdict:
        """Lets the request of an unused ticket run."""
        if now_ms >= ticket.use_by_ms:
            return Reject(kind=_KINDS.TICKET_EXPIRED)
        if record is None:
            # Only records of unused tickets go before their latest first use.
            if not self._make_room():
                return Reject(kind=_KINDS.TICKET_TABLE_FULL, may_run_later=True)
            record = TicketRecord(
                serial=ticket.serial,
                service=ticket.service,
                use_by_ms=ticket.use_by_ms,
                expires_ms=ticket.expires_ms,
            )
            self._records_in_first_use[record.serial] = record
        self._unused_records.pop(record.serial, None)
        record.fingerprint = core.fingerprint(request)
        record.state = TicketState.ACTIVE
        return Execute(record=record)

    def _make_room(self) -> bool:
        """Makes sure that a record can be added; False when it can't."""
        if len(self) < self._policy.table_size:
            return True
        if not self._unused_records:
            return False
        serial, record = self._unused_records.popitem(last=False)
        del self._records_in_first_use[serial]
        self._forget_request(record)
        return True

    def _expire(self, now_ms: int) -> None:
        """Forgets the tickets that can't be presented any more.

        A record behind one with a longer time waits for it, which only keeps
        it longer than needed.
        """
        while self._records_in_first_use:
            serial, record = next(iter(self._records_in_first_use.items()))
            if record.use_by_ms > now_ms:
                break
            del self._records_in_first_use[serial]
            self._unused_records.pop(serial, None)
            if record.state in (TicketState.ACTIVE, TicketState.DONE):
                self._used_records[serial] = record
            else:
                self._forget_request(record)
        while self._used_records:
            serial, record = next(iter(self._used_records.items()))
            if record.expires_ms > now_ms:
                break
            del self._used_records[serial]
            self._drop_answer(record)
            self._forget_request(record)
        while self._answered and self._answered[0].answer is None:
            self._answered.popleft()

    def _forget_request(self, record: TicketRecord) -> None:
        if self._records_by_request.get(record.request_key) is record:
            del self._records_by_request[record.request_key]

    def _drop_answers(self) -> None:
        while self._answer_bytes > self._policy.answer_bytes:
            self._drop_answer(self._answered.popleft())

    def _drop_answer(self, record: TicketRecord) -> None:
        if record.answer is not None:
            self._answer_bytes -= _size_of(record.answer)
            record.answer = None


def _request_key(call_id: str, request: calls.Request) -> bytes:
    digest = hashlib.blake2b(
        core.fingerprint(request).encode(), digest_size=_REQUEST_KEY_BYTES
    )
    digest.update(call_id.encode())
    return digest.digest()


def _size_of(answer: calls.Answer) -> int:
    headers_size = sum(len(k) + len(v) for k, v in answer.headers)
    return len(answer.body) + headers_size
