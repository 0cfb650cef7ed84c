"""Strict conversion of INI sections to data classes.

The annotations of the data class define the accepted ranges. Each problem
names its section, its key and the accepted values.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import configparser
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
_UNUSED_DEFAULT_SECTION = "\0"


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """An error in an INI file.

    Attributes:
      section: Name of the section, or empty if the file can't be parsed.
      key: Key in the section, or empty if the error is in the section itself.
      message: Description of the error, without section and key.
    """

    section: str
    key: str
    message: str

    def __str__(self) -> str:
        section = f"[{self.section}] " if self.section else ""
        key = f"{self.key}: " if self.key else ""
        return f"{section}{key}{self.message}"


def parse_sections(
    text: str,
) -> result.Result[dict[str, dict[str, str]], list[Problem]]:
    """Parses INI text into its sections.

    Args:
      text: The file's content.

    Returns:
      The values by key by section name, or the syntax error.
    """
    parser = configparser.ConfigParser(
        default_section=_UNUSED_DEFAULT_SECTION,
        interpolation=None,
        strict=True,
    )
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return result.Err([_convert_syntax_error(error)])
    sections = {name: dict(parser.items(name)) for name in parser.sections()}
    return result.Ok(sections)


def _convert_syntax_error(error: configparser.Error) -> Problem:
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
                message=f"line {error.lineno} precedes any section header",
            )
        case configparser.ParsingError():
            lines = ", ".join(str(number) for number, _ in error.errors)
            return Problem(
                section="",
                key="",
                message=f"line {lines} is neither a section header nor a key",
            )
    return Problem(section="", key="", message=str(error).partition("\n")[0])


def suggest_name(name: str, accepted_names: Iterable[str]) -> str:
    """Suggests an accepted name in place of an unknown one.

    Args:
      name: The unknown name.
      accepted_names: The accepted names.

    Returns:
      The closest accepted name as a question, or all accepted names.
    """
    accepted_names = sorted(accepted_names)
    close = difflib.get_close_matches(name, accepted_names, n=1, cutoff=0.5)
    if close:
        return f"did you mean {close[0]}?"
    return f"accepted names are {', '.join(accepted_names)}"


def convert_section(
    section_class: type,
    section: str,
    values: Mapping[str, str],
    *,
    fixed_values: Mapping[str, object] | None = None,
    field_names_by_key: Mapping[str, str] | None = None,
    secret_keys: frozenset[str] = frozenset(),
) -> result.Result[typing.Any, list[Problem]]:
    """Converts a section to an instance of a data class.

    Args:
      section_class: The data class.
      section: Name of the section, used in problems.
      values: Unconverted values by key.
      fixed_values: Values of fields that are not read from the section.
      field_names_by_key: Field names of the keys that differ from them.
      secret_keys: Keys whose values must not be quoted in a problem.

    Returns:
      An instance, or all problems of the section.
    """
    fixed_values = dict(fixed_values or {})
    field_names_by_key = dict(field_names_by_key or {})
    hints = typing.get_type_hints(section_class, include_extras=True)
    key_by_field = {field: key for key, field in field_names_by_key.items()}
    fields = {
        key_by_field.get(field.name, field.name): field
        for field in msgspec.structs.fields(section_class)
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
        if field.required and key not in values:
            message = (
                f"missing; accepted is {describe_accepted(hints[field.name])}"
            )
            problems.append(Problem(section=section, key=key, message=message))
    if problems:
        return result.Err(problems)
    return result.Ok(section_class(**arguments))


def convert_value(hint: typing.Any, text: str) -> result.Result:
    """Converts one value.

    Args:
      hint: Annotation of the field.
      text: Unconverted value.

    Returns:
      The value, or a message that states the accepted values.
    """
    preprocess = _select_preprocessor(hint)
    try:
        return result.Ok(
            msgspec.convert(preprocess(text.strip()), type=hint, strict=False)
        )
    except (msgspec.ValidationError, UnicodeError, KeyError):
        return result.Err(f"{text!r} is not {describe_accepted(hint)}")


def _select_preprocessor(hint: typing.Any) -> Callable[[str], object]:
    base, _ = _unwrap_annotation(hint)
    if base is bool:
        return lambda text: _BOOLEANS_BY_WORD[text.lower()]
    if typing.get_origin(base) is tuple:
        return _split_list
    return lambda text: text


def _split_list(text: str) -> list[str]:
    items = (item.strip() for item in text.replace("\n", ",").split(","))
    return [item for item in items if item]


def _unwrap_annotation(
    hint: typing.Any,
) -> tuple[typing.Any, list[msgspec.Meta]]:
    """Returns the plain type of an annotation and its metadata.

    Strips ``Annotated`` and ``| None``.
    """
    metas: list[msgspec.Meta] = []
    while True:
        origin = typing.get_origin(hint)
        if origin is typing.Annotated:
            hint, *extras = typing.get_args(hint)
            metas.extend(
                extra for extra in extras if isinstance(extra, msgspec.Meta)
            )
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
    base, metas = _unwrap_annotation(hint)
    if base is bool:
        return "yes or no"
    if typing.get_origin(base) is tuple:
        return "a list separated by commas"
    if base in (int, float):
        noun = "an integer" if base is int else "a number"
        return noun + _describe_range(metas)
    return "text" + "".join(_describe_text_constraints(metas))


def _describe_range(metas: list[msgspec.Meta]) -> str:
    low = next((m.ge for m in metas if m.ge is not None), None)
    high = next((m.le for m in metas if m.le is not None), None)
    if low is not None and high is not None:
        return f" from {low} to {high}"
    if low is not None:
        return f" of at least {low}"
    if high is not None:
        return f" of at most {high}"
    return ""


def _describe_text_constraints(metas: list[msgspec.Meta]) -> list[str]:
    constraints = []
    for meta in metas:
        if meta.min_length is not None:
            constraints.append(f" of at least {meta.min_length} characters")
        if meta.pattern is not None:
            constraints.append(f" that matches {meta.pattern}")
    return constraints
