"""Simulated callers that retry requests and record them in the ledger."""

import dataclasses

from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from standins import checked_fleet
from standins import fleet_model
from standins import ledger

_RESEND_DELAY_S = 0.05
_DEADLINE_MS = 2000


@dataclasses.dataclass(kw_only=True, eq=False)
class Caller:
    """A simulated caller that retries until it has a complete answer.

    Attributes:
      checked: Fleet under test.
      key: Key of the request in the ledger, also the user request id.
      path: Path of the request.
      repeatable: Whether the request may run more than once.
      tries: Maximum number of attempts; fetching a ticket is not counted.
      timeout_s: Time in seconds after which the caller disconnects.
      service: Service that the request calls.
      ticket: Ticket of the request, or empty.
      sendings: Number of times that the request was sent.
      attempt: Number of retries; fetching a ticket is not counted.
      done: Whether the caller will not send again.
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
        """Sends the request to a randomly chosen entry host."""
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
        """Retries the request without waiting for an answer."""
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
        checked.after(_RESEND_DELAY_S, self.send)
