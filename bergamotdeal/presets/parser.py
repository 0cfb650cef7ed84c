"""Parser and writer of presets in INI format.

    [preset]
    name = ordinary
    classes = critical, browse

    [service kitview]
    shed_status = 503

    [route kitview GET /kits]
    class = browse
    repeatable = yes

    [host-route kits kits.example /kits/]
    destinations = kitview:90, orderline:10

    [organisation harbour works]
    key_digests = 0c5f27cbaba4ebd3ca06a07c5cc5b3a1
    rate_per_s = 40

The sections ``[retries]``, ``[admission]``, ``[routing]``, ``[quarantine]``,
``[tickets]``, ``[limits]`` and ``[quotas]`` contain the fields of the model's
policies.
"""

from collections.abc import Mapping
import functools
import math
import re
import typing

import msgspec
import result

from bergamotdeal.presets import model
from bergamotdeal.presets import organisations
from bergamotdeal.utils import ini

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9._-]{0,63}$")
_PLAIN_WORD = re.compile(r"[A-Za-z0-9._-]+")
_PLAIN_HOST = re.compile(r"[a-z0-9._-]+")
_PLAIN_PREFIX = re.compile(r"/[A-Za-z0-9._~/-]*")
_NAME_CACHE_SIZE = 256
_METHOD_PATTERN = re.compile(r"^(\*|[A-Z]{1,16})$")

_POLICY_BY_SECTION = {
    "retries": model.RetryPolicy,
    "admission": model.AdmissionPolicy,
    "routing": model.RoutingPolicy,
    "quarantine": model.QuarantinePolicy,
    "tickets": model.TicketPolicy,
    "limits": model.RequestLimits,
    "quotas": model.QuotaPolicy,
}
_SECTION_FIELDS = (
    "services_by_name",
    "routes",
    "host_routes",
    "organisations",
    *_POLICY_BY_SECTION,
)
_DESTINATIONS_KEY = "destinations"
_MIN_QUOTA_WINDOW_MS = 1000
"""Tokens live at least 250 ms, which a shorter window would mostly be."""

_ROUTE_FIELD_BY_KEY = {"class": "class_name"}


class _Draft(msgspec.Struct, kw_only=True):
    """The parts and problems of a preset that is being parsed."""

    header: Mapping[str, str] | None = None
    services_by_name: dict[str, model.ServicePolicy] = msgspec.field(
        default_factory=dict
    )
    routes_by_match: dict[tuple[str, str, str], model.Route] = msgspec.field(
        default_factory=dict
    )
    host_routes_by_name: dict[str, model.HostRoute] = msgspec.field(
        default_factory=dict
    )
    organisations_by_name: dict[str, model.Organisation] = msgspec.field(
        default_factory=dict
    )
    policies_by_section: dict[str, typing.Any] = msgspec.field(
        default_factory=dict
    )
    problems: list[ini.Problem] = msgspec.field(default_factory=list)

    def report(self, section: str, key: str, message: str) -> None:
        self.problems.append(
            ini.Problem(section=section, key=key, message=message)
        )


def parse(text: str) -> result.Result[model.Preset, list[ini.Problem]]:
    """Parses the INI text of a preset.

    Args:
      text: Content of the file.

    Returns:
      The preset, or all problems found in the text.
    """
    match ini.parse_sections(text):
        case result.Err(problems):
            return result.Err(problems)
        case result.Ok(sections):
            pass
    draft = _Draft()
    for section, values in sections.items():
        _read_section(draft, section, values)
    preset = _build_preset(draft)
    if preset is not None:
        draft.problems.extend(validate(preset))
    if draft.problems:
        return result.Err(draft.problems)
    return result.Ok(preset)


def _read_section(
    draft: _Draft, section: str, values: Mapping[str, str]
) -> None:
    match section.split():
        case ["preset"]:
            draft.header = values
        case [name] if name in _POLICY_BY_SECTION:
            policy = _convert(draft, _POLICY_BY_SECTION[name], section, values)
            draft.policies_by_section[name] = policy
        case ["service", name]:
            _read_service(draft, section, name, values)
        case ["route", service, method, prefix]:
            _read_route(draft, section, (service, method, prefix), values)
        case ["host-route", name, host, prefix]:
            _read_host_route(draft, section, (name, host, prefix), values)
        case ["organisation", word, *words]:
            _read_organisation(draft, section, " ".join((word, *words)), values)
        case ["host-route", *_]:
            draft.report(
                section, "", "accepted is [host-route NAME HOST /PREFIX/]"
            )
        case ["service", *_]:
            draft.report(section, "", "accepted is [service NAME]")
        case ["route", *_]:
            draft.report(
                section, "", "accepted is [route SERVICE METHOD /PREFIX]"
            )
        case words:
            known = [
                "preset",
                "service NAME",
                "route SERVICE METHOD /PREFIX",
                "host-route NAME HOST /PREFIX/",
                "organisation NAME",
            ]
            known.extend(_POLICY_BY_SECTION)
            advice = ini.suggest_name(" ".join(words), known)
            draft.report(section, "", f"unknown section; {advice}")


def _convert(
    draft: _Draft,
    kind: type,
    section: str,
    values: Mapping[str, str],
    **options,
) -> typing.Any:
    match ini.convert_section(kind, section, values, **options):
        case result.Ok(value):
            return value
        case result.Err(problems):
            draft.problems.extend(problems)
    return None


def _read_service(
    draft: _Draft, section: str, name: str, values: Mapping[str, str]
) -> None:
    if name in draft.services_by_name:
        draft.report(section, "", "given twice")
    policy = _convert(draft, model.ServicePolicy, section, values)
    if policy is not None:
        draft.services_by_name[name] = policy


def _read_route(
    draft: _Draft,
    section: str,
    route_key: tuple[str, str, str],
    values: Mapping[str, str],
) -> None:
    if route_key in draft.routes_by_match:
        draft.report(section, "", "given twice")
    service, method, prefix = route_key
    route = _convert(
        draft,
        model.Route,
        section,
        values,
        fixed_values={"service": service, "method": method, "prefix": prefix},
        field_names_by_key=_ROUTE_FIELD_BY_KEY,
    )
    if route is not None:
        draft.routes_by_match[route_key] = route


def _read_host_route(
    draft: _Draft,
    section: str,
    route_key: tuple[str, str, str],
    values: Mapping[str, str],
) -> None:
    name, host, prefix = route_key
    if name in draft.host_routes_by_name:
        draft.report(section, "", "given twice")
    rest = dict(values)
    destinations = _read_destinations(rest.pop(_DESTINATIONS_KEY, ""))
    if destinations is None:
        draft.report(
            section,
            _DESTINATIONS_KEY,
            "accepted is SERVICE:WEIGHT, separated by commas",
        )
        return
    route = _convert(
        draft,
        model.HostRoute,
        section,
        rest,
        fixed_values={
            "name": name,
            "host": host,
            "prefix": prefix,
            "destinations": destinations,
        },
        field_names_by_key=_ROUTE_FIELD_BY_KEY,
    )
    if route is not None:
        draft.host_routes_by_name[name] = route


def _read_organisation(
    draft: _Draft, section: str, name: str, values: Mapping[str, str]
) -> None:
    if name in draft.organisations_by_name:
        draft.report(section, "", "given twice")
    organisation = _convert(
        draft,
        model.Organisation,
        section,
        values,
        fixed_values={"name": name},
        field_names_by_key=_ROUTE_FIELD_BY_KEY,
    )
    if organisation is not None:
        draft.organisations_by_name[name] = organisation


def _read_destinations(text: str) -> tuple[model.Destination, ...] | None:
    destinations = []
    for word in text.split(","):
        service, colon, weight = word.strip().partition(":")
        try:
            number = float(weight) if colon else 1.0
        except ValueError:
            return None
        if not service or not 0 <= number < math.inf:
            return None
        destinations.append(model.Destination(service=service, weight=number))
    return tuple(destinations)


def _build_preset(draft: _Draft) -> model.Preset | None:
    if draft.header is None:
        draft.report("preset", "", "missing; it names the preset")
        return None
    given = {
        "services_by_name": draft.services_by_name,
        "routes": tuple(draft.routes_by_match.values()),
        "host_routes": tuple(draft.host_routes_by_name.values()),
        "organisations": tuple(draft.organisations_by_name.values()),
    }
    for section, kind in _POLICY_BY_SECTION.items():
        given[section] = draft.policies_by_section.get(section) or kind()
    return _convert(
        draft, model.Preset, "preset", draft.header, fixed_values=given
    )


def validate(preset: model.Preset) -> list[ini.Problem]:
    """Validates the rules that the types of the fields can't express.

    Args:
      preset: Preset from a file, the store or another node.

    Returns:
      All problems; an empty list if the preset is valid.
    """
    problems = _check_header(preset)
    for name in preset.services_by_name:
        if not NAME_PATTERN.match(name):
            problems.append(
                ini.Problem(
                    section=f"service {name}",
                    key="",
                    message=f"the name must match {NAME_PATTERN.pattern}",
                )
            )
    for route in preset.routes:
        problems.extend(_check_route(preset, route))
    classes = frozenset(preset.classes)
    for host_route in preset.host_routes:
        if not _is_plain_host_route(host_route, classes):
            problems.extend(_check_host_route(preset, host_route))
    problems.extend(organisations.find_problems(preset))
    admission = preset.admission
    if admission.window_min_ms > admission.window_max_ms:
        problems.append(
            ini.Problem(
                section="admission",
                key="window_min_ms",
                message="must not be above window_max_ms",
            )
        )
    if preset.quotas.window_ms < _MIN_QUOTA_WINDOW_MS:
        problems.append(
            ini.Problem(
                section="quotas",
                key="window_ms",
                message=f"must be at least {_MIN_QUOTA_WINDOW_MS}",
            )
        )
    return problems


def _check_header(preset: model.Preset) -> list[ini.Problem]:
    problems = []

    def report(key: str, message: str) -> None:
        problems.append(ini.Problem(section="preset", key=key, message=message))

    if not NAME_PATTERN.match(preset.name):
        report("name", f"{preset.name!r} must match {NAME_PATTERN.pattern}")
    if not preset.classes:
        report("classes", "at least one class is needed")
    if len(set(preset.classes)) != len(preset.classes):
        report("classes", "a class is given twice")
    for class_name in preset.classes:
        if not NAME_PATTERN.match(class_name):
            report(
                "classes", f"{class_name!r} must match {NAME_PATTERN.pattern}"
            )
    return problems


def _check_route(preset: model.Preset, route: model.Route) -> list[ini.Problem]:
    problems = []
    section = format_route_section(route)

    def report(key: str, message: str) -> None:
        problems.append(ini.Problem(section=section, key=key, message=message))

    if not NAME_PATTERN.match(route.service):
        report("", f"the service must match {NAME_PATTERN.pattern}")
    if not _METHOD_PATTERN.match(route.method):
        report("", "the method must be in capitals, or * for any")
    if not route.prefix.startswith("/") or "?" in route.prefix:
        report("", "the prefix must start with / and contain no query")
    if route.class_name not in preset.classes:
        advice = ini.suggest_name(route.class_name, preset.classes)
        report("class", f"unknown class {route.class_name!r}; {advice}")
    return problems


def _is_plain_host_route(
    route: model.HostRoute, classes: frozenset[str]
) -> bool:
    """Returns whether a host route is of a usual form, which is valid.

    This spares most of the thousands of routes of a large preset the slower
    checks, for which the event loop would wait.
    """
    return bool(
        _PLAIN_WORD.fullmatch(route.name)
        and _PLAIN_HOST.fullmatch(route.host)
        and _PLAIN_PREFIX.fullmatch(route.prefix)
        and route.class_name in classes
        and route.destinations[0].weight > 0
        and all(_is_service_name(d.service) for d in route.destinations)
    )


@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def _is_service_name(name: str) -> bool:
    return bool(NAME_PATTERN.match(name))


def _check_host_route(
    preset: model.Preset, route: model.HostRoute
) -> list[ini.Problem]:
    problems = []
    section = _host_route_section(route)

    def report(key: str, message: str) -> None:
        problems.append(ini.Problem(section=section, key=key, message=message))

    if not route.name or len(f"{route.name} {route.host}".split()) != 2:
        report("", "name and host must each be a single word")
    if route.host != route.host.lower():
        report("", "the host must be in lower case")
    if not route.prefix.startswith("/") or "?" in route.prefix:
        report("", "the prefix must start with / and contain no query")
    if not any(d.weight > 0 for d in route.destinations):
        report(_DESTINATIONS_KEY, "at least one weight must be above zero")
    for destination in route.destinations:
        if not NAME_PATTERN.match(destination.service):
            report(
                _DESTINATIONS_KEY,
                f"{destination.service!r} must match {NAME_PATTERN.pattern}",
            )
    if route.class_name not in preset.classes:
        advice = ini.suggest_name(route.class_name, preset.classes)
        report("class", f"unknown class {route.class_name!r}; {advice}")
    return problems


def _host_route_section(route: model.HostRoute) -> str:
    return f"host-route {route.name} {route.host} {route.prefix}"


def format_route_section(route: model.Route) -> str:
    """Returns the name of a route's section in the INI text."""
    return f"route {route.service} {route.method} {route.prefix}"


def render(preset: model.Preset) -> str:
    """Formats a preset as INI text that parses to the same preset.

    Args:
      preset: The preset.
    """
    blocks = [_render_section("preset", preset, omit=_SECTION_FIELDS)]
    for section in _POLICY_BY_SECTION:
        blocks.append(_render_section(section, getattr(preset, section)))
    for name, policy in preset.services_by_name.items():
        blocks.append(_render_section(f"service {name}", policy))
    for route in preset.routes:
        blocks.append(
            _render_section(
                format_route_section(route),
                route,
                omit=("service", "method", "prefix"),
            )
        )
    for host_route in preset.host_routes:
        block = _render_section(
            _host_route_section(host_route),
            host_route,
            omit=("name", "host", "prefix", _DESTINATIONS_KEY),
        )
        words = [f"{d.service}:{d.weight!r}" for d in host_route.destinations]
        blocks.append(f"{block}{_DESTINATIONS_KEY} = {', '.join(words)}\n")
    for organisation in preset.organisations:
        section = organisations.format_section(organisation.name)
        blocks.append(_render_section(section, organisation, omit=("name",)))
    return "\n".join(blocks)


def _render_section(
    section: str, value: typing.Any, *, omit: tuple[str, ...] = ()
) -> str:
    key_by_field = {field: key for key, field in _ROUTE_FIELD_BY_KEY.items()}
    lines = [f"[{section}]"]
    for field in msgspec.structs.fields(value):
        content = getattr(value, field.name)
        if field.name in omit or content is None:
            continue
        key = key_by_field.get(field.name, field.name)
        lines.append(f"{key} = {_render_value(content)}")
    return "\n".join(lines) + "\n"


def _render_value(content: typing.Any) -> str:
    match content:
        case bool():
            return "yes" if content else "no"
        case tuple():
            return ", ".join(content)
        case _:
            return str(content)
