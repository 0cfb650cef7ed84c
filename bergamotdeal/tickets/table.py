"""Records of the tickets that one incarnation has issued, and their states.

The record of a ticket whose request was sent to the backend server or refused
is kept for as long as the ticket could be presented, so it is never mistaken
for an unused one. A ticket that was never presented is valid without a record;
its record only lets a second attempt get the same ticket and is evicted first
if the table is full.
"""

import collections
import enum
import hashlib

import msgspec
import result

from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.tickets import core
from bergamotdeal.tickets import mint

FIRST_USE_WINDOW_MS = 60_000
"""Time after its issue within which a ticket must first be used."""

_KINDS = errors.ErrorKind
_MS_PER_S = 1000
_REQUEST_KEY_BYTES = 16


class TicketState(enum.Enum):
    """State of a ticket."""

    ISSUED = "issued"
    ACTIVE = "active"  # Its request is queued or runs.
    DONE = "done"
    BURNT = "burnt"  # The request was refused and never runs.


class TicketRecord(msgspec.Struct, kw_only=True, eq=False):
    """Record of an issued ticket.

    Attributes:
      serial: Serial number of the ticket.
      service: Service that the request calls.
      use_by_ms: Latest first use, in milliseconds of the node's clock.
      expires_ms: Expiry, in milliseconds of the same clock.
      request_key: Digest of the call id and the request that the ticket is
        for.
      state: State of the ticket.
      fingerprint: Digest of the request that first used the ticket; empty
        before.
      answer: Answer to replay, or None if it is not kept.
    """

    serial: int
    service: str
    use_by_ms: int
    expires_ms: int
    request_key: bytes = b""
    state: TicketState = TicketState.ISSUED
    fingerprint: str = ""
    answer: rpc.Answer | None = None


class Execute(msgspec.Struct, frozen=True, kw_only=True):
    """Verdict that the request may run under the ticket."""

    record: TicketRecord


class Join(msgspec.Struct, frozen=True, kw_only=True):
    """Verdict that the request is queued or running; its answer is shared."""

    record: TicketRecord


class Replay(msgspec.Struct, frozen=True, kw_only=True):
    """Verdict that the request has run, with the answer to replay."""

    answer: rpc.Answer


class Reject(msgspec.Struct, frozen=True, kw_only=True):
    """Verdict that the request must not run under the ticket.

    Attributes:
      kind: Reason for the rejection.
      may_run_later: Whether a later attempt may still run under the ticket.
    """

    kind: errors.ErrorKind
    may_run_later: bool = False


Verdict = Execute | Join | Replay | Reject
_RecordsBySerial = collections.OrderedDict[int, TicketRecord]


class TicketTable:
    """Table of the tickets of one incarnation.

    Args:
      policy: Limits and lifetime.
      issuer: Issues and verifies the tickets.
    """

    def __init__(
        self, *, policy: model.TicketPolicy, issuer: mint.TicketIssuer
    ):
        self._policy = policy
        self._issuer = issuer
        self._last_serial = 0
        # Each in order of issue: all records until their latest first use, the
        # unused ones among these, and the used records after that time.
        self._records_in_first_use: _RecordsBySerial = collections.OrderedDict()
        self._unused_records: _RecordsBySerial = collections.OrderedDict()
        self._used_records: _RecordsBySerial = collections.OrderedDict()
        self._records_by_request_key: dict[bytes, TicketRecord] = {}
        self._answered_records: collections.deque[TicketRecord] = (
            collections.deque()
        )
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records_in_first_use) + len(self._used_records)

    def set_policy(self, policy: model.TicketPolicy) -> None:
        """Applies a policy to the tickets that are issued from now on."""
        self._policy = policy
        self._evict_answers()

    def issue(
        self, call_id: str, request: rpc.Request, now: float
    ) -> TicketRecord | None:
        """Issues a ticket, or returns the one that the request already has.

        Args:
          call_id: Id of the call, the same for all of its attempts.
          request: Request that the ticket is for.
          now: Current time in monotonic seconds.

        Returns:
          The record of the ticket, or None if the table is full.
        """
        now_ms = int(now * _MS_PER_S)
        self._remove_expired(now_ms)
        request_key = _compute_request_key(call_id, request)
        record = self._records_by_request_key.get(request_key)
        if record is not None and record.state is not TicketState.BURNT:
            return record
        if not self._ensure_capacity():
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
        self._records_by_request_key[request_key] = record
        return record

    def encode_ticket(self, record: TicketRecord) -> bytes:
        """Returns the encoded ticket of a record, as callers present it."""
        return self._issuer.issue(
            service=record.service,
            serial=record.serial,
            use_by_ms=record.use_by_ms,
            expires_ms=record.expires_ms,
        )

    def present(
        self, encoded: bytes, request: rpc.Request, now: float
    ) -> Verdict:
        """Decides whether a request may run under the ticket it presents.

        Args:
          encoded: Encoded ticket, untrusted.
          request: The request.
          now: Current time in monotonic seconds.
        """
        match self._issuer.verify(encoded):
            case result.Ok(ticket):
                pass
            case result.Err(kind):
                return Reject(kind=kind)
        now_ms = int(now * _MS_PER_S)
        self._remove_expired(now_ms)
        if now_ms >= ticket.expires_ms:
            return Reject(kind=_KINDS.TICKET_EXPIRED)
        if ticket.service != request.service:
            return Reject(kind=_KINDS.TICKET_MISMATCH)
        record = self._records_in_first_use.get(
            ticket.serial
        ) or self._used_records.get(ticket.serial)
        if record is None or record.state is TicketState.ISSUED:
            return self._accept_first_use(ticket, record, request, now_ms)
        if record.state is TicketState.BURNT:
            return Reject(kind=_KINDS.TICKET_BURNT)
        if record.fingerprint != core.compute_fingerprint(request):
            return Reject(kind=_KINDS.TICKET_MISMATCH)
        if record.state is TicketState.ACTIVE:
            return Join(record=record)
        if record.answer is None:
            return Reject(kind=_KINDS.ANSWER_GONE)
        return Replay(answer=record.answer)

    def release(self, record: TicketRecord) -> None:
        """Marks a ticket as unused after its request was withdrawn.

        No caller was told that the request did not run, so a delayed copy of
        the request may still use the ticket.
        """
        record.state = TicketState.ISSUED
        if record.serial in self._records_in_first_use:
            self._unused_records[record.serial] = record

    def burn(self, record: TicketRecord) -> None:
        """Invalidates a ticket so that its refused request never runs."""
        record.state = TicketState.BURNT

    def finish(self, record: TicketRecord, answer: rpc.Answer) -> None:
        """Keeps the answer of a request that was sent to the backend server.

        Args:
          record: Record of the ticket.
          answer: Final answer, to be replayed.
        """
        record.state = TicketState.DONE
        if (
            record.serial not in self._records_in_first_use
            and record.serial not in self._used_records
        ):
            return  # Expired in the meantime; can't be presented again.
        record.answer = answer
        self._answered_records.append(record)
        self._answer_bytes += _compute_size(answer)
        self._evict_answers()

    def _accept_first_use(
        self,
        ticket: core.Ticket,
        record: TicketRecord | None,
        request: rpc.Request,
        now_ms: int,
    ) -> Verdict:
        """Handles the first use of a ticket."""
        if now_ms >= ticket.use_by_ms:
            return Reject(kind=_KINDS.TICKET_EXPIRED)
        if record is None:
            # Before the latest first use, only unused records are evicted.
            if not self._ensure_capacity():
                return Reject(kind=_KINDS.TICKET_TABLE_FULL, may_run_later=True)
            record = TicketRecord(
                serial=ticket.serial,
                service=ticket.service,
                use_by_ms=ticket.use_by_ms,
                expires_ms=ticket.expires_ms,
            )
            self._records_in_first_use[record.serial] = record
        self._unused_records.pop(record.serial, None)
        record.fingerprint = core.compute_fingerprint(request)
        record.state = TicketState.ACTIVE
        return Execute(record=record)

    def _ensure_capacity(self) -> bool:
        """Evicts an unused record if needed; returns False if there is none."""
        if len(self) < self._policy.table_size:
            return True
        if not self._unused_records:
            return False
        serial, record = self._unused_records.popitem(last=False)
        del self._records_in_first_use[serial]
        self._drop_request_key(record)
        return True

    def _remove_expired(self, now_ms: int) -> None:
        """Removes the records of tickets that can't be presented any more.

        Only the oldest records are checked. A record behind one with a later
        expiry is therefore kept longer than needed, which does no harm.
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
                self._drop_request_key(record)
        while self._used_records:
            serial, record = next(iter(self._used_records.items()))
            if record.expires_ms > now_ms:
                break
            del self._used_records[serial]
            self._drop_answer(record)
            self._drop_request_key(record)
        while (
            self._answered_records and self._answered_records[0].answer is None
        ):
            self._answered_records.popleft()

    def _drop_request_key(self, record: TicketRecord) -> None:
        if self._records_by_request_key.get(record.request_key) is record:
            del self._records_by_request_key[record.request_key]

    def _evict_answers(self) -> None:
        while self._answer_bytes > self._policy.answer_bytes:
            self._drop_answer(self._answered_records.popleft())

    def _drop_answer(self, record: TicketRecord) -> None:
        if record.answer is not None:
            self._answer_bytes -= _compute_size(record.answer)
            record.answer = None


def _compute_request_key(call_id: str, request: rpc.Request) -> bytes:
    digest = hashlib.blake2b(
        core.compute_fingerprint(request).encode(),
        digest_size=_REQUEST_KEY_BYTES,
    )
    digest.update(call_id.encode())
    return digest.digest()


def _compute_size(answer: rpc.Answer) -> int:
    headers_size = sum(len(k) + len(v) for k, v in answer.headers)
    return len(answer.body) + headers_size
