"""Splitting of presets into sections, so that nodes pull only what changed.

The routes of each service are a section of their own. In a fleet with many
services, a switch that changes one service transfers only that section. The
host routes and the organisations, of which there may be thousands, are split
into chunks that end at items with certain names. An item that is added, changed
or removed alters only its own chunk, and the order is kept.

Nodes that know only whole fields are answered with these; see ``CHUNKS_MARK``.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import typing
import zlib

import msgspec
import result

from bergamotdeal.membership import messages
from bergamotdeal.presets import codec
from bergamotdeal.presets import model
from bergamotdeal.presets import parser
from bergamotdeal.utils import json_data

_HEADER = "header"
_SERVICES = "services"
_ROUTES_PREFIX = "routes/"
_POLICY_FIELDS = (
    "retries",
    "admission",
    "routing",
    "quarantine",
    "tickets",
    "limits",
    "host_routes",
    "organisations",
    "quotas",
)
_CHUNKED_FIELDS = ("host_routes", "organisations")
_CHUNK_SEPARATOR = "/"
_MEAN_CHUNK_ITEMS = 64
_MAX_CHUNK_ITEMS = 256

CHUNKS_MARK = codec.digest(b"sections in chunks")
"""Digest that a node adds to those that it knows if it can join chunks. It is
the digest of no section, so that other nodes ignore it."""

_SPLIT_FIELDS = ("services_by_name", "routes", *_POLICY_FIELDS)


def split(
    preset: model.Preset, *, in_chunks: bool = True
) -> tuple[messages.Section, ...]:
    """Splits a preset into its sections.

    Args:
      preset: The preset.
      in_chunks: Whether to split long fields into chunks.

    Returns:
      All sections with their content, in a fixed order.
    """
    header = {
        field.name: getattr(preset, field.name)
        for field in msgspec.structs.fields(preset)
        if field.name not in _SPLIT_FIELDS
    }
    sections = [_section(_HEADER, header)]
    for name in _POLICY_FIELDS:
        value = getattr(preset, name)
        if not (in_chunks and name in _CHUNKED_FIELDS):
            sections.append(_section(name, value))
            continue
        for index, chunk in enumerate(_split_items(value)):
            chunk_name = f"{name}{_CHUNK_SEPARATOR}{index}"
            sections.append(_section(chunk_name, chunk))
    sections.append(_section(_SERVICES, preset.services_by_name))
    routes_by_service: dict[str, list[model.Route]] = {}
    for route in preset.routes:
        routes_by_service.setdefault(route.service, []).append(route)
    for service, routes in sorted(routes_by_service.items()):
        sections.append(_section(_ROUTES_PREFIX + service, routes))
    return tuple(sections)


def _split_items(items: Sequence) -> Iterator[Sequence]:
    """Yields the chunks of a sequence of named items."""
    start = 0
    for end, item in enumerate(items, 1):
        is_boundary = not zlib.crc32(item.name.encode()) % _MEAN_CHUNK_ITEMS
        if is_boundary or end - start >= _MAX_CHUNK_ITEMS:
            yield items[start:end]
            start = end
    if start < len(items):
        yield items[start:]


def _section(name: str, value: typing.Any) -> messages.Section:
    content = msgspec.json.encode(value, order="sorted")
    return messages.Section(
        name=name, digest=codec.digest(content), content=content
    )


def omit_known_content(
    sections: tuple[messages.Section, ...], known_digests: frozenset[bytes]
) -> tuple[messages.Section, ...]:
    """Removes the content of the sections that the requester already has.

    Args:
      sections: All sections.
      known_digests: Digests of the requester's sections.
    """
    return tuple(
        msgspec.structs.replace(section, content=None)
        if section.digest in known_digests
        else section
        for section in sections
    )


def join(
    sections: tuple[messages.Section, ...],
    known: tuple[messages.Section, ...],
) -> result.Result[model.Preset, str]:
    """Reassembles and validates a preset from its sections.

    Args:
      sections: Sections of another node; the content of those that this node
        already has may be omitted.
      known: This node's sections.

    Returns:
      The preset, or the reason why the sections are not valid.
    """
    contents_by_digest = {s.digest: s.content for s in known}
    fields: dict[str, typing.Any] = {"routes": []}
    for section in sections:
        content = section.content
        if content is None:
            content = contents_by_digest.get(section.digest)
        if content is None:
            return result.Err(f"section {section.name} is missing")
        if codec.digest(content) != section.digest:
            return result.Err(f"section {section.name} does not match")
        decoded = json_data.decode(content, typing.Any)
        if isinstance(decoded, result.Err):
            return result.Err(f"section {section.name}: {decoded.err_value}")
        try:
            _add_fields(fields, section.name, decoded.ok_value)
        except (ValueError, TypeError) as error:
            return result.Err(f"section {section.name}: {error}")
    try:
        preset = msgspec.convert(fields, type=model.Preset)
    except msgspec.ValidationError as error:
        return result.Err(str(error))
    problems = parser.validate(preset)
    if problems:
        return result.Err("; ".join(str(problem) for problem in problems))
    return result.Ok(preset)


def _add_fields(
    fields: dict[str, typing.Any], name: str, value: typing.Any
) -> None:
    if name == _HEADER:
        fields.update(value)
    elif name == _SERVICES:
        fields["services_by_name"] = value
    elif name.startswith(_ROUTES_PREFIX):
        fields["routes"].extend(value)
    elif _CHUNK_SEPARATOR in name:
        field = name.partition(_CHUNK_SEPARATOR)[0]
        fields.setdefault(field, []).extend(value)
    else:
        fields[name] = value
