"""Issue and use of this node's tickets by calls and their runs."""

import msgspec

from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.tickets import mint
from bergamotdeal.tickets import table
from bergamotdeal.utils import hashing

_CODES = catalogue.EventCode
_KINDS = errors.ErrorKind


class TicketManager:
    """Issuer of tickets that keeps each in step with its run.

    Args:
      state: State of the engine.
    """

    def __init__(self, *, state: engine_state.EngineState):
        self._state = state
        issuer = mint.TicketIssuer(
            host_id=state.identity.host_id,
            incarnation=state.identity.incarnation,
            key=state.rng.randbytes(mint.KEY_BYTES),
        )
        self._table = table.TicketTable(
            policy=state.preset.tickets, issuer=issuer
        )
        self._runs_by_serial: dict[int, runs.Run] = {}

    def apply_preset(self) -> None:
        """Applies the ticket policy of the active preset."""
        self._table.set_policy(self._state.preset.tickets)

    def must_issue(self, run: runs.Run) -> bool:
        """Returns whether a call without a ticket is answered with one."""
        call = run.call
        return call.needs_ticket or self._state.needs_ticket(run.route)

    def issue(self, run: runs.Run, *, threshold: float) -> rpc.Answer:
        """Issues a ticket and returns the answer that carries it.

        The most important class is never shed here, since only admission knows
        whether less important work can be preempted for it.

        Args:
          run: Run of the call.
          threshold: Share of request hashes that admission accepts.

        Returns:
          The answer with the ticket, or a refusal.
        """
        state = self._state
        call = run.call
        if state.preset.get_class_rank(run.class_name) > 0:
            share = hashing.hash_share(call.user_request_id)
            if share >= threshold:
                return rpc.build_error_answer(
                    _KINDS.SHED, may_have_run=run.may_have_run
                )
        record = self._table.issue(call.call_id, call.request, state.now)
        if record is None:
            return rpc.build_error_answer(
                _KINDS.TICKET_TABLE_FULL, may_have_run=run.may_have_run
            )
        state.record_event(
            _CODES.TICKET_ISSUED, call.user_request_id, serial=record.serial
        )
        used = record.state is not table.TicketState.ISSUED
        answer = rpc.build_error_answer(
            _KINDS.TICKET_REQUIRED, may_have_run=run.may_have_run or used
        )
        answer.ticket = self._table.encode_ticket(record)
        return answer

    def present(self, run: runs.Run) -> table.Verdict:
        """Checks the ticket that a call presents."""
        state = self._state
        call = run.call
        verdict = self._table.present(call.ticket, call.request, state.now)
        match verdict:
            case table.Execute(record=record):
                run.ticket_record = record
                self._runs_by_serial[record.serial] = run
            case table.Join(record=record):
                run.awaited_record = record
                self._runs_by_serial[record.serial].joined.append(run)
            case table.Reject(kind=kind):
                state.record_event(
                    _CODES.TICKET_REFUSED,
                    call.user_request_id,
                    error=kind.value,
                )
        return verdict

    def record_use(self, run: runs.Run) -> None:
        """Records that a ticket's request is sent to the backend server."""
        if run.ticket_record is not None:
            self._state.record_event(
                _CODES.TICKET_USED,
                run.call.user_request_id,
                serial=run.ticket_record.serial,
            )

    def remove_waiting(self, run: runs.Run) -> None:
        """Removes a call that waits for the run of another call."""
        self._runs_by_serial[run.awaited_record.serial].joined.remove(run)

    def transfer(self, run: runs.Run) -> runs.Run | None:
        """Transfers the ticket of a call that is withdrawn before its run.

        Returns:
          The waiting call that takes over the ticket, or None if no call
          waits; the ticket is then unused again.
        """
        record = run.ticket_record
        if record is None:
            return None
        run.ticket_record = None
        successor = run.joined.pop(0) if run.joined else None
        if successor is None:
            del self._runs_by_serial[record.serial]
            self._table.release(record)
            return None
        successor.joined, run.joined = run.joined, []
        successor.awaited_record = None
        successor.ticket_record = record
        self._runs_by_serial[record.serial] = successor
        return successor

    def settle_refused(self, run: runs.Run, answers: list[rpc.Answer]) -> None:
        """Burns or releases the ticket of a request that did not run.

        Args:
          run: Run of the request.
          answers: Answers to the call and to those that joined it.
        """
        record = run.ticket_record
        if record is None:
            return
        if self._runs_by_serial.pop(record.serial, None) is not run:
            return
        if any(a.outcome is errors.Outcome.NOT_RUN for a in answers):
            # A delayed copy of the request must not run after a "not-run".
            self._table.burn(record)
        else:
            self._table.release(record)

    def settle_finished(self, run: runs.Run, answer: rpc.Answer) -> None:
        """Keeps the answer of a request that was sent to the backend server."""
        record = run.ticket_record
        if record is None:
            return
        if self._runs_by_serial.pop(record.serial, None) is not run:
            return
        self._table.finish(record, msgspec.structs.replace(answer))
