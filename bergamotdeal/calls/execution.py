"""Target side of a call: tickets, admission, the run and its answer."""

import collections
from collections.abc import Callable

import msgspec

from bergamotdeal.admission import core as admission
from bergamotdeal.calls import acceptance
from bergamotdeal.calls import explanations
from bergamotdeal.calls import failures
from bergamotdeal.calls import frames
from bergamotdeal.calls import local_server
from bergamotdeal.calls import messages
from bergamotdeal.calls import overdue
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.calls import ticketing as call_ticketing
from bergamotdeal.calls import truth
from bergamotdeal.errors import core as errors
from bergamotdeal.retries import server_budget
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.tickets import table

_CODES = catalogue.EventCode
_KINDS = errors.ErrorKind


class Executor:
    """Executor of calls on the local backend server.

    Args:
      state: State of the engine.
      run_table: Table of the runs.
      server: Admission and quarantine of the local backend server.
      ticket_manager: Tickets of this node.
      budget: Retry budget of the local backend server.
      send_answer: Answers a call on its link, which may be the local one.
      cancel_child_calls: Cancels the open calls of a run.
    """

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        run_table: runs.RunTable,
        server: local_server.LocalServer,
        ticket_manager: call_ticketing.TicketManager,
        budget: server_budget.ServerRetryBudget,
        send_answer: Callable[[int, rpc.Call, rpc.Answer], None],
        cancel_child_calls: Callable[[runs.Run], None],
    ):
        self._state = state
        self._runs = run_table
        self._server = server
        self._ticket_manager = ticket_manager
        self._send_answer = send_answer
        self._cancel_child_calls = cancel_child_calls
        self._acceptance = acceptance.CallAcceptance(
            state=state, server=server, budget=budget
        )

    def is_idle(self) -> bool:
        """Returns whether all calls are answered and all runs have ended."""
        return self._runs.is_idle()

    def find_run(self, event: messages.Event) -> runs.Run | None:
        """Finds the unanswered run that an event belongs to, or None.

        For events whose handling failed; searches all runs.
        """
        match event:
            case messages.PeerCalled():
                key = (event.link_id, event.call.number)
                return self._runs.runs_by_call.get(key)
            case messages.PeerCancelled():
                key = (event.link_id, event.number)
                return self._runs.runs_by_call.get(key)
            case messages.RunAnswered() | messages.RunFailed():
                for run in self._runs.runs_by_call.values():
                    if run.run_id == event.run_id:
                        return run
                return self._runs.runs_by_id.get(event.run_id)
        return None

    def handle_call(self, event: messages.PeerCalled) -> None:
        """Opens a run for a call and admits, answers or refuses it."""
        link_id, call = event.link_id, event.call
        if (link_id, call.number) in self._runs.runs_by_call:
            return
        run = frames.build_run(
            self._state, self._runs.allocate_id(), link_id, call
        )
        run.has_room = event.has_room
        self._runs.add(run)
        self._acceptance.record_arrival(call)
        if call.ticket:
            self._present_ticket(run)
            return
        refusal = self._acceptance.find_refusal(run)
        if refusal is not None:
            self.refuse(run, refusal)
        elif self._ticket_manager.must_issue(run):
            threshold = self._server.threshold(run.class_name)
            answer = self._ticket_manager.issue(run, threshold=threshold)
            self._finish_without_run(run, answer)
        else:
            self._admit(run)

    def cancelled(self, link_id: int, number: int) -> None:
        """Handles the cancellation of a call by its origin."""
        run = self._runs.runs_by_call.get((link_id, number))
        if run is not None:
            self._cancel_call(run)

    def handle_link_closed(self, link_id: int) -> None:
        """Cancels the calls of a link that closed."""
        for run in list(self._runs.runs_by_call.values()):
            if run.link_id == link_id:
                self._cancel_call(run)

    def refuse_revoked_calls(self) -> None:
        """Refuses the waiting calls whose key the new preset has revoked."""
        for run in list(self._runs.runs_by_id.values()):
            is_waiting = run.phase in (runs.Phase.QUEUED, runs.Phase.JOINED)
            if is_waiting and not self._state.update_key(run.call):
                explanations.record_key_refusal(
                    self._state,
                    run.call.user_request_id,
                    explanations.KeyRefusal.REVOKED,
                    place="target's queue",
                    key_digest=run.call.key_digest,
                )
                self._end_call(run, rpc.build_error_answer(_KINDS.UNAUTHORIZED))

    def handle_run_answer(self, event: messages.RunAnswered) -> None:
        """Handles a complete answer of the local backend server."""
        run = self._runs.runs_by_id.get(event.run_id)
        if run is None:
            return
        # A request that has made calls did run, regardless of its status.
        is_shed_status = event.status == self._server.policy().shed_status
        if is_shed_status and not run.calls_made:
            self._free_slot(run, completed=False)
            self._server.untrack_run(run.run_id)
            self.refuse(run, _KINDS.SERVER_SHED)
            return
        self._free_slot(run, completed=not run.is_abandoned)
        self._server.untrack_run(run.run_id, completed=True)
        answer = rpc.Answer(
            outcome=errors.Outcome.COMPLETED,
            status=event.status,
            headers=event.headers,
            body=event.body,
        )
        self._finish_run(run, answer)

    def handle_run_failure(self, event: messages.RunFailed) -> None:
        """Handles a run that ended without an answer."""
        run = self._runs.runs_by_id.get(event.run_id)
        if run is None:
            return
        self._free_slot(run, completed=False)
        kind = failures.KINDS_BY_FAILURE[event.failure]
        if event.failure in failures.NOT_RUN_FAILURES:
            if not run.calls_made:
                self._server.untrack_run(run.run_id)
                self.refuse(run, kind)
                return
            # A request that has made calls did run, whatever the server says.
            kind = _KINDS.SERVER_ANSWER_INVALID
        if event.failure is messages.RunFailure.LOST:
            self._server.record_lost_run(run.run_id)
        else:
            self._server.untrack_run(run.run_id)
        self._finish_run(run, rpc.build_error_answer(kind))

    def expire(self, run: runs.Run) -> None:
        """Handles the expiry of a run's timer.

        The first expiry answers the call, the second aborts a run that was not
        cancelled.
        """
        if run.is_answered or (run.is_held and run.is_unsent):
            self.abort(run, failures.build_deadline_answer(run))
            return
        self._end_call(run, failures.build_deadline_answer(run))

    def fail(self, run: runs.Run) -> None:
        """Answers a call whose handling failed internally."""
        phase = run.phase
        if phase is runs.Phase.ENDED and run.is_answered:
            return
        answer = rpc.build_error_answer(_KINDS.INTERNAL)
        if not run.is_answered:
            # Sends the answer first and leaves out what might raise again.
            self._runs.close_call(run)
            answer.repeatable = False
            answer.epoch = self._state.epoch
            self._send_answer(run.link_id, run.call, answer)
        if phase is runs.Phase.RUNNING:
            self._state.emit(messages.CancelRun(run_id=run.run_id))
            self._free_slot(run, completed=False)
            self._server.untrack_run(run.run_id)
        elif phase is runs.Phase.QUEUED:
            self.apply_decisions(self._server.withdraw(run.run_id))
        self._finish_run(run, answer)

    def _present_ticket(self, run: runs.Run) -> None:
        match self._ticket_manager.present(run):
            case table.Execute():
                refusal = self._acceptance.find_refusal(run)
                if refusal is not None:
                    self.refuse(run, refusal)
                else:
                    self._admit(run)
            case table.Join():
                run.phase = runs.Phase.JOINED
                self._set_timer(run, run.deadline)
            case table.Replay(answer=answer):
                self._finish_without_run(run, msgspec.structs.replace(answer))
            case table.Reject(kind=kind, may_run_later=may_run_later):
                run.call.may_have_run |= may_run_later
                self.refuse(run, kind)

    def _admit(self, run: runs.Run) -> None:
        state = self._state
        run.phase = runs.Phase.QUEUED
        self._set_timer(run, run.deadline)
        job = frames.build_job(state, run)
        self.apply_decisions(
            self._server.submit(job, was_refused_elsewhere=run.call.attempt > 0)
        )
        if run.phase is runs.Phase.QUEUED and run.run_id in (
            self._runs.runs_by_id
        ):
            state.record_event(
                _CODES.CALL_QUEUED,
                run.call.user_request_id,
                number=run.call.number,
                queued=self._server.load().queued,
            )

    def _set_timer(self, run: runs.Run, when: float) -> None:
        if run.timer is not None:
            run.timer.cancel()
        run.timer = self._state.timers.add(when, run)

    def apply_decisions(self, decisions: list[admission.Decision]) -> None:
        """Carries out the decisions of admission."""
        pending = collections.deque(decisions)
        while pending:
            decision = pending.popleft()
            run = self._runs.runs_by_id.get(decision.job_id)
            if run is None:
                continue
            try:
                pending.extend(self._apply(decision, run))
            except Exception:
                # This failure must not fail the call of the current event.
                self._state.record_failure()
                self.fail(run)

    def _apply(
        self, decision: admission.Decision, run: runs.Run
    ) -> list[admission.Decision]:
        """Carries out a decision and returns those that follow from it."""
        match decision:
            case admission.Start():
                if not self._acceptance.can_end_before_exit(run):
                    return self._decline(run)
                self._start_run(run)
            case admission.Refuse(kind=_KINDS.DEADLINE_EXCEEDED):
                self._end_queued(run, failures.build_deadline_answer(run))
            case admission.Refuse(kind=kind):
                self.refuse(run, kind)
            case admission.Preempt():
                self._preempt(run)
        return []

    def _decline(self, run: runs.Run) -> list[admission.Decision]:
        """Refuses a run that could not end before the node exits."""
        decisions = self._server.finish(run.run_id, completed=False)
        self.refuse(run, _KINDS.DRAINING)
        return decisions

    def _start_run(self, run: runs.Run) -> None:
        """Sends a request to the local backend server."""
        state = self._state
        run.phase = runs.Phase.RUNNING
        run.holds_retry_token = False
        self._ticket_manager.record_use(run)
        self._server.track_run(run.fingerprint, run.run_id)
        state.record_event(
            _CODES.RUN_STARTED, run.call.user_request_id, run=run.run_id
        )
        remaining_ms = engine_state.remaining_ms(run.deadline, state.now)
        run.started_at = state.now
        if run.call.route_name:
            state.cost_model.record_run_start(run.call.route_name, state.now)
        answer_due_ms = 0
        if not self._is_cancellable(run):
            remaining_ms += overdue.get_grace_ms(run)
        elif run.call.route_name:
            answer_due_ms = overdue.compute_answer_due_ms(
                state.cost_model.run_time_s(run.call.route_name),
                self._server.work_factor(),
                remaining_ms,
            )
        state.emit(
            messages.StartRun(
                run_id=run.run_id,
                request=run.call.request,
                user_request_id=run.call.user_request_id,
                context=self._runs.build_context(run),
                deadline_ms=remaining_ms,
                caller_service=run.call.caller_service,
                organisation=run.call.organisation,
                answer_due_ms=answer_due_ms,
            )
        )

    def _is_cancellable(self, run: runs.Run) -> bool:
        return (
            run.ticket_record is None
            and self._server.policy().accepts_cancellation
        )

    def _preempt(self, run: runs.Run) -> None:
        """Cancels a running request in favour of a more important one."""
        self._state.emit(messages.CancelRun(run_id=run.run_id))
        self._server.untrack_run(run.run_id)
        may_have_run = not run.is_unsent
        answer = rpc.build_error_answer(_KINDS.SHED, may_have_run=may_have_run)
        self._finish_run(run, answer)

    def _cancel_call(self, run: runs.Run) -> None:
        """Cancels a call whose answer is no longer needed."""
        self._state.record_event(
            _CODES.CALL_CANCELLED,
            run.call.user_request_id,
            number=run.call.number,
        )
        self._end_call(run, None)

    def _end_call(self, run: runs.Run, answer: rpc.Answer | None) -> None:
        """Answers a call and stops its work if possible."""
        match run.phase:
            case runs.Phase.JOINED:
                self._ticket_manager.remove_waiting(run)
                self._runs.remove(run)
                self._answer_call(run, answer)
            case runs.Phase.QUEUED:
                decisions = self._server.withdraw(run.run_id)
                self._end_queued(run, answer)
                self.apply_decisions(decisions)
            case runs.Phase.RUNNING:
                self._detach_run(run, answer)

    def _end_queued(self, run: runs.Run, answer: rpc.Answer | None) -> None:
        """Ends a request that left the queue without a run."""
        self._acceptance.release(run)
        successor = self._ticket_manager.transfer(run)
        self._runs.remove(run)
        self._answer_call(run, answer)
        if successor is not None:
            successor.fingerprint = run.fingerprint
            self._admit(successor)

    def _detach_run(self, run: runs.Run, answer: rpc.Answer | None) -> None:
        """Answers the call of a running request and cancels the run.

        A run under a ticket continues so that its answer can be replayed.
        """
        run.is_abandoned = run.ticket_record is None
        self._answer_call(run, answer)
        if self._is_cancellable(run):
            self.abort(run, failures.build_deadline_answer(run))
            return
        self._set_timer(run, run.deadline + overdue.get_grace_ms(run) / 1000)

    def abort(self, run: runs.Run, answer: rpc.Answer) -> None:
        """Aborts a run on the backend server and answers its open calls."""
        self._state.emit(messages.CancelRun(run_id=run.run_id))
        self._free_slot(run, completed=False)
        self._server.untrack_run(run.run_id)
        self._finish_run(run, answer)

    def _free_slot(self, run: runs.Run, *, completed: bool) -> None:
        run.phase = runs.Phase.ENDED
        self._state.record_event(
            _CODES.RUN_ENDED,
            run.call.user_request_id,
            run=run.run_id,
            result="completed" if completed else "not completed",
        )
        run_s = self._state.now - run.started_at
        if run.call.route_name:
            self._state.cost_model.record_run_end(
                run.call.route_name,
                run_s,
                self._state.now,
                completed=completed,
            )
            if completed:
                self._state.run_durations.record(run.call.route_name, run_s)
        self._server.observe_run_time(run_s)
        try:
            decisions = self._server.finish(run.run_id, completed=completed)
        except Exception:
            # The result of the call does not depend on the release of the slot.
            self._state.record_failure()
            return
        self.apply_decisions(decisions)

    def refuse(self, run: runs.Run, kind: _KINDS) -> None:
        """Refuses a call that did not run and the calls that joined it."""
        self._acceptance.release(run)
        calls = [run, *run.joined]
        answers = [
            rpc.build_error_answer(
                kind, may_have_run=each.may_have_run, is_unsent=each.is_unsent
            )
            for each in calls
        ]
        self._ticket_manager.settle_refused(run, answers)
        if kind is _KINDS.SHED:
            self._state.record_event(
                _CODES.CALL_SHED,
                run.call.user_request_id,
                place="target",
                reason=explanations.explain_target_shed(self._server, run),
            )
        for each, answer in zip(calls, answers, strict=True):
            self._runs.remove(each)
            self._answer_call(each, answer)

    def _finish_without_run(self, run: runs.Run, answer: rpc.Answer) -> None:
        """Answers a call that needs no run of its own."""
        self._runs.remove(run)
        self._answer_call(run, answer)

    def _finish_run(self, run: runs.Run, answer: rpc.Answer) -> None:
        """Answers a call whose run has ended and the calls that joined it."""
        self._ticket_manager.settle_finished(run, answer)
        self._runs.remove(run)
        for joined in run.joined:
            self._runs.remove(joined)
            self._answer_call(joined, msgspec.structs.replace(answer))
        self._answer_call(run, answer)

    def _answer_call(self, run: runs.Run, answer: rpc.Answer | None) -> None:
        """Sends the answer of a call unless it is already answered.

        Args:
          run: Run of the call.
          answer: The answer, or None if it is no longer needed.
        """
        if run.timer is not None:
            run.timer.cancel()
        is_running = run.phase is runs.Phase.RUNNING and not run.is_abandoned
        if not is_running:
            self._cancel_child_calls(run)
        if run.is_answered:
            return
        if answer is not None:
            self._fill_in_answer(run, answer, is_running=is_running)
        self._runs.close_call(run)
        if answer is not None:
            self._send_answer(run.link_id, run.call, answer)

    def _fill_in_answer(
        self, run: runs.Run, answer: rpc.Answer, *, is_running: bool
    ) -> None:
        """Sets the fields of an answer that report more than the result."""
        truth.correct_outcome(answer, may_have_run=run.may_have_run)
        answer.tokens_left = 0 if is_running else run.allowance.close()
        answer.repeatable = run.repeatable and run.route.repeatable
        answer.threshold = min(
            run.threshold, self._server.threshold(run.class_name)
        )
        answer.load = self._server.load()
        answer.may_retry = self._acceptance.may_retry(run.call)
        answer.epoch = self._state.epoch
        if run.call.route_name:
            answer.report = self._state.cost_model.report(
                run.link_id, run.call.route_name, self._state.now
            )
