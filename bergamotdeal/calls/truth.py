"""Rules for what an answer may say about the execution of a request.

``not-run`` speaks of the request and not of its last sending. It is true only
when no sending of the request was handed over to a backend server. So only a
first sending may be answered ``not-run``, and only by a node that knows that
it did not hand the request over.
"""

from bergamotdeal.calls import core
from bergamotdeal.errors import core as errors

REFUSALS_WORTH_RESENDING = frozenset(
    {
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.NOT_READY,
        errors.ErrorKind.PEER_UNREACHABLE,
        errors.ErrorKind.SERVER_UNREACHABLE,
        errors.ErrorKind.SERVER_SHED,
    }
)
"""Refusals that concern one server, so that another one may accept."""

LOSSES_WORTH_RESENDING = frozenset(
    {
        errors.ErrorKind.PEER_LOST,
        errors.ErrorKind.SERVER_LOST,
        errors.ErrorKind.SERVER_ANSWER_INVALID,
    }
)
"""Losses after which a repeatable call may be sent to another server."""


def sent_before(call: core.Call) -> bool:
    """Whether an earlier sending of a call's request may have run."""
    return call.may_have_run or call.attempt > 0


def correct(answer: core.Answer, *, may_have_run: bool) -> core.Answer:
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
