"""Strict reading of INI sections into data classes.

The annotations of the data class carry the accepted ranges. Every problem
names its section, its key and what would have been accepted.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import configparser
import dataclasses
import difflib
import types
import typing

import msgspec
import result

_BOOLEANS_BY_WORD = {
    "yes": True,
    "no": False,
    "true": True,
    "false": False,
    "on": True,
    "off": False,
}
_NO_DEFAULT_SECTION = "\0"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """Something in an INI file that can't be accepted.

    Attributes:
      section: Section of the file, or empty when the file can't be read.
      key: Key in the section, or empty when the section itself is wrong.
      message: One sentence without the place.
    """

    section: str
    key: str
    message: str

    def __str__(self) -> str:
        place = f"[{self.section}] " if self.section else ""
        key = f"{self.key}: " if self.key else ""
        return f"{place}{key}{self.message}"


def parse_sections(
    text: str,
) -> result.Result[dict[str, dict[str, str]], list[Problem]]:
    """Splits INI text into its sections.

    Args:
      text: The file's content.

    Returns:
      The keys and values by section name, or what is wrong with the syntax.
    """
    parser = configparser.ConfigParser(
        default_section=_NO_DEFAULT_SECTION,
        interpolation=None,
        strict=True,
    )
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return result.Err([_syntax_problem(error)])
    sections = {name: dict(parser.items(name)) for name in parser.sections()}
    return result.Ok(sections)


def _syntax_problem(error: configparser.Error) -> Problem:
    match error:
        case configparser.DuplicateOptionError():
            return Problem(
                section=error.section,
                key=error.option,
                message=f"given twice; again on line {error.lineno}",
            )
        case configparser.DuplicateSectionError():
            return Problem(
                section=error.section,
                key="",
                message=f"given twice; again on line {error.lineno}",
            )
        case configparser.MissingSectionHeaderError():
            return Problem(
                section="",
                key="",
                message=f"line {error.lineno} stands before any section",
            )
        case configparser.ParsingError():
            lines = ", ".join(str(number) for number, _ in error.errors)
            return Problem(
                section="",
                key="",
                message=f"line {lines} is neither a section nor a key",
            )
    return Problem(section="", key="", message=str(error).partition("\n")[0])


def suggest_name(word: str, known: Iterable[str]) -> str:
    """Returns advice for an unknown name.

    Args:
      word: The name that was given.
      known: The names that are accepted.
    """
    known = sorted(known)
    close = difflib.get_close_matches(word, known, n=1, cutoff=0.5)
    if close:
        return f"did you mean {close[0]}?"
    return f"accepted are {', '.join(known)}"


def convert_section(
    kind: type,
    section: str,
    values: Mapping[str, str],
    *,
    fixed_values: Mapping[str, object] | None = None,
    field_names_by_key: Mapping[str, str] | None = None,
    secret_keys: frozenset[str] = frozenset(),
) -> result.Result[typing.Any, list[Problem]]:
    """Converts one section to a data class.

    Args:
      kind: The data class.
      section: Name of the section, for the problems.
      values: Values by key as they stand in the file.
      fixed_values: Field values that do not come from the section's keys.
      field_names_by_key: Field names of the keys that are named otherwise.
      secret_keys: Keys whose values are not to be quoted in a problem.

    Returns:
      An instance, or every problem of the section.
    """
    fixed_values = dict(fixed_values or {})
    field_names_by_key = dict(field_names_by_key or {})
    hints = typing.get_type_hints(kind, include_extras=True)
    key_by_field = {field: key for key, field in field_names_by_key.items()}
    fields = {
        key_by_field.get(field.name, field.name): field
        for field in dataclasses.fields(kind)
        if field.name not in fixed_values
    }
    problems: list[Problem] = []
    arguments = fixed_values
    for key, text in values.items():
        if key not in fields:
            message = f"unknown key; {suggest_name(key, fields)}"
            problems.append(Problem(section=section, key=key, message=message))
            continue
        name = fields[key].name
        match convert_value(hints[name], text):
            case result.Ok(value):
                arguments[name] = value
            case result.Err(message):
                if key in secret_keys:
                    message = (
                        f"the value is not {describe_accepted(hints[name])}"
                    )
                problems.append(
                    Problem(section=section, key=key, message=message)
                )
    for key, field in fields.items():
        if _is_required(field) and key not in values:
            message = (
                f"missing; accepted is {describe_accepted(hints[field.name])}"
            )
            problems.append(Problem(section=section, key=key, message=message))
    if problems:
        return result.Err(problems)
    return result.Ok(kind(**arguments))


def _is_required(field: dataclasses.Field) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def convert_value(hint: typing.Any, text: str) -> result.Result:
    """Converts one value.

    Args:
      hint: Annotation of the field.
      text: Value as it stands in the file.

    Returns:
      The value, or a message that quotes the accepted range.
    """
    prepare = _prepare_for(hint)
    try:
        return result.Ok(
            msgspec.convert(prepare(text.strip()), type=hint, strict=False)
        )
    except (msgspec.ValidationError, UnicodeError, KeyError):
        return result.Err(f"{text!r} is not {describe_accepted(hint)}")


def _prepare_for(hint: typing.Any) -> Callable[[str], object]:
    base, _ = _unwrap(hint)
    if base is bool:
        return lambda text: _BOOLEANS_BY_WORD[text.lower()]
    if typing.get_origin(base) is tuple:
        return _split
    return lambda text: text


def _split(text: str) -> list[str]:
    words = (word.strip() for word in text.replace("\n", ",").split(","))
    return [word for word in words if word]


def _unwrap(hint: typing.Any) -> tuple[typing.Any, list[msgspec.Meta]]:
    """Strips ``Annotated`` and ``| None`` off an annotation."""
    metas: list[msgspec.Meta] = []
    while True:
        origin = typing.get_origin(hint)
        if origin is typing.Annotated:
            hint, *extras = typing.get_args(hint)
            metas.extend(m for m in extras if isinstance(m, msgspec.Meta))
        elif origin in (typing.Union, types.UnionType):
            members = [a for a in typing.get_args(hint) if a is not type(None)]
            hint = members[0]
        else:
            return hint, metas


def describe_accepted(hint: typing.Any) -> str:
    """Describes the values that an annotation accepts.

    Args:
      hint: Annotation of a field.
    """
    base, metas = _unwrap(hint)
    if base is bool:
        return "yes or no"
    if typing.get_origin(base) is tuple:
        return "a list separated by commas"
    if base in (int, float):
        noun = "an integer" if base is int else "a number"
        return noun + _range_text(metas)
    return "text" + "".join(_text_limits(metas))


def _range_text(metas: list[msgspec.Meta]) -> str:
    low = next((m.ge for m in metas if m.ge is not None), None)
    high = next((m.le for m in metas if m.le is not None), None)
    if low is not None and high is not None:
        return f" from {low} to {high}"
    if low is not None:
        return f" of at least {low}"
    if high is not None:
        return f" of at most {high}"
    return ""


def _text_limits(metas: list[msgspec.Meta]) -> list[str]:
    limits = []
    for meta in metas:
        if meta.min_length is not None:
            limits.append(f" of at least {meta.min_length} characters")
        if meta.pattern is not None:
            limits.append(f" that matches {meta.pattern}")
    return limits
