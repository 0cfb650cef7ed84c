"""Strict parser of a node's settings in INI format."""

from collections.abc import Iterable
from collections.abc import Mapping
import ipaddress
import typing

import msgspec
import result

from bergamotdeal.settings import model
from bergamotdeal.utils import ini

LOG_LEVELS = ("debug", "info", "warning", "error")

_SECRET_KEYS = frozenset(("key", "token"))
_CLASSES_BY_SECTION = typing.get_type_hints(model.Settings)


def parse(text: str) -> result.Result[model.Settings, list[ini.Problem]]:
    """Parses a settings file.

    Args:
      text: Content of the INI file.

    Returns:
      The settings, or all problems found.
    """
    match ini.parse_sections(text):
        case result.Err(problems):
            return result.Err(problems)
        case result.Ok(values_by_section):
            pass
    problems = _find_missing_sections(values_by_section)
    sections_by_name = {}
    for name, values in values_by_section.items():
        match _parse_section(name, values):
            case result.Ok(section):
                sections_by_name[name] = section
            case result.Err(section_problems):
                problems += section_problems
    if problems:
        return result.Err(problems)
    return result.Ok(model.Settings(**sections_by_name))


def parse_endpoint(text: str) -> result.Result[model.Endpoint, str]:
    """Parses ``address:port``, with an IPv6 address in brackets.

    Args:
      text: The endpoint's text.

    Returns:
      The endpoint, or the reason why the text is not an endpoint.
    """
    address, colon, port = text.rpartition(":")
    if address.startswith("[") and address.endswith("]"):
        address = address[1:-1]
    if not colon or not port.isascii() or not port.isdigit():
        return result.Err(f"{text!r}: expected address:port")
    if not _is_address(address):
        return result.Err(f"{text!r}: expected an IP address before the port")
    if not 1 <= int(port) <= 65_535:
        return result.Err(f"{text!r}: expected a port from 1 to 65535")
    return result.Ok(model.Endpoint(address=address, port=int(port)))


def is_loopback(address: str) -> bool:
    """Returns whether an IP address is a loopback address.

    Args:
      address: A valid IP address.
    """
    return ipaddress.ip_address(address).is_loopback


def _is_address(address: str) -> bool:
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return False
    return True


def _find_missing_sections(names: Iterable[str]) -> list[ini.Problem]:
    return [
        ini.Problem(
            section=field.name, key="", message="the section is missing"
        )
        for field in msgspec.structs.fields(model.Settings)
        if field.required and field.name not in names
    ]


def _parse_section(
    name: str, values: Mapping[str, str]
) -> result.Result[object, list[ini.Problem]]:
    if name not in _CLASSES_BY_SECTION:
        suggestion = ini.suggest_name(name, _CLASSES_BY_SECTION)
        message = f"unknown section; {suggestion}"
        return result.Err([ini.Problem(section=name, key="", message=message)])
    converted = ini.convert_section(
        _CLASSES_BY_SECTION[name], name, values, secret_keys=_SECRET_KEYS
    )
    match converted:
        case result.Ok(section):
            problems = _validate_section(name, section)
            return result.Err(problems) if problems else converted
    return converted


def _validate_section(name: str, section: object) -> list[ini.Problem]:
    """Checks the constraints that annotations can't express."""
    violations = _find_address_violations(section) or _find_section_violations(
        section
    )
    return [
        ini.Problem(section=name, key=key, message=message)
        for key, message in violations
    ]


def _find_address_violations(section: object) -> list[tuple[str, str]]:
    address = getattr(section, "address", None)
    if address is None or _is_address(address):
        return []
    if address == "" and isinstance(
        section, (model.StoreSection, model.StatsdSection)
    ):
        return []
    return [("address", f"{address!r}: expected an IP address")]


def _find_section_violations(section: object) -> list[tuple[str, str]]:
    match section:
        case model.EgressSection(address=address):
            if not is_loopback(address):
                return [
                    ("address", f"{address!r}: expected a loopback address")
                ]
        case model.PeerSection():
            return _find_peer_violations(section)
        case model.AdminSection(address=address, token=""):
            if not is_loopback(address):
                return [
                    (
                        "token",
                        "missing: required unless the address is a loopback "
                        "one",
                    )
                ]
        case model.StoreSection(address=address, port=0):
            if address:
                return [
                    ("port", "missing: expected an integer from 1 to 65535")
                ]
        case model.TelemetrySection(log_level=level):
            if level not in LOG_LEVELS:
                accepted = ", ".join(LOG_LEVELS)
                return [("log_level", f"{level!r}: expected one of {accepted}")]
    return []


def _find_peer_violations(section: model.PeerSection) -> list[tuple[str, str]]:
    violations = []
    if ipaddress.ip_address(section.address).is_unspecified:
        violations.append(
            (
                "address",
                f"{section.address!r}: expected the address that other nodes "
                "connect to",
            )
        )
    for seed in section.seeds:
        match parse_endpoint(seed):
            case result.Err(message):
                violations.append(("seeds", message))
    return violations
