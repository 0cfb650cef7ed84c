"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes that tell a script how a command ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    SUPERSEDED = 5
    UNKNOWN = 6
    STORE_UNAVAILABLE = 7
    NODE_UNREACHABLE = 8
    INCOMPLETE = 9
    NOT_FOUND = 10
    UNAUTHORIZED = 11


MEANINGS_BY_CODE: dict[ExitCode, str] = {
    ExitCode.OK: "Success.",
    ExitCode.FAILED: "An unexpected failure; the message says which.",
    ExitCode.USAGE: "The command line is invalid.",
    ExitCode.INVALID: "A settings or preset file has faults or can't be read.",
    ExitCode.CONFLICT: "Another operator's switch came first; nothing changed.",
    ExitCode.SUPERSEDED: (
        "The switch was accepted, and another one has replaced it since."
    ),
    ExitCode.UNKNOWN: (
        "It is not known whether the change was accepted; run the command "
        "again with the same operation id."
    ),
    ExitCode.STORE_UNAVAILABLE: (
        "The store could not be reached; nothing changed."
    ),
    ExitCode.NODE_UNREACHABLE: "No node answered.",
    ExitCode.INCOMPLETE: (
        "Partial success: some hosts did not answer or did not reach the "
        "expected state in time."
    ),
    ExitCode.NOT_FOUND: "No such preset, host or request.",
    ExitCode.UNAUTHORIZED: "A node or the store refused the token.",
}
