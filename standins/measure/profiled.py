"""Runs ``bergamotdeal`` under cProfile and writes its statistics."""

import cProfile
import os
import pathlib
import pstats
import sys

MAX_FUNCTIONS = 10


def main() -> None:
    """Runs the command line under the profiler.

    The first argument is the directory for the statistics, which go into
    ``<process id>.prof``; the others are the arguments of ``bergamotdeal``.
    """
    directory = pathlib.Path(sys.argv.pop(1))
    from bergamotdeal.cli import main as cli

    profile = cProfile.Profile()
    try:
        profile.runcall(cli.main)
    finally:
        profile.dump_stats(directory / f"{os.getpid()}.prof")


def format_top_functions(path: pathlib.Path) -> list[str]:
    """Returns the functions with the most own time, one line each.

    Args:
      path: Statistics file of cProfile.
    """
    stats = pstats.Stats(str(path)).stats
    rows = []
    for (file_name, line, function), row in stats.items():
        if "poll" in function:
            continue  # Idle time in the reactor is not processor time.
        calls, own_s = row[1], row[2]
        name = "/".join(pathlib.Path(file_name).parts[-2:])
        rows.append((own_s, f"{name}:{line} {function}", calls))
    total_s = sum(own_s for own_s, _, _ in rows)
    rows.sort(reverse=True)
    return [
        f"{100 * own_s / total_s:5.1f}% {own_s:7.3f} s {calls:8} calls  {name}"
        for own_s, name, calls in rows[:MAX_FUNCTIONS]
    ]


if __name__ == "__main__":
    main()
