"""Mapping of run failures to error kinds."""

from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors

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
