"""Answers to the requests that are open when the process exits."""

from bergamotdeal.calls import dispatch
from bergamotdeal.calls import exchanges
from bergamotdeal.calls import execution
from bergamotdeal.calls import local_server
from bergamotdeal.calls import messages
from bergamotdeal.calls import open_work
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.rpc import core as rpc
from bergamotdeal.shutdown import core as shutdown


class FinalAnswers:
    """Answers the open runs and exchanges of an engine.

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

    def refuse_waiting(self) -> None:
        """Refuses what no server has received, here and at other nodes.

        Calls of the local backend server's runs to other nodes go on, as the
        work above them would be lost without them.
        """
        self._state.is_ending = True
        self._refuse_waiting_runs()
        for exchange in self._list_exchanges():
            match self._get_exchange_state(exchange):
                case shutdown.AwaitingCap() | shutdown.AwaitingLink():
                    self._end_exchange(exchange)
                case shutdown.AwaitingPeer() if not exchange.is_call_of_run:
                    self._state.emit(
                        messages.SendCancel(
                            host_id=exchange.host_id,
                            number=exchange.number,
                            only_waiting=True,
                        )
                    )

    def refuse_withdrawn(self, event: messages.PeerCancelled) -> None:
        """Refuses a call of another node unless the server has received it."""
        run = self._runs.runs_by_call.get((event.link_id, event.number))
        if run is not None and _is_waiting(run):
            decisions = self._server.withdraw(run.run_id)
            self._end_run(run)
            self._executor.apply_decisions(decisions)

    def end_runs(self) -> None:
        """Answers the calls of all runs and aborts those at the server.

        The node accepts no further work.
        """
        self._state.is_ending = self._state.is_exiting = True
        self._refuse_waiting_runs()
        for run in list(self._runs.runs_by_id.values()):
            if run.phase is runs.Phase.RUNNING:
                self._end_run(run)
        # Calls that joined one of these runs were answered with it.
        for run in list(self._runs.runs_by_call.values()):
            self._end_run(run)

    def end_exchanges(self) -> None:
        """Answers all callers that still wait."""
        for exchange in self._list_exchanges():
            self._end_exchange(exchange)

    def _refuse_waiting_runs(self) -> None:
        open_runs = list(self._runs.runs_by_id.values())
        # A slot that becomes free must not start a run that waits.
        for run in open_runs:
            if run.phase is runs.Phase.QUEUED:
                self._end_run(run)
        self._executor.apply_decisions(self._server.suspend())
        for run in open_runs:
            if _is_waiting(run):
                self._end_run(run)

    def _list_exchanges(self) -> list[exchanges.Exchange]:
        table = self._dispatcher.exchange_table
        return list(table.exchanges_by_origin_id.values())

    def _get_exchange_state(
        self, exchange: exchanges.Exchange
    ) -> shutdown.ExchangeState:
        return open_work.get_exchange_state(
            exchange, self._state.identity.host_id
        )

    def _end_exchange(self, exchange: exchanges.Exchange) -> None:
        kind = shutdown.choose_final_error(self._get_exchange_state(exchange))
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


def _is_waiting(run: runs.Run) -> bool:
    """Returns whether the backend server has certainly not received a run."""
    match open_work.get_run_state(run):
        case shutdown.AwaitingSlot() | shutdown.AwaitingConnection():
            return True
    return False
