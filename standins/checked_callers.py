"""Callers of an in-memory fleet that resend and write the ledger."""

import dataclasses

from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from standins import checked_fleet
from standins import fleet_model
from standins import ledger

_RESEND_AFTER_S = 0.05
_DEADLINE_MS = 2000


@dataclasses.dataclass(kw_only=True, eq=False)
class Caller:
    """A caller that resends until it has a complete answer.

    Attributes:
      checked: The fleet.
      key: Key of its request, also the user request id.
      path: Path of its request.
      repeatable: Whether it may run twice.
      tries: Sendings at most, without those that fetch a ticket.
      timeout_s: Time after which it hangs up.
      ticket: Its ticket, or empty.
      sendings: Sendings so far.
      attempt: Sendings so far without those that fetched a ticket.
      done: Whether it will send no more.
    """

    checked: checked_fleet.CheckedFleet
    key: str
    path: str = checked_fleet.BROWSE_PATH
    repeatable: bool = True
    tries: int = 3
    timeout_s: float = 2.5
    service: str = checked_fleet.SERVICES[0]
    ticket: bytes = b""
    sendings: int = 0
    attempt: int = 0
    done: bool = False

    def send(self) -> None:
        """Sends the request to one of the entries."""
        checked = self.checked
        label = ledger.Label.for_user(
            self.key,
            service=self.service,
            class_name=model.BROWSE if self.repeatable else model.CRITICAL,
            repeatable=self.repeatable,
            sending=self.sendings,
        )
        self.sendings += 1
        checked.entries.append(ledger.Sent(at=checked.now, label=label))
        reply = checked.fleet.call(
            checked.rng.choice(checked_fleet.ENTRIES),
            checked_fleet.make_request(label, path=self.path),
            user_request_id=self.key,
            attempt=self.attempt,
            ticket=self.ticket,
            deadline_ms=_DEADLINE_MS,
        )
        reply.when_done = lambda _: self._receive(label, reply)
        if reply.done:
            self._receive(label, reply)
            return
        checked.after(
            self.timeout_s, lambda: checked.fleet.disconnect_caller(reply)
        )

    def resend_immediately(self) -> None:
        """Sends the same request without waiting for an answer."""
        self.attempt += 1
        self.send()

    def _receive(self, label: ledger.Label, reply: fleet_model.Reply) -> None:
        checked = self.checked
        answer = reply.answer
        checked.entries.append(
            checked_fleet.entry_for(checked.now, label, answer)
        )
        if answer is not None and answer.ticket:
            self.ticket = answer.ticket
        if answer is not None and answer.status == 428 and answer.ticket:
            checked.after(0.001, self.send)
            return
        if answer is not None and answer.error is None:
            self.done = True
            return
        if self.done or self.attempt + 1 >= self.tries:
            self.done = True
            return
        self.attempt += 1
        if answer is not None and answer.outcome is errors.Outcome.NOT_RUN:
            self.ticket = b""
        checked.after(_RESEND_AFTER_S, self.send)
