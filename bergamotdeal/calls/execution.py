"""The target's side of a call: tickets, admission, the run, its answer."""

from collections.abc import Callable
import dataclasses

from bergamotdeal.admission import core as admission
from bergamotdeal.admission import hashing
from bergamotdeal.calls import core
from bergamotdeal.calls import explanations
from bergamotdeal.calls import failures
from bergamotdeal.calls import local_server
from bergamotdeal.calls import messages
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.calls import ticketing as call_ticketing
from bergamotdeal.calls import truth
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.retries import allowance
from bergamotdeal.telemetry import catalogue
from bergamotdeal.tickets import core as tickets
from bergamotdeal.tickets import table

_CODES = catalogue.EventCode
_KINDS = errors.ErrorKind

LINGER_MS = 1000
"""Time after its deadline for which a run that can't be cancelled goes on."""

TICKET_LINGER_MS = 5000
"""The same for a run under a ticket, whose late answer is still asked for."""


class Executor:
    """Runs calls of other nodes on the local backend server.

    Args:
      state: State of the engine.
      run_table: Table of the runs.
      server: The local backend server's admission and quarantine.
      ticketing: Tickets of this node.
      send_answer: Sends an answer for a call on a link, the local one
        included.
      abandon_children: Ends the open calls that a run made.
    """

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        run_table: runs.RunTable,
        server: local_server.LocalServer,
        ticketing: call_ticketing.Ticketing,
        send_answer: Callable[[int, core.Call, core.Answer], None],
        abandon_children: Callable[[runs.Run], None],
    ):
        self._state = state
        self._table = run_table
        self._server = server
        self._ticketing = ticketing
        self._send_answer = send_answer
        self._abandon_children = abandon_children

    def is_idle(self) -> bool:
        """Whether every call is answered and every run has ended."""
        return self._table.is_idle()

    def find(self, event: messages.Event) -> runs.Run | None:
        """Returns the unanswered run that an event concerned, or None.

        It is for events that failed midway and looks at every run.
        """
        match event:
            case messages.PeerCalled():
                key = (event.link_id, event.call.number)
                return self._table.runs_by_call.get(key)
            case messages.PeerCancelled():
                key = (event.link_id, event.number)
                return self._table.runs_by_call.get(key)
            case messages.RunAnswered() | messages.RunFailed():
                for run in self._table.runs_by_call.values():
                    if run.run_id == event.run_id:
                        return run
                return self._table.runs_by_id.get(event.run_id)
        return None

    def arrive(self, link_id: int, call: core.Call) -> None:
        """Takes up a call of another node."""
        if (link_id, call.number) in self._table.runs_by_call:
            return
        run = self._open(link_id, call)
        self._table.add(run)
        if call.ticket:
            self._present(run)
            return
        refusal = self._refusal(run)
        if refusal is not None:
            self._refuse(run, refusal)
        elif self._ticketing.must_mint(run):
            threshold = self._server.threshold(run.class_name)
            answer = self._ticketing.issue(run, threshold=threshold)
            self._end_unrun(run, answer)
        else:
            self._admit(run)

    def cancelled(self, link_id: int, number: int) -> None:
        """Handles a call whose answer is no longer wanted."""
        run = self._table.runs_by_call.get((link_id, number))
        if run is not None:
            self._abandon(run)

    def link_closed(self, link_id: int) -> None:
        """Handles the calls of a link that closed."""
        for run in list(self._table.runs_by_call.values()):
            if run.link_id == link_id:
                self._abandon(run)

    def run_answered(self, event: messages.RunAnswered) -> None:
        """Handles a complete answer of the local backend server."""
        run = self._table.runs_by_id.get(event.run_id)
        if run is None:
            return
        # A request that has made calls did run, whatever its status says.
        says_shed = event.status == self._server.policy().shed_status
        if says_shed and not run.calls_made:
            self._free_slot(run, completed=False)
            self._server.run_ended(run.run_id)
            self._refuse(run, _KINDS.SERVER_SHED)
            return
        self._free_slot(run, completed=not run.abandoned)
        self._server.run_ended(run.run_id)
        answer = core.Answer(
            outcome=errors.Outcome.COMPLETED,
            status=event.status,
            headers=event.headers,
            body=event.body,
        )
        self._end_run(run, answer)

    def run_failed(self, event: messages.RunFailed) -> None:
        """Handles a run that ended without an answer."""
        run = self._table.runs_by_id.get(event.run_id)
        if run is None:
            return
        self._free_slot(run, completed=False)
        kind = failures.KINDS_BY_FAILURE[event.failure]
        if event.failure in failures.NOT_RUN:
            self._server.run_ended(run.run_id)
            self._refuse(run, kind)
            return
        if event.failure is messages.RunFailure.LOST:
            self._server.run_lost(run.run_id)
        else:
            self._server.run_ended(run.run_id)
        self._end_run(run, core.build_error_answer(kind))

    def expire(self, run: runs.Run) -> None:
        """Acts on a run whose timer is due.

        The first time answers its call, the second one ends a run that was
        not cancelled.
        """
        if run.answered:
            self._stop(run)
            return
        answer = core.build_error_answer(_KINDS.DEADLINE_EXCEEDED)
        self._let_go(run, answer)

    def fail(self, run: runs.Run) -> None:
        """Answers a call whose handling failed internally."""
        phase = run.phase
        if phase is runs.Phase.ENDED and run.answered:
            return
        answer = core.build_error_answer(_KINDS.INTERNAL)
        if not run.answered:
            # The answer leaves first, without what might raise once more.
            self._table.close_call(run)
            answer.repeatable = False
            answer.epoch = self._state.epoch
            self._send_answer(run.link_id, run.call, answer)
        if phase is runs.Phase.RUNNING:
            self._state.emit(messages.CancelRun(run_id=run.run_id))
            self._free_slot(run, completed=False)
            self._server.run_ended(run.run_id)
        elif phase is runs.Phase.QUEUED:
            self.apply(self._server.withdraw(run.run_id))
        self._end_run(run, answer)

    def _open(self, link_id: int, call: core.Call) -> runs.Run:
        state = self._state
        if call.route_name:
            route = state.carried_route(call)
        else:
            route = state.route_for(call.request)
        margin_ms = min(state.preset.hop_margin_ms, call.deadline_ms // 2)
        return runs.Run(
            run_id=self._table.next_id(),
            link_id=link_id,
            call=call,
            route=route,
            class_name=_class_of(state, call, route),
            deadline=state.now + (call.deadline_ms - margin_ms) / 1000,
            allowance=allowance.Allowance(tokens=call.tokens),
        )

    def _present(self, run: runs.Run) -> None:
        match self._ticketing.present(run):
            case table.Execute():
                refusal = self._refusal(run)
                if refusal is not None:
                    self._refuse(run, refusal)
                else:
                    self._admit(run)
            case table.Join():
                run.phase = runs.Phase.JOINED
                self._set_timer(run, run.deadline)
            case table.Replay(answer=answer):
                self._end_unrun(run, dataclasses.replace(answer))
            case table.Reject(kind=kind, may_run_later=may_run_later):
                run.call.may_have_run |= may_run_later
                self._refuse(run, kind)

    def _refusal(self, run: runs.Run) -> _KINDS | None:
        """Returns why a call is refused before admission, or None."""
        state = self._state
        if state.draining:
            return _KINDS.DRAINING
        if not state.service:
            return _KINDS.NOT_READY
        if run.call.request.service != state.service:
            return _KINDS.NO_SERVER
        if run.call.deadline_ms <= 0:
            return _KINDS.DEADLINE_EXCEEDED
        if run.call.only_repeatable and not run.route.repeatable:
            return _KINDS.CALL_NOT_DECLARED
        run.fingerprint = tickets.fingerprint(run.call.request)
        if self._server.quarantines(run.fingerprint):
            state.record(
                _CODES.REQUEST_QUARANTINED,
                run.call.user_request_id,
                fingerprint=run.fingerprint,
            )
            return _KINDS.QUARANTINED
        return None

    def _admit(self, run: runs.Run) -> None:
        state = self._state
        run.phase = runs.Phase.QUEUED
        self._set_timer(run, run.deadline)
        job = admission.Job(
            job_id=run.run_id,
            class_rank=state.preset.get_class_rank(run.class_name),
            hash_share=_hash_share(state, run),
            deadline=run.deadline,
            arrived=state.now,
        )
        self.apply(self._server.submit(job))
        if run.phase is runs.Phase.QUEUED and run.run_id in (
            self._table.runs_by_id
        ):
            state.record(
                _CODES.CALL_QUEUED,
                run.call.user_request_id,
                number=run.call.number,
                queued=self._server.load().queued,
            )

    def _set_timer(self, run: runs.Run, when: float) -> None:
        if run.timer is not None:
            run.timer.cancel()
        run.timer = self._state.timers.add(when, run)

    def apply(self, decisions: list[admission.Decision]) -> None:
        """Carries out what admission decided."""
        for decision in decisions:
            run = self._table.runs_by_id.get(decision.job_id)
            if run is None:
                continue
            try:
                self._apply(decision, run)
            except Exception:
                # One call's failure is not that of the call in hand.
                self._state.record_failure()
                self.fail(run)

    def _apply(self, decision: admission.Decision, run: runs.Run) -> None:
        match decision:
            case admission.Start():
                self._start(run)
            case admission.Refuse(kind=_KINDS.DEADLINE_EXCEEDED):
                answer = core.build_error_answer(_KINDS.DEADLINE_EXCEEDED)
                self._withdrawn(run, answer)
            case admission.Refuse(kind=kind):
                self._refuse(run, kind)
            case admission.Preempt():
                self._preempt(run)

    def _start(self, run: runs.Run) -> None:
        """Hands a request over to the local backend server."""
        state = self._state
        run.phase = runs.Phase.RUNNING
        self._ticketing.used(run)
        self._server.run_started(run.fingerprint, run.run_id)
        state.record(
            _CODES.RUN_STARTED, run.call.user_request_id, run=run.run_id
        )
        left_ms = engine_state.milliseconds_left(run.deadline, state.now)
        run.started_at = state.now
        if run.call.route_name:
            state.cost_model.record_run_start(run.call.route_name, state.now)
        if not self._can_cancel(run):
            left_ms += _linger_ms(run)
        state.emit(
            messages.StartRun(
                run_id=run.run_id,
                request=run.call.request,
                user_request_id=run.call.user_request_id,
                context=self._table.context_of(run),
                deadline_ms=left_ms,
                caller_service=run.call.caller_service,
            )
        )

    def _can_cancel(self, run: runs.Run) -> bool:
        return run.record is None and self._server.policy().accepts_cancellation

    def _preempt(self, run: runs.Run) -> None:
        """Cancels a running request in favour of a more important one."""
        self._state.emit(messages.CancelRun(run_id=run.run_id))
        self._server.run_ended(run.run_id)
        answer = core.build_error_answer(_KINDS.SHED, may_have_run=True)
        self._end_run(run, answer)

    def _abandon(self, run: runs.Run) -> None:
        """Handles a call that nobody waits for."""
        self._state.record(
            _CODES.CALL_CANCELLED,
            run.call.user_request_id,
            number=run.call.number,
        )
        self._let_go(run, None)

    def _let_go(self, run: runs.Run, answer: core.Answer | None) -> None:
        """Answers a call and stops its work, if it can be stopped."""
        match run.phase:
            case runs.Phase.JOINED:
                self._ticketing.leave(run)
                self._table.remove(run)
                self._answer(run, answer)
            case runs.Phase.QUEUED:
                decisions = self._server.withdraw(run.run_id)
                self._withdrawn(run, answer)
                self.apply(decisions)
            case runs.Phase.RUNNING:
                self._detach(run, answer)

    def _withdrawn(self, run: runs.Run, answer: core.Answer | None) -> None:
        """Ends a request that left the queue unrun."""
        successor = self._ticketing.pass_on(run)
        self._table.remove(run)
        self._answer(run, answer)
        if successor is not None:
            successor.fingerprint = run.fingerprint
            self._admit(successor)

    def _detach(self, run: runs.Run, answer: core.Answer | None) -> None:
        """Answers the call of a running request and cancels the run.

        A run under a ticket goes on, so that its answer can be replayed.
        """
        run.abandoned = run.record is None
        self._answer(run, answer)
        if self._can_cancel(run):
            self._stop(run)
            return
        self._set_timer(run, run.deadline + _linger_ms(run) / 1000)

    def _stop(self, run: runs.Run) -> None:
        """Aborts a run whose call is answered."""
        self._state.emit(messages.CancelRun(run_id=run.run_id))
        self._free_slot(run, completed=False)
        self._server.run_ended(run.run_id)
        self._end_run(run, core.build_error_answer(_KINDS.DEADLINE_EXCEEDED))

    def _free_slot(self, run: runs.Run, *, completed: bool) -> None:
        run.phase = runs.Phase.ENDED
        self._state.record(
            _CODES.RUN_ENDED,
            run.call.user_request_id,
            run=run.run_id,
            result="completed" if completed else "not completed",
        )
        if run.call.route_name:
            self._state.cost_model.record_run_end(
                run.call.route_name,
                self._state.now - run.started_at,
                self._state.now,
                completed=completed,
            )
        self._server.run_took(self._state.now - run.started_at)
        try:
            decisions = self._server.finish(run.run_id, completed=completed)
        except Exception:
            # The call has its result, whatever admission makes of its slot.
            self._state.record_failure()
            return
        self.apply(decisions)

    def _refuse(self, run: runs.Run, kind: _KINDS) -> None:
        """Answers a call whose request was not run, and those that joined."""
        calls = [run, *run.joined]
        answers = [
            core.build_error_answer(kind, may_have_run=each.may_have_run)
            for each in calls
        ]
        self._ticketing.refuse(run, answers)
        if kind is _KINDS.SHED:
            self._state.record(
                _CODES.CALL_SHED,
                run.call.user_request_id,
                place="target",
                reason=explanations.of_shed_run(self._server, run),
            )
        for each, answer in zip(calls, answers, strict=True):
            self._table.remove(each)
            self._answer(each, answer)

    def _end_unrun(self, run: runs.Run, answer: core.Answer) -> None:
        """Answers a call that needs no run of its own."""
        self._table.remove(run)
        self._answer(run, answer)

    def _end_run(self, run: runs.Run, answer: core.Answer) -> None:
        """Answers a call that was handed over, and those that joined."""
        self._ticketing.finish(run, answer)
        self._table.remove(run)
        for joined in run.joined:
            self._table.remove(joined)
            self._answer(joined, dataclasses.replace(answer))
        self._answer(run, answer)

    def _answer(self, run: runs.Run, answer: core.Answer | None) -> None:
        """Sends the answer of a call, once.

        Args:
          run: The call's run, or its wait for another run.
          answer: The answer; None when nobody waits for it.
        """
        if run.timer is not None:
            run.timer.cancel()
        goes_on = run.phase is runs.Phase.RUNNING and not run.abandoned
        if not goes_on:
            self._abandon_children(run)
        if run.answered:
            return
        if answer is not None:
            self._complete(run, answer, goes_on=goes_on)
        self._table.close_call(run)
        if answer is not None:
            self._send_answer(run.link_id, run.call, answer)

    def _complete(
        self, run: runs.Run, answer: core.Answer, *, goes_on: bool
    ) -> None:
        """Fills in what an answer reports besides the result."""
        truth.correct_outcome(answer, may_have_run=run.may_have_run)
        answer.tokens_left = 0 if goes_on else run.allowance.close()
        answer.repeatable = run.repeatable and run.route.repeatable
        answer.threshold = min(
            run.threshold, self._server.threshold(run.class_name)
        )
        answer.load = self._server.load()
        answer.epoch = self._state.epoch
        if run.call.route_name:
            answer.report = self._state.cost_model.report(
                run.link_id, run.call.route_name, self._state.now
            )


def _linger_ms(run: runs.Run) -> int:
    return LINGER_MS if run.record is None else TICKET_LINGER_MS


def _class_of(
    state: engine_state.EngineState, call: core.Call, route: model.Route
) -> str:
    """Returns the class of a call; on a host route its origin knows best."""
    if not call.route_name:
        return state.class_for(call.class_name, route.class_name)
    state.cost_model.record_inbound_call(call.route_name, call.caller_service)
    return call.class_name


def _hash_share(state: engine_state.EngineState, run: runs.Run) -> float:
    if not state.preset.admission.consistent_hash:
        return 0.0
    return hashing.hash_share(run.call.user_request_id)
