"""Writes the tables of the catalogue pages from the code.

Each table stands between two comment lines of its page:

    <!-- table: events -->
    <!-- end of table -->
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import functools
import inspect
import pathlib
import re
import typing

from bergamotdeal.cli import exit_codes
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import log
from bergamotdeal.utils import ini

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


def _section_rows(
    kind: type, omitted: frozenset[str] = frozenset()
) -> Iterator[tuple[str, ...]]:
    """Yields the keys of one section of a preset file."""
    yield "key", "default", "accepted", "meaning"
    hints_by_name = typing.get_type_hints(kind, include_extras=True)
    meanings_by_name = _attribute_meanings(kind)
    for field in dataclasses.fields(kind):
        if field.name in omitted:
            continue
        yield (
            f"`{_KEYS_BY_FIELD.get(field.name, field.name)}`",
            _default_text(field),
            ini.describe_accepted(hints_by_name[field.name]),
            meanings_by_name[field.name],
        )


def _default_text(field: dataclasses.Field) -> str:
    match field.default:
        case dataclasses.MISSING:
            return "required"
        case None:
            return "none"
        case bool() as flag:
            return "yes" if flag else "no"
        case tuple() as values:
            return ", ".join(values)
        case value:
            return str(value)


def _attribute_meanings(kind: type) -> dict[str, str]:
    """Reads the ``Attributes`` part of a class's docstring."""
    attributes = inspect.getdoc(kind).partition("Attributes:\n")[2]
    joined = re.sub(r"\n {4,}", " ", attributes)
    return dict(re.findall(r"^ *([a-z_]+): (.*)$", joined, re.MULTILINE))


_KEYS_BY_FIELD = {"class_name": "class"}
_CUT_FROM_PRESET = frozenset(
    (
        "services_by_name",
        "routes",
        "host_routes",
        "limits",
        "retries",
        "admission",
        "routing",
        "quarantine",
        "tickets",
    )
)
_IN_ROUTE_HEADER = frozenset(("service", "method", "prefix"))
_IN_HOST_ROUTE_HEADER = frozenset(("name", "host", "prefix", "destinations"))

_ROWS_BY_TABLE: dict[str, Callable[[], Iterator[tuple[str, ...]]]] = {
    "events": _event_rows,
    "errors": _error_rows,
    "exit-codes": _exit_code_rows,
    "preset": functools.partial(_section_rows, model.Preset, _CUT_FROM_PRESET),
    "service": functools.partial(_section_rows, model.ServicePolicy),
    "route": functools.partial(_section_rows, model.Route, _IN_ROUTE_HEADER),
    "host-route": functools.partial(
        _section_rows, model.HostRoute, _IN_HOST_ROUTE_HEADER
    ),
    "limits": functools.partial(_section_rows, model.RequestLimits),
    "retries": functools.partial(_section_rows, model.RetryPolicy),
    "admission": functools.partial(_section_rows, model.AdmissionPolicy),
    "routing": functools.partial(_section_rows, model.RoutingPolicy),
    "quarantine": functools.partial(_section_rows, model.QuarantinePolicy),
    "tickets": functools.partial(_section_rows, model.TicketPolicy),
}


def render_table(name: str) -> str:
    """Returns a table in Markdown.

    Args:
      name: Name of the table.
    """
    head, *rows = _ROWS_BY_TABLE[name]()
    lines = [head, ("---",) * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def update_tables(text: str) -> str:
    """Returns a page with its tables as the code has them.

    Args:
      text: The page.
    """
    return _TABLE.sub(
        lambda found: (
            found["start"] + render_table(found["name"]) + found["end"]
        ),
        text,
    )


def find_pages() -> Iterator[pathlib.Path]:
    """Yields every page that holds a table."""
    for path in sorted((ROOT / "docs").rglob("*.md")):
        if _TABLE.search(path.read_text(encoding="utf-8")):
            yield path


def main() -> None:
    """Writes all tables."""
    for path in find_pages():
        text = path.read_text(encoding="utf-8")
        path.write_text(update_tables(text), encoding="utf-8")
        print(path.relative_to(ROOT))


if __name__ == "__main__":
    main()
