"""Reading of the files that are named on the command line."""

import pathlib
import sys

import click
import result

from bergamotdeal.cli import exit_codes
from bergamotdeal.presets import model as preset_model
from bergamotdeal.presets import parser as preset_parser
from bergamotdeal.settings import model
from bergamotdeal.settings import parser
from bergamotdeal.utils import ini


def report_failure(code: exit_codes.ExitCode, *lines: str) -> SystemExit:
    """Writes error messages and returns the exception that ends the command.

    Args:
      code: Exit code.
      *lines: Messages for the standard error.
    """
    for line in lines:
        click.echo(line, err=True)
    return SystemExit(int(code))


def read_text(path: str) -> str:
    """Reads a text file.

    Args:
      path: Path of the file; ``-`` is the standard input.

    Raises:
      SystemExit: The file can't be read.
    """
    try:
        if path == "-":
            return sys.stdin.read()
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise report_failure(
            exit_codes.ExitCode.INVALID, f"{path}: can't be read: {error}"
        ) from error


def read_settings(path: str) -> model.Settings:
    """Reads a settings file.

    Args:
      path: Path of the INI file.

    Raises:
      SystemExit: The file can't be read or is invalid.
    """
    parsed = parser.parse(read_text(path))
    if isinstance(parsed, result.Err):
        raise report_problems(path, parsed.err_value)
    return parsed.ok_value


def read_preset(path: str) -> preset_model.Preset:
    """Reads a preset file.

    Args:
      path: Path of the INI file.

    Raises:
      SystemExit: The file can't be read or is invalid.
    """
    parsed = preset_parser.parse(read_text(path))
    if isinstance(parsed, result.Err):
        raise report_problems(path, parsed.err_value)
    return parsed.ok_value


def report_problems(path: str, problems: list[ini.Problem]) -> SystemExit:
    """Writes the problems of a file and returns the exception to raise.

    Args:
      path: Path of the file.
      problems: Problems that the parser found.
    """
    lines = [f"{path}: {problem}" for problem in problems]
    return report_failure(exit_codes.ExitCode.INVALID, *lines)
