"""Reads the files that are named on the command line."""

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


def failure(code: exit_codes.ExitCode, *lines: str) -> SystemExit:
    """Reports a failure and returns the exception that ends the command.

    Args:
      code: Exit code.
      *lines: What went wrong, for the standard error.
    """
    for line in lines:
        click.echo(line, err=True)
    return SystemExit(int(code))


def read_text(path: str) -> str:
    """Returns a file's text, or ends the command.

    Args:
      path: Path of the file; ``-`` is the standard input.
    """
    try:
        if path == "-":
            return sys.stdin.read()
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise failure(
            exit_codes.ExitCode.INVALID, f"{path}: can't be read: {error}"
        ) from error


def read_settings(path: str) -> model.Settings:
    """Returns a settings file's content, or ends the command.

    Args:
      path: Path of the INI file.
    """
    read = parser.parse(read_text(path))
    if isinstance(read, result.Err):
        raise problems_failure(path, read.err_value)
    return read.ok_value


def read_preset(path: str) -> preset_model.Preset:
    """Returns a preset file's content, or ends the command.

    Args:
      path: Path of the INI file.
    """
    read = preset_parser.parse(read_text(path))
    if isinstance(read, result.Err):
        raise problems_failure(path, read.err_value)
    return read.ok_value


def problems_failure(path: str, problems: list[ini.Problem]) -> SystemExit:
    """Reports the problems of a file and returns the exception to raise.

    Args:
      path: Path of the file.
      problems: What is wrong in it.
    """
    lines = [f"{path}: {problem}" for problem in problems]
    return failure(exit_codes.ExitCode.INVALID, *lines)
