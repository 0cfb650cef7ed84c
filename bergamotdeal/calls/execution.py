"""The target's side of a call: admission, the run and its answer."""

from collections.abc import Callable

from bergamotdeal.calls import core
from bergamotdeal.calls import interim
from bergamotdeal.calls import messages
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.calls import truth
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.retries import allowance
from bergamotdeal.telemetry import catalogue

_CODES = catalogue.EventCode
_KINDS = errors.ErrorKind

_KINDS_BY_FAILURE = {
    messages.RunFailure.UNREACHABLE: _KINDS.SERVER_UNREACHABLE,
    messages.RunFailure.LOST: _KINDS.SERVER_LOST,
    messages.RunFailure.TIMED_OUT: _KINDS.DEADLINE_EXCEEDED,
    messages.RunFailure.INVALID: _KINDS.SERVER_ANSWER_INVALID,
    messages.RunFailure.TOO_LARGE: _KINDS.ANSWER_TOO_LARGE,
}


class Executor:
    """Runs calls of other nodes on the local backend server.

    Args:
      state: State shared with the origin's side.
      run_table: Table of the runs.
      send_answer: Sends an answer for a call on a link, the local one
        included.
      abandon_children: Ends the open calls that a run made.
    """

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        run_table: runs.RunTable,
        send_answer: Callable[[int, core.Call, core.Answer], None],
        abandon_children: Callable[[runs.Run], None],
    ):
        self._state = state
        self._table = run_table
        self._send_answer = send_answer
        self._abandon_children = abandon_children
        self._controller: interim.Controller | None = None

    def idle(self) -> bool:
        """Whether every call is answered."""
        return self._table.idle()

    def load(self) -> core.Load | None:
        """Returns the backend server's load, None before an announcement."""
        return self._controller.load() if self._controller else None

    def threshold(self, class_name: str) -> float:
        """Returns the share of request hashes of a class that is admitted."""
        if self._controller is None:
            return 1.0
        rank = self._state.preset.rank_of(class_name)
        return self._controller.threshold(rank)

    def next_wakeup(self) -> float | None:
        """Returns when ``advance`` is next needed, in monotonic seconds."""
        if self._controller is None:
            return None
        return self._controller.next_wakeup()

    def advance(self) -> None:
        """Lets admission decide on what the passed time changed."""
        if self._controller is not None:
            self._apply(self._controller.advance(self._state.now))

    def server_announced(self, service: str, slots: int) -> None:
        """Takes up the local backend server's announcement."""
        state = self._state
        if self._controller is None or state.service != service:
            state.service = service
            self._controller = interim.Controller(
                policy=state.preset.admission,
                service_policy=self._service_policy(),
                class_count=len(state.preset.classes),
                slots=slots,
                now=state.now,
            )
            return
        self._apply(self._controller.set_slots(slots, state.now))

    def server_silent(self) -> None:
        """Stops giving work to a server that no longer announces itself."""
        self._state.service = ""

    def preset_changed(self) -> None:
        """Applies the preset in force to admission."""
        if self._controller is not None:
            preset = self._state.preset
            verdicts = self._controller.set_policy(
                policy=preset.admission,
                service_policy=self._service_policy(),
                class_count=len(preset.classes),
                now=self._state.now,
            )
            self._apply(verdicts)

    def arrive(self, link_id: int, call: core.Call) -> None:
        """Takes up a call of another node."""
        if (link_id, call.number) in self._table.runs_by_call:
            return
        state = self._state
        request = call.request
        route = state.preset.route_for(
            request.service, request.method, request.path
        )
        margin_ms = min(state.preset.hop_margin_ms, call.deadline_ms // 2)
        run = runs.Run(
            run_id=self._table.next_id(),
            link_id=link_id,
            call=call,
            route=route,
            class_name=state.class_for(call.class_name, route.class_name),
            deadline=state.now + (call.deadline_ms - margin_ms) / 1000,
            allowance=allowance.Allowance(tokens=call.tokens),
        )
        refusal = self._refusal(run)
        if refusal is not None:
            self._refuse(run, refusal)
            return
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
        shed_status = self._service_policy().shed_status
        if shed_status is not None and event.status == shed_status:
            self._end_run(run, completed=False)
            answer = core.error_answer(
                _KINDS.SERVER_SHED, may_have_run=truth.sent_before(run.call)
            )
        else:
            self._end_run(run, completed=True)
            answer = core.Answer(
                outcome=errors.Outcome.COMPLETED,
                status=event.status,
                headers=event.headers,
                body=event.body,
            )
        self._answer(run, answer)

    def run_failed(self, event: messages.RunFailed) -> None:
        """Handles a run that ended without an answer."""
        run = self._table.runs_by_id.get(event.run_id)
        if run is None:
            return
        self._end_run(run, completed=False)
        kind = _KINDS_BY_FAILURE[event.failure]
        answer = core.error_answer(
            kind, may_have_run=truth.sent_before(run.call)
        )
        self._answer(run, answer)

    def expire(self, run: runs.Run) -> None:
        """Answers a call whose deadline has passed."""
        answer = core.error_answer(_KINDS.DEADLINE_EXCEEDED)
        self._give_up(run)
        self._answer(run, answer)

    def _service_policy(self) -> model.ServicePolicy:
        policy = self._state.preset.services_by_name.get(self._state.service)
        return policy or model.ServicePolicy()

    def _refusal(self, run: runs.Run) -> _KINDS | None:
        """Returns why a call is refused before admission, or None."""
        state = self._state
        if state.draining:
            return _KINDS.DRAINING
        if self._controller is None or not state.service:
            return _KINDS.NOT_READY
        if run.call.request.service != state.service:
            return _KINDS.NO_SERVER
        if run.call.deadline_ms <= 0:
            return _KINDS.DEADLINE_EXCEEDED
        return None

    def _admit(self, run: runs.Run) -> None:
        state = self._state
        self._table.add(run)
        run.timer = state.timers.add(run.deadline, run)
        job = interim.Job(
            job_id=run.run_id,
            class_rank=state.preset.rank_of(run.class_name),
            hash_share=0.0,
            deadline=run.deadline,
            arrived=state.now,
        )
        self._apply(self._controller.submit(job, state.now))

    def _apply(self, verdicts: list[interim.Verdict]) -> None:
        """Carries out what admission decided."""
        for verdict in verdicts:
            run = self._table.runs_by_id.get(verdict.job_id)
            if run is None:
                continue
            match verdict:
                case interim.Start():
                    self._start(run)
                case interim.Refuse(kind=kind):
                    self._table.remove(run)
                    self._refuse(run, kind)
                case interim.Preempt():
                    self._preempt(run)

    def _start(self, run: runs.Run) -> None:
        """Hands a request over to the local backend server."""
        state = self._state
        run.phase = runs.Phase.RUNNING
        state.record(
            _CODES.RUN_STARTED, run.call.user_request_id, run=run.run_id
        )
        state.emit(
            messages.StartRun(
                run_id=run.run_id,
                request=run.call.request,
                user_request_id=run.call.user_request_id,
                context=self._table.context_of(run),
                deadline_ms=engine_state.milliseconds_left(
                    run.deadline, state.now
                ),
            )
        )

    def _preempt(self, run: runs.Run) -> None:
        """Cancels a running request in favour of a more important one."""
        answer = core.error_answer(_KINDS.SHED, may_have_run=True)
        self._give_up(run)
        self._answer(run, answer)

    def _abandon(self, run: runs.Run) -> None:
        """Stops the work for a call that nobody waits for."""
        self._state.record(
            _CODES.CALL_CANCELLED,
            run.call.user_request_id,
            number=run.call.number,
        )
        self._give_up(run)
        self._close(run)

    def _give_up(self, run: runs.Run) -> None:
        """Takes a request out of the queue or stops its run."""
        if run.phase is runs.Phase.QUEUED:
            self._table.remove(run)
            verdicts = self._controller.withdraw(run.run_id, self._state.now)
            self._apply(verdicts)
        elif run.phase is runs.Phase.RUNNING:
            self._state.emit(messages.CancelRun(run_id=run.run_id))
            self._end_run(run, completed=False)

    def _end_run(self, run: runs.Run, *, completed: bool) -> None:
        """Frees a run's slot."""
        self._table.remove(run)
        self._state.record(
            _CODES.RUN_ENDED,
            run.call.user_request_id,
            run=run.run_id,
            result="completed" if completed else "not completed",
        )
        verdicts = self._controller.finish(
            run.run_id, self._state.now, completed=completed
        )
        self._apply(verdicts)

    def _close(self, run: runs.Run) -> None:
        """Ends the timer, the calls below and the re-sends of a run."""
        self._table.close_call(run)
        if run.timer is not None:
            run.timer.cancel()
        self._abandon_children(run)

    def _refuse(self, run: runs.Run, kind: _KINDS) -> None:
        """Answers a call that was not handed over."""
        answer = core.error_answer(
            kind, may_have_run=truth.sent_before(run.call)
        )
        self._answer(run, answer)

    def _answer(self, run: runs.Run, answer: core.Answer) -> None:
        """Sends the answer of a call, once."""
        self._close(run)
        answer.tokens_left = run.allowance.close()
        answer.repeatable = run.repeatable and run.route.repeatable
        answer.threshold = run.threshold
        answer.epoch = self._state.epoch
        if self._controller is not None:
            rank = self._state.preset.rank_of(run.class_name)
            own_threshold = self._controller.threshold(rank)
            answer.threshold = min(answer.threshold, own_threshold)
            answer.load = self._controller.load()
        self._send_answer(run.link_id, run.call, answer)
