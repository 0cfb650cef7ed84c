"""Generates the tables of the reference pages in ``docs`` from the code.

Each table stands between two comment lines of its page:

    <!-- table: events -->
    <!-- end of table -->
"""

from collections.abc import Callable
from collections.abc import Iterator
import functools
import inspect
import pathlib
import re
import typing

import msgspec

from bergamotdeal.cli import exit_codes
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import log
from bergamotdeal.utils import ini

ROOT = pathlib.Path(__file__).resolve().parent.parent
_TABLE_PATTERN = re.compile(
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
        level_name = names_by_level[level] if level else ""
        yield str(int(code)), f"`{code.name}`", message, level_name


def _error_rows() -> Iterator[tuple[str, ...]]:
    yield "kind", "status", "outcome", "`Retry-After`", "message"
    for kind, answer in errors.ANSWERS_BY_KIND.items():
        retry_after_s = answer.retry_after_s
        yield (
            f"`{kind.value}`",
            str(answer.status),
            f"`{answer.outcome.value}`",
            "" if retry_after_s is None else f"{retry_after_s} s",
            answer.message,
        )


def _exit_code_rows() -> Iterator[tuple[str, ...]]:
    yield "code", "name", "meaning"
    for code, meaning in exit_codes.MEANINGS_BY_CODE.items():
        yield str(int(code)), f"`{code.name}`", meaning


def _section_rows(
    section_class: type, omitted_fields: frozenset[str] = frozenset()
) -> Iterator[tuple[str, ...]]:
    """Yields the header and one row for each key of a preset section.

    Args:
      section_class: Data class of the section.
      omitted_fields: Names of fields that are no keys of the section.
    """
    yield "key", "default", "accepted", "meaning"
    hints_by_name = typing.get_type_hints(section_class, include_extras=True)
    meanings_by_name = _parse_attribute_meanings(section_class)
    for field in msgspec.structs.fields(section_class):
        if field.name in omitted_fields:
            continue
        yield (
            f"`{_KEYS_BY_FIELD.get(field.name, field.name)}`",
            _format_default(field),
            ini.describe_accepted(hints_by_name[field.name]),
            meanings_by_name[field.name],
        )


def _format_default(field: msgspec.structs.FieldInfo) -> str:
    match field.default:
        case msgspec.NODEFAULT:
            return "required"
        case None:
            return "none"
        case bool() as flag:
            return "yes" if flag else "no"
        case tuple() as values:
            return ", ".join(values)
        case value:
            return str(value)


def _parse_attribute_meanings(section_class: type) -> dict[str, str]:
    """Returns the texts of a doc string's ``Attributes`` section by name."""
    attributes = inspect.getdoc(section_class).partition("Attributes:\n")[2]
    unwrapped = re.sub(r"\n {4,}", " ", attributes)
    return dict(re.findall(r"^ *([a-z_]+): (.*)$", unwrapped, re.MULTILINE))


_KEYS_BY_FIELD = {"class_name": "class"}
_NESTED_PRESET_FIELDS = frozenset(
    (
        "services_by_name",
        "routes",
        "host_routes",
        "organisations",
        "quotas",
        "limits",
        "retries",
        "admission",
        "routing",
        "quarantine",
        "tickets",
    )
)
_ROUTE_HEADER_FIELDS = frozenset(("service", "method", "prefix"))
_HOST_ROUTE_HEADER_FIELDS = frozenset(
    ("name", "host", "prefix", "destinations")
)

_ROWS_BY_TABLE: dict[str, Callable[[], Iterator[tuple[str, ...]]]] = {
    "events": _event_rows,
    "errors": _error_rows,
    "exit-codes": _exit_code_rows,
    "preset": functools.partial(
        _section_rows, model.Preset, _NESTED_PRESET_FIELDS
    ),
    "service": functools.partial(_section_rows, model.ServicePolicy),
    "route": functools.partial(
        _section_rows, model.Route, _ROUTE_HEADER_FIELDS
    ),
    "host-route": functools.partial(
        _section_rows, model.HostRoute, _HOST_ROUTE_HEADER_FIELDS
    ),
    "organisation": functools.partial(
        _section_rows, model.Organisation, frozenset(("name",))
    ),
    "limits": functools.partial(_section_rows, model.RequestLimits),
    "quotas": functools.partial(_section_rows, model.QuotaPolicy),
    "retries": functools.partial(_section_rows, model.RetryPolicy),
    "admission": functools.partial(_section_rows, model.AdmissionPolicy),
    "routing": functools.partial(_section_rows, model.RoutingPolicy),
    "quarantine": functools.partial(_section_rows, model.QuarantinePolicy),
    "tickets": functools.partial(_section_rows, model.TicketPolicy),
}


def render_table(name: str) -> str:
    """Renders a table as Markdown.

    Args:
      name: Name of the table.
    """
    header, *rows = _ROWS_BY_TABLE[name]()
    lines = [header, ("---",) * len(header), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def update_tables(text: str) -> str:
    """Returns a page with its tables generated anew.

    Args:
      text: Content of the page.
    """
    return _TABLE_PATTERN.sub(
        lambda match: (
            match["start"] + render_table(match["name"]) + match["end"]
        ),
        text,
    )


def find_pages() -> Iterator[pathlib.Path]:
    """Yields the path of every page with a generated table."""
    for path in sorted((ROOT / "docs").rglob("*.md")):
        if _TABLE_PATTERN.search(path.read_text(encoding="utf-8")):
            yield path


def main() -> None:
    """Writes all tables and prints the paths of their pages."""
    for path in find_pages():
        text = path.read_text(encoding="utf-8")
        path.write_text(update_tables(text), encoding="utf-8")
        print(path.relative_to(ROOT))


if __name__ == "__main__":
    main()
