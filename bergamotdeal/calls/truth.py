"""Rules for what an answer may say and for what may be sent again.

``not-run`` speaks of the request and not of its last sending. It is true only
when no sending of the request was handed over to a backend server. So only a
first sending may be answered ``not-run``, and only by a node that knows that
it did not hand the request over.
"""

from bergamotdeal.calls import core
from bergamotdeal.calls import exchanges
from bergamotdeal.errors import core as errors

_KINDS = errors.ErrorKind

REFUSALS_WORTH_RESENDING = frozenset(
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
"""Refusals that concern one server, so that another one may accept."""

NEVER_ARRIVED = frozenset(
    {
        _KINDS.SHED,
        _KINDS.DRAINING,
        _KINDS.NOT_READY,
        _KINDS.NO_SERVER,
        _KINDS.PEER_UNREACHABLE,
        _KINDS.SERVER_UNREACHABLE,
    }
)
"""Refusals before the backend server saw anything of the request."""

LOSSES = frozenset(
    {
        _KINDS.PEER_LOST,
        _KINDS.SERVER_LOST,
        _KINDS.SERVER_ANSWER_INVALID,
    }
)
"""Losses after which a repeatable call may be sent to another server."""


def correct_outcome(answer: core.Answer, *, may_have_run: bool) -> core.Answer:
    """Takes back a ``not-run`` that is not true for the whole request.

    Args:
      answer: An answer to the last sending; it is changed in place.
      may_have_run: Whether an earlier sending may have run.

    Returns:
      The same answer.
    """
    if may_have_run and answer.outcome is errors.Outcome.NOT_RUN:
        answer.outcome = errors.Outcome.UNKNOWN
    return answer


def may_resend(
    exchange: exchanges.Exchange,
    answer: core.Answer,
    *,
    max_losses: int,
    shed_elsewhere: bool = False,
) -> bool:
    """Whether sending a call again can do no harm.

    Args:
      exchange: The call, whose last dispatch has ended.
      answer: The answer to it, or the error that took its place.
      max_losses: Lost dispatches after which the call itself is suspected
        of causing them.
      shed_elsewhere: Whether a request that was shed may be offered to
        another server.
    """
    if shed_elsewhere and answer.error is _KINDS.SHED:
        return _may_replace_refused(exchange, answer)
    if answer.error in REFUSALS_WORTH_RESENDING:
        return _may_replace_refused(exchange, answer)
    if answer.error in LOSSES:
        if exchange.minting:
            return True
        return (
            exchange.losses < max_losses
            and not exchange.ticket
            and exchange.route.repeatable
            and exchange.repeatable
        )
    return False


def _may_replace_refused(
    exchange: exchanges.Exchange, answer: core.Answer
) -> bool:
    if not exchange.ticket:
        return True
    # Another ticket is safe only once the first one is burnt, and only its
    # own incarnation can burn it.
    return (
        exchange.ticket_is_own
        and answer.error is not _KINDS.PEER_UNREACHABLE
        and answer.outcome is errors.Outcome.NOT_RUN
    )
