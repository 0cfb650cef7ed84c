"""Runs one operation on the store inside a command."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import result
from twisted.internet import defer
from twisted.python import failure as twisted_failure

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import files
from bergamotdeal.settings import model
from bergamotdeal.store import core

Operation = Callable[[core.Store, Any], Coroutine[Any, Any, Any]]
"""Takes the store and the reactor."""

_EXIT_CODES_BY_KIND = {
    core.FailureKind.NOT_FOUND: exit_codes.ExitCode.NOT_FOUND,
    core.FailureKind.CONFLICT: exit_codes.ExitCode.CONFLICT,
    core.FailureKind.UNAUTHORIZED: exit_codes.ExitCode.UNAUTHORIZED,
    core.FailureKind.INVALID: exit_codes.ExitCode.FAILED,
}


class InterruptedSessionError(Exception):
    """The operator interrupted the operation."""


def run(settings: model.StoreSection, operation: Operation) -> Any:
    """Runs an operation in the reactor.

    The reactor can run once in a process, so a command has one session.

    Args:
      settings: Where the store is.
      operation: What to do.

    Returns:
      What the operation returned.

    Raises:
      InterruptedSessionError: The operator interrupted the operation.
    """
    # The reactor loads here, not with every command.
    from twisted.internet import reactor

    from bergamotdeal.store import http

    outcomes: list[Any] = []

    def start() -> None:
        store = http.HttpStore(settings=settings, reactor=reactor)
        running = defer.ensureDeferred(operation(store, reactor))
        running.addBoth(outcomes.append)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    match outcomes:
        case []:
            raise InterruptedSessionError
        case [twisted_failure.Failure() as failed]:
            failed.raiseException()
    return outcomes[0]


def ask(settings: model.StoreSection, operation: Operation) -> Any:
    """Runs an operation and returns its value, or ends the command.

    Args:
      settings: Where the store is.
      operation: What to do; it returns a result with a store ``Failure``.
    """
    try:
        answer = run(settings, operation)
    except InterruptedSessionError:
        raise files.failure(
            exit_codes.ExitCode.UNKNOWN, "interrupted"
        ) from None
    if isinstance(answer, result.Err):
        raise store_failure(answer.err_value)
    return answer.ok_value


def exit_code_of(kind: core.FailureKind) -> exit_codes.ExitCode:
    """Returns the exit code for a failure of the store.

    Args:
      kind: The failure's kind.
    """
    return _EXIT_CODES_BY_KIND.get(kind, exit_codes.ExitCode.STORE_UNAVAILABLE)


def store_failure(failure: core.Failure) -> SystemExit:
    """Reports a failure of the store; returns the exception to raise.

    Args:
      failure: What the store call ended with.
    """
    message = f"store: {failure.kind.value}: {failure.detail}"
    return files.failure(exit_code_of(failure.kind), message)
