"""Writes the tables of the catalogue pages from the code.

Each table stands between two comment lines of its page:

    <!-- table: events -->
    <!-- end of table -->
"""

from collections.abc import Callable
from collections.abc import Iterator
import pathlib
import re

from bergamotdeal.cli import exit_codes
from bergamotdeal.errors import core as errors
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import log

ROOT = pathlib.Path(__file__).resolve().parent.parent
_TABLE = re.compile(
    r"(?P<start><!-- table: (?P<name>[a-z-]+) -->\n)"
    r".*?"
    r"(?P<end><!-- end of table -->)",
    re.DOTALL,
)


def _event_rows() -> Iterator[tuple[str, ...]]:
    yield "number", "name", "message", "level"
    names_by_level = {level: name for name, level in log.LEVELS_BY_NAME.items()}
    for code in catalogue.EventCode:
        message = catalogue.MESSAGES_BY_CODE[code]
        level = log.LEVELS_BY_CODE.get(code)
        word = names_by_level[level] if level else ""
        yield str(int(code)), f"`{code.name}`", message, word


def _error_rows() -> Iterator[tuple[str, ...]]:
    yield "kind", "status", "outcome", "`Retry-After`", "message"
    for kind, answer in errors.ANSWERS_BY_KIND.items():
        retry = answer.retry_after_s
        yield (
            f"`{kind.value}`",
            str(answer.status),
            f"`{answer.outcome.value}`",
            "" if retry is None else f"{retry} s",
            answer.message,
        )


def _exit_code_rows() -> Iterator[tuple[str, ...]]:
    yield "code", "name", "meaning"
    for code, meaning in exit_codes.MEANINGS_BY_CODE.items():
        yield str(int(code)), f"`{code.name}`", meaning


_ROWS_BY_TABLE: dict[str, Callable[[], Iterator[tuple[str, ...]]]] = {
    "events": _event_rows,
    "errors": _error_rows,
    "exit-codes": _exit_code_rows,
}


def table(name: str) -> str:
    """Returns a table in Markdown.

    Args:
      name: Name of the table.
    """
    head, *rows = _ROWS_BY_TABLE[name]()
    lines = [head, ("---",) * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def with_tables(text: str) -> str:
    """Returns a page with its tables as the code has them.

    Args:
      text: The page.
    """
    return _TABLE.sub(
        lambda found: found["start"] + table(found["name"]) + found["end"],
        text,
    )


def pages() -> Iterator[pathlib.Path]:
    """Yields every page that holds a table."""
    for path in sorted((ROOT / "docs").rglob("*.md")):
        if _TABLE.search(path.read_text(encoding="utf-8")):
            yield path


def main() -> None:
    """Writes all tables."""
    for path in pages():
        text = path.read_text(encoding="utf-8")
        path.write_text(with_tables(text), encoding="utf-8")
        print(path.relative_to(ROOT))


if __name__ == "__main__":
    main()
