"""Decoding of JSON that another writer may have malformed.

``msgspec`` rejects a document as a whole, also for a part that the caller
would skip, such as one nested too deeply. ``decode_items`` isolates the items
of a list, so that a malformed one does not hide the others.
"""

from collections.abc import Callable
from collections.abc import Iterable
import re
import typing

import msgspec
import result

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"', re.DOTALL)
# Skips text and strings up to a string with a character of the structure.
_STRUCTURAL_STRING = re.compile(
    rb'(?:[^"]++|"(?:[^"\\[\]{},]|\\[^[\]{},])*+")*+("(?:[^"\\]|\\.)*+")',
    re.DOTALL,
)
_SEPARATOR = re.compile(rb"[][{},]")
_CLOSING_RUN = re.compile(rb"[]}][]}\s]*+")
_NOT_FOUND = -1

_Decoded = typing.TypeVar("_Decoded")


def decode(
    data: bytes | msgspec.Raw, schema: type[_Decoded]
) -> result.Result[_Decoded, str]:
    """Decodes and validates a JSON document.

    Args:
      data: The document.
      schema: Type to decode it into.

    Returns:
      The decoded value, or why the document is malformed.
    """
    try:
        return result.Ok(msgspec.json.decode(data, type=schema))
    except (ValueError, RecursionError, OverflowError) as error:
        return result.Err(str(error))


def decode_items(
    data: bytes, schema: type[_Decoded], field: str
) -> result.Result[_Decoded, str]:
    """Decodes a document with a list whose items may be malformed.

    Args:
      data: The document, a JSON object.
      schema: Struct type with a tuple of ``msgspec.Raw`` under ``field``.
      field: Name of the list, the same in the document and in the struct.

    Returns:
      The decoded value, in which each item is still to be decoded, or why the
      rest of the document is malformed.
    """
    decoded = decode(data, schema)
    if isinstance(decoded, result.Ok):
        return decoded
    members_by_name = split_object(data)
    items = _split(members_by_name.pop(field, b""), b"[", b"]")
    if not items:
        return decoded
    rest = b",".join(
        b"%s:%s" % (msgspec.json.encode(name), value)
        for name, value in members_by_name.items()
    )
    return decode(b"{%s}" % rest, schema).map(
        lambda found: msgspec.structs.replace(
            found, **{field: tuple(map(msgspec.Raw, items))}
        )
    )


def decode_each(
    items: Iterable[msgspec.Raw],
    schema: type[_Decoded],
    on_malformed: Callable[[msgspec.Raw, str], None],
) -> tuple[_Decoded, ...]:
    """Decodes the items of a list, skipping malformed ones.

    Args:
      items: The encoded items.
      schema: Type to decode each of them into.
      on_malformed: Called with each malformed item and what is wrong with it.

    Returns:
      The decoded items.
    """
    found = []
    for item in items:
        match decode(item, schema):
            case result.Ok(decoded):
                found.append(decoded)
            case result.Err(reason):
                on_malformed(item, reason)
    return tuple(found)


def find_text(data: bytes | msgspec.Raw, *path: str) -> str:
    """Returns a string of a JSON document that may be malformed elsewhere.

    Args:
      data: The document.
      *path: Names of the members that lead to the string.

    Returns:
      The string, or an empty one if there is none.
    """
    value = bytes(data)
    for name in path:
        value = split_object(value).get(name, b"")
    return decode(value, str).unwrap_or("")


def split_object(data: bytes) -> dict[str, bytes]:
    """Returns the members of a JSON object without decoding their values.

    Args:
      data: The object.

    Returns:
      The encoded values by name; none if the data is not an object. Members
      with a malformed name are left out.
    """
    members_by_name = {}
    for member in _split(data, b"{", b"}"):
        token = _STRING.match(member)
        if token is None:
            continue
        name = decode(token.group(), str)
        before, _, value = member[token.end() :].partition(b":")
        if isinstance(name, result.Ok) and not before.strip():
            members_by_name[name.ok_value] = value.strip()
    return members_by_name


def _split(data: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    """Splits an array or object at its commas, without recursion.

    Args:
      data: The encoded array or object.
      opening: Its first character.
      closing: Its last character.

    Returns:
      The parts, or none if the data is not complete.
    """
    data = data.strip()
    if not (data.startswith(opening) and data.endswith(closing)):
        return []
    text = _blank_structural_strings(data)
    parts, start, position = [], 1, 1
    while (token := _SEPARATOR.search(text, position)) is not None:
        match token.group():
            case b",":
                parts.append(data[start : token.start()].strip())
                start = position = token.end()
            case b"]" | b"}":
                if token.end() < len(data):
                    return []
                last = data[start:-1].strip()
                return [*parts, last] if parts or last else []
            case _:
                position = _find_end(text, token.start())
                if position == _NOT_FOUND:
                    return []
    return []


def _blank_structural_strings(data: bytes) -> bytes:
    """Blanks the strings that contain brackets, braces or commas."""
    blanked, position = bytearray(data), 0
    while found := _STRUCTURAL_STRING.match(data, position):
        start, position = found.span(1)
        blanked[start:position] = b" " * (position - start)
    return bytes(blanked)


def _find_end(text: bytes, position: int) -> int:
    """Returns the position after the end of a nested array or object.

    Runs of closing brackets are handled at once, as a value may be nested
    100,000 deep.

    Args:
      text: Text whose strings contain no brackets.
      position: Position of the opening bracket.
    """
    depth = 0
    while (run := _CLOSING_RUN.search(text, position)) is not None:
        depth += text.count(b"[", position, run.start())
        depth += text.count(b"{", position, run.start())
        closings = run.group().count(b"]") + run.group().count(b"}")
        if closings < depth:
            depth -= closings
            position = run.end()
            continue
        for offset in range(run.start(), run.end()):
            depth -= text[offset] in b"]}"
            if depth == 0:
                return offset + 1
    return _NOT_FOUND
