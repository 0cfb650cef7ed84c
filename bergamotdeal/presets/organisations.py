"""Validation and INI sections of the organisations of a preset."""

import collections
import math
import re

from bergamotdeal.presets import model
from bergamotdeal.utils import ini

NAME_PATTERN = re.compile(r"[A-Za-z0-9_](?:[A-Za-z0-9_.:@/+-]| (?! |$)){0,127}")
"""Names can be sent in a header; single spaces are allowed inside them."""

NAME_RULE = (
    "a name has up to 128 letters, digits, single spaces or ._:@/+- and starts "
    "with a letter, a digit or _"
)
_SHOWN_CHARS = 40


def format_section(name: str) -> str:
    """Returns the name of an organisation's section in the INI text.

    Args:
      name: Name of the organisation, which may be invalid.
    """
    shown = name if NAME_PATTERN.fullmatch(name) else repr(name)[:_SHOWN_CHARS]
    return f"organisation {shown}"


def find_problems(preset: model.Preset) -> list[ini.Problem]:
    """Validates the organisations of a preset.

    Args:
      preset: Preset from a file, the store or another node.
    """
    problems = []

    def report(organisation: model.Organisation, key: str, text: str) -> None:
        section = format_section(organisation.name)
        problems.append(ini.Problem(section=section, key=key, message=text))

    counts_by_name = collections.Counter(o.name for o in preset.organisations)
    owners_by_digest: dict[str, str] = {}
    for organisation in preset.organisations:
        if not NAME_PATTERN.fullmatch(organisation.name):
            report(organisation, "", NAME_RULE)
        if counts_by_name[organisation.name] > 1:
            report(organisation, "", "given twice")
        if organisation.class_name not in ("", *preset.classes):
            advice = ini.suggest_name(organisation.class_name, preset.classes)
            report(
                organisation,
                "class",
                f"unknown class {organisation.class_name!r}; {advice}",
            )
        for digest in organisation.key_digests:
            owner = owners_by_digest.setdefault(digest, organisation.name)
            if owner != organisation.name:
                report(
                    organisation,
                    "key_digests",
                    f"{digest} is a key of {owner}, too",
                )
        for key in ("rate_per_s", "burst"):
            # The range of the annotation doesn't exclude NaN.
            if not math.isfinite(getattr(organisation, key)):
                report(organisation, key, "must be a finite number")
        if len(set(organisation.key_digests)) < len(organisation.key_digests):
            report(organisation, "key_digests", "a digest is given twice")
    return problems
