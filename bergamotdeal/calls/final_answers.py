"""Answers to the requests that are open when the process exits."""

from bergamotdeal.calls import dispatch
from bergamotdeal.calls import execution
from bergamotdeal.calls import local_server
from bergamotdeal.calls import open_work
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.rpc import core as rpc
from bergamotdeal.shutdown import core as shutdown


class FinalAnswers:
    """Answers all open runs and exchanges of an engine.

    Args:
      state: State of the engine.
      run_table: Table of the runs.
      server: Admission to the local backend server.
      executor: Ends the runs.
      dispatcher: Ends the exchanges.
    """

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        run_table: runs.RunTable,
        server: local_server.LocalServer,
        executor: execution.Executor,
        dispatcher: dispatch.Dispatcher,
    ) -> None:
        self._state = state
        self._runs = run_table
        self._server = server
        self._executor = executor
        self._dispatcher = dispatcher

    def end_runs(self) -> None:
        """Answers the calls of all runs and aborts those at the server."""
        open_runs = list(self._runs.runs_by_id.values())
        waiting = [run for run in open_runs if run.phase is runs.Phase.QUEUED]
        # A slot that becomes free must not start a run that waits.
        for run in waiting:
            self._end_run(run)
        self._executor.apply_decisions(self._server.suspend())
        for run in open_runs:
            if run.phase is runs.Phase.RUNNING:
                self._end_run(run)
        # Calls that joined one of these runs were answered with it.
        for run in list(self._runs.runs_by_call.values()):
            self._end_run(run)

    def end_exchanges(self) -> None:
        """Answers all callers that still wait."""
        exchanges_by_id = self._dispatcher.exchange_table.exchanges_by_origin_id
        own_host_id = self._state.identity.host_id
        for exchange in list(exchanges_by_id.values()):
            kind = shutdown.choose_final_error(
                open_work.get_exchange_state(exchange, own_host_id)
            )
            try:
                self._dispatcher.end(exchange, kind)
            except Exception:
                self._state.record_failure()
                self._dispatcher.fail(exchange)

    def _end_run(self, run: runs.Run) -> None:
        kind = shutdown.choose_final_error(open_work.get_run_state(run))
        if kind is None:
            return
        try:
            if run.phase is runs.Phase.RUNNING:
                answer = rpc.build_error_answer(
                    kind,
                    may_have_run=run.may_have_run,
                    is_unsent=run.is_unsent,
                )
                self._executor.abort(run, answer)
            else:
                self._executor.refuse(run, kind)
        except Exception:
            self._state.record_failure()
            self._executor.fail(run)
