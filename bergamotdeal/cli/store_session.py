"""Execution of one store operation inside a command."""

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
"""Coroutine function that takes the store and the reactor."""

_EXIT_CODES_BY_KIND = {
    core.FailureKind.NOT_FOUND: exit_codes.ExitCode.NOT_FOUND,
    core.FailureKind.CONFLICT: exit_codes.ExitCode.CONFLICT,
    core.FailureKind.UNAUTHORIZED: exit_codes.ExitCode.UNAUTHORIZED,
    core.FailureKind.INVALID: exit_codes.ExitCode.FAILED,
}


class OperationInterruptedError(Exception):
    """Interruption of the running store operation by the operator."""


def run(settings: model.StoreSection, operation: Operation) -> Any:
    """Runs an operation in the reactor.

    The reactor can run only once in a process, so a command can run only one
    operation.

    Args:
      settings: Address and token of the store.
      operation: Operation to run.

    Returns:
      The return value of the operation.

    Raises:
      OperationInterruptedError: The operator interrupted the operation.
    """
    # Imported late, so that other commands don't load the reactor.
    from twisted.internet import reactor

    from bergamotdeal.store import http

    results: list[Any] = []

    def start() -> None:
        store = http.HttpStore(settings=settings, reactor=reactor)
        pending = defer.ensureDeferred(operation(store, reactor))
        pending.addBoth(results.append)
        pending.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    match results:
        case []:
            raise OperationInterruptedError
        case [twisted_failure.Failure() as error]:
            error.raiseException()
    return results[0]


def run_or_exit(settings: model.StoreSection, operation: Operation) -> Any:
    """Runs an operation and returns the value of its result.

    Args:
      settings: Address and token of the store.
      operation: Operation to run. It returns a result whose error is a store
        ``Failure``.

    Raises:
      SystemExit: The operation failed or was interrupted.
    """
    try:
        outcome = run(settings, operation)
    except OperationInterruptedError:
        raise files.report_failure(
            exit_codes.ExitCode.UNKNOWN, "interrupted"
        ) from None
    if isinstance(outcome, result.Err):
        raise report_store_failure(outcome.err_value)
    return outcome.ok_value


def get_exit_code(kind: core.FailureKind) -> exit_codes.ExitCode:
    """Returns the exit code for a failure of the store.

    Args:
      kind: Kind of the failure.
    """
    return _EXIT_CODES_BY_KIND.get(kind, exit_codes.ExitCode.STORE_UNAVAILABLE)


def report_store_failure(failure: core.Failure) -> SystemExit:
    """Writes a failure of the store and returns the exception to raise.

    Args:
      failure: Failure of the store operation.
    """
    message = f"store: {failure.kind.value}: {failure.detail}"
    return files.report_failure(get_exit_code(failure.kind), message)
