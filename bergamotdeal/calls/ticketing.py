"""How calls and their runs use the tickets of this node."""

import dataclasses

from bergamotdeal.admission import hashing
from bergamotdeal.calls import core
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.errors import core as errors
from bergamotdeal.telemetry import catalogue
from bergamotdeal.tickets import mint
from bergamotdeal.tickets import table

_CODES = catalogue.EventCode
_KINDS = errors.ErrorKind


class Ticketing:
    """Issues tickets and settles them with the fate of their runs.

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

    def preset_changed(self) -> None:
        """Applies the policy in force."""
        self._table.set_policy(self._state.preset.tickets)

    def must_mint(self, run: runs.Run) -> bool:
        """Whether a call without a ticket only gets one."""
        call = run.call
        return call.needs_ticket or self._state.needs_ticket(run.route)

    def issue(self, run: runs.Run, *, threshold: float) -> core.Answer:
        """Returns the answer that carries a call's ticket.

        The first class is never refused here: only admission knows whether
        less important work can give way to it.

        Args:
          run: The call.
          threshold: Share of request hashes that admission lets through.
        """
        state = self._state
        call = run.call
        if state.preset.get_class_rank(run.class_name) > 0:
            share = hashing.hash_share(call.user_request_id)
            if share >= threshold:
                return core.build_error_answer(
                    _KINDS.SHED, may_have_run=run.may_have_run
                )
        record = self._table.issue(call.call_id, call.request, state.now)
        if record is None:
            return core.build_error_answer(
                _KINDS.TICKET_TABLE_FULL, may_have_run=run.may_have_run
            )
        state.record(
            _CODES.TICKET_ISSUED, call.user_request_id, serial=record.serial
        )
        used = record.state is not table.TicketState.ISSUED
        answer = core.build_error_answer(
            _KINDS.TICKET_REQUIRED, may_have_run=run.may_have_run or used
        )
        answer.ticket = self._table.encoded(record)
        return answer

    def present(self, run: runs.Run) -> table.Verdict:
        """Decides on a call that presents a ticket."""
        state = self._state
        call = run.call
        verdict = self._table.present(call.ticket, call.request, state.now)
        match verdict:
            case table.Execute(record=record):
                run.record = record
                self._runs_by_serial[record.serial] = run
            case table.Join(record=record):
                run.waits_for = record
                self._runs_by_serial[record.serial].joined.append(run)
            case table.Reject(kind=kind):
                state.record(
                    _CODES.TICKET_REFUSED,
                    call.user_request_id,
                    error=kind.value,
                )
        return verdict

    def used(self, run: runs.Run) -> None:
        """Notes that a ticket's request is handed over."""
        if run.record is not None:
            self._state.record(
                _CODES.TICKET_USED,
                run.call.user_request_id,
                serial=run.record.serial,
            )

    def leave(self, run: runs.Run) -> None:
        """Takes a call away that waits for another call's run."""
        self._runs_by_serial[run.waits_for.serial].joined.remove(run)

    def pass_on(self, run: runs.Run) -> runs.Run | None:
        """Takes the ticket away from a call that is withdrawn unrun.

        Returns:
          The waiting call that has the ticket now, or None without one; the
          ticket is unused then.
        """
        record = run.record
        if record is None:
            return None
        run.record = None
        successor = run.joined.pop(0) if run.joined else None
        if successor is None:
            del self._runs_by_serial[record.serial]
            self._table.release(record)
            return None
        successor.joined, run.joined = run.joined, []
        successor.waits_for = None
        successor.record = record
        self._runs_by_serial[record.serial] = successor
        return successor

    def refuse(self, run: runs.Run, answers: list[core.Answer]) -> None:
        """Settles the ticket of a request that was not handed over.

        Args:
          run: The request's run.
          answers: What its call and the joined ones are told.
        """
        record = run.record
        if record is None:
            return
        if self._runs_by_serial.pop(record.serial, None) is not run:
            return
        if any(a.outcome is errors.Outcome.NOT_RUN for a in answers):
            # A copy that still travels must not make this untrue.
            self._table.burn(record)
        else:
            self._table.release(record)

    def finish(self, run: runs.Run, answer: core.Answer) -> None:
        """Keeps the answer of a request that was handed over."""
        record = run.record
        if record is None:
            return
        if self._runs_by_serial.pop(record.serial, None) is not run:
            return
        self._table.finish(record, dataclasses.replace(answer))
