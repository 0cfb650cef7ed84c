"""Documented command lines parse and links between pages resolve."""

import re
import shlex

import click
import pytest

from bergamotdeal.cli import main
from tools import build_pages

PAGES = [
    *sorted((build_pages.ROOT / "docs").rglob("*.md")),
    build_pages.ROOT / "README.md",
]
# Pages that may be linked to before they exist.
PENDING_PAGES = frozenset(("CAPACITY.md",))
_BLOCK_COMMAND = re.compile(r"^ {4,}(?:\$ )?(bergamotdeal [^|;\n]*)", re.M)
_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
_INLINE_COMMAND = re.compile(r"`(bergamotdeal [^`<>]+)`")


def _find_command_lines(text):
    text = text.replace("\\\n", " ")
    for command_line in (
        *_BLOCK_COMMAND.findall(text),
        *_INLINE_COMMAND.findall(text),
    ):
        yield command_line.partition("  #")[0].strip()


def _parse_command_line(line):
    """Parses a whole command line without running the command."""
    words = shlex.split(line.replace("\n", " "))[1:]
    command = main.main
    context = click.Context(command, info_name="bergamotdeal")
    while isinstance(command, click.Group) and words:
        if words[0].startswith("--"):
            return command.make_context("bergamotdeal", words)
        name, command, words = command.resolve_command(context, words)
        context = click.Context(command, info_name=name, parent=context)
    if isinstance(command, click.Group):
        return context
    return command.make_context(context.info_name, words, parent=context)


@pytest.mark.parametrize("page", PAGES, ids=lambda path: path.name)
def test_documented_commands_are_accepted(page):
    for line in _find_command_lines(page.read_text()):
        try:
            _parse_command_line(line)
        except click.exceptions.Exit as parser_exit:
            assert parser_exit.exit_code == 0, line
        except click.UsageError as error:
            pytest.fail(f"{line}: {error.format_message()}")


def test_more_than_20_commands_are_documented():
    command_lines = [
        line for page in PAGES for line in _find_command_lines(page.read_text())
    ]
    assert len(command_lines) > 20


@pytest.mark.parametrize(
    "line",
    [
        "bergamotdeal nonsense",
        "bergamotdeal status --flet",
        "bergamotdeal preset switch",
        "bergamotdeal drain a b",
    ],
)
def test_invalid_command_raises_usage_error(line):
    with pytest.raises(click.UsageError):
        _parse_command_line(line)


def test_relative_links_point_to_existing_files():
    broken = []
    for page in PAGES:
        for target in _LINK.findall(page.read_text()):
            path = page.parent / target
            if path.name not in PENDING_PAGES and not path.exists():
                broken.append(f"{page.name}: {target}")
    assert broken == []
