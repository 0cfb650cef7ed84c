"""Rules for the outcome of an answer and for retries.

``not-run`` applies to the request, not to its last attempt: it is correct only
if no attempt was handed over to a backend server. So only a first attempt may
be answered with ``not-run``, and only by a node that knows that it did not
hand the request over.
"""

from bergamotdeal.calls import exchanges
from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core as rpc

_KINDS = errors.ErrorKind

RETRYABLE_REFUSALS = frozenset(
    {
        _KINDS.DRAINING,
        _KINDS.NOT_READY,
        _KINDS.NO_SERVER,
        _KINDS.PEER_UNREACHABLE,
        _KINDS.SERVER_UNREACHABLE,
        _KINDS.SERVER_SHED,
        _KINDS.TICKET_TABLE_FULL,
    }
)
"""Refusals that concern a single server; another server may accept the call."""

REFUSED_BEFORE_SERVER = frozenset(
    {
        _KINDS.SHED,
        _KINDS.DRAINING,
        _KINDS.NOT_READY,
        _KINDS.NO_SERVER,
        _KINDS.PEER_UNREACHABLE,
        _KINDS.SERVER_UNREACHABLE,
    }
)
"""Refusals that occur before the request reaches the backend server."""

LOST_ANSWER_KINDS = frozenset(
    {
        _KINDS.PEER_LOST,
        _KINDS.SERVER_LOST,
        _KINDS.SERVER_ANSWER_INVALID,
    }
)
"""Lost answers after which a repeatable call may go to another server."""


def correct_outcome(answer: rpc.Answer, *, may_have_run: bool) -> rpc.Answer:
    """Replaces ``not-run`` by ``unknown`` if an earlier attempt may have run.

    Args:
      answer: Answer to the last attempt; changed in place.
      may_have_run: Whether an earlier attempt may have run.

    Returns:
      The same answer.
    """
    if may_have_run and answer.outcome is errors.Outcome.NOT_RUN:
        answer.outcome = errors.Outcome.UNKNOWN
    return answer


def is_retry_safe(
    exchange: exchanges.Exchange,
    answer: rpc.Answer,
    *,
    max_lost_dispatches: int,
    shed_elsewhere: bool = False,
) -> bool:
    """Returns whether a call can safely be retried.

    Args:
      exchange: Exchange whose last dispatch has ended.
      answer: Answer to that dispatch, or the error in place of an answer.
      max_lost_dispatches: Number of lost dispatches after which the call
        itself is suspected of causing the losses.
      shed_elsewhere: Whether a request that was shed may be sent to another
        server.
    """
    if shed_elsewhere and answer.error is _KINDS.SHED:
        return _is_retry_safe_after_refusal(exchange, answer)
    if answer.error in RETRYABLE_REFUSALS:
        return _is_retry_safe_after_refusal(exchange, answer)
    if answer.error in LOST_ANSWER_KINDS:
        if exchange.is_requesting_ticket:
            return True
        return (
            exchange.lost_dispatches < max_lost_dispatches
            and not exchange.ticket
            and exchange.route.repeatable
            and exchange.repeatable
        )
    return False


def _is_retry_safe_after_refusal(
    exchange: exchanges.Exchange, answer: rpc.Answer
) -> bool:
    if not exchange.ticket:
        return True
    # A second ticket is safe only once the first one is burnt, and only the
    # incarnation that issued it can burn it.
    return (
        exchange.has_own_ticket
        and answer.error is not _KINDS.PEER_UNREACHABLE
        and answer.outcome is errors.Outcome.NOT_RUN
    )
