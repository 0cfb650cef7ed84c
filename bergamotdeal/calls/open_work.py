"""States of the requests that are open at a node."""

import collections

from bergamotdeal.calls import exchanges
from bergamotdeal.calls import runs
from bergamotdeal.shutdown import core as shutdown


def get_run_state(run: runs.Run) -> shutdown.RunState:
    """Returns what a run waits for."""
    match run.phase:
        case runs.Phase.QUEUED:
            return shutdown.AwaitingSlot()
        case runs.Phase.JOINED:
            return shutdown.AwaitingTicketHolder()
    if run.is_answered:
        return shutdown.Detached()
    if run.is_held:
        return shutdown.AwaitingConnection()
    return shutdown.AwaitingServer()


def get_exchange_state(
    exchange: exchanges.Exchange, own_host_id: str
) -> shutdown.ExchangeState:
    """Returns what an exchange waits for.

    Args:
      exchange: Unanswered exchange.
      own_host_id: Host id of this node.
    """
    if not exchange.number:
        return shutdown.AwaitingCap()
    if exchange.host_id == own_host_id:
        return shutdown.AwaitingOwnTarget()
    if exchange.is_held:
        return shutdown.AwaitingLink()
    return shutdown.AwaitingPeer()


def count_by_state(
    *,
    run_table: runs.RunTable,
    exchange_table: exchanges.ExchangeTable,
    own_host_id: str,
) -> dict[str, int]:
    """Counts the open requests by the name of their state.

    Args:
      run_table: Runs of the node.
      exchange_table: Exchanges of the node.
      own_host_id: Host id of the node.
    """
    states: list[shutdown.OpenState] = [
        get_run_state(run) for run in run_table.runs_by_id.values()
    ]
    states += [
        get_exchange_state(exchange, own_host_id)
        for exchange in exchange_table.exchanges_by_origin_id.values()
    ]
    return dict(collections.Counter(type(state).__name__ for state in states))
