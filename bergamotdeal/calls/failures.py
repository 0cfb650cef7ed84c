"""Error kinds and answers for runs that end without an answer."""

from bergamotdeal.calls import messages
from bergamotdeal.calls import runs
from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core as rpc

_KINDS = errors.ErrorKind

NOT_RUN_FAILURES = frozenset(
    {
        messages.RunFailure.UNREACHABLE,
        messages.RunFailure.SHED,
        messages.RunFailure.MISDIRECTED,
    }
)
"""Failures after which the request is known not to have run."""

KINDS_BY_FAILURE = {
    messages.RunFailure.UNREACHABLE: _KINDS.SERVER_UNREACHABLE,
    messages.RunFailure.LOST: _KINDS.SERVER_LOST,
    messages.RunFailure.SHED: _KINDS.SERVER_SHED,
    messages.RunFailure.MISDIRECTED: _KINDS.SERVER_UNREACHABLE,
    messages.RunFailure.TIMED_OUT: _KINDS.DEADLINE_EXCEEDED,
    messages.RunFailure.HUNG: _KINDS.SERVER_LOST,
    messages.RunFailure.INVALID: _KINDS.SERVER_ANSWER_INVALID,
    messages.RunFailure.TOO_LARGE: _KINDS.ANSWER_TOO_LARGE,
}


def build_deadline_answer(run: runs.Run) -> rpc.Answer:
    """Builds the answer to a call whose deadline has passed.

    Args:
      run: Run of the call, before its phase changes.
    """
    return rpc.build_error_answer(
        _KINDS.DEADLINE_EXCEEDED,
        may_have_run=run.may_have_run,
        is_unsent=run.is_unsent,
    )
