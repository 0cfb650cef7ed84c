"""Presets in files."""

import pathlib

import result

from bergamotdeal.presets import model
from bergamotdeal.presets import parser


def read(path: pathlib.Path) -> result.Result[model.Preset, str]:
    """Reads a preset's INI file.

    Args:
      path: The file.

    Returns:
      The preset, or what is wrong with the file or its content.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        return result.Err(str(error))
    return parser.parse(text).map_err(
        lambda problems: (
            f"{path}: {'; '.join(str(problem) for problem in problems)}"
        )
    )


def read_optional(name: str) -> result.Result[model.Preset | None, str]:
    """Reads the preset of a file that settings may name.

    Args:
      name: Path of the file; empty for none.

    Returns:
      The preset, None without a file, or what is wrong with it.
    """
    return read(pathlib.Path(name)) if name else result.Ok(None)
