"""Reading of preset files."""

import pathlib

import result

from bergamotdeal.presets import model
from bergamotdeal.presets import parser


def read(path: pathlib.Path) -> result.Result[model.Preset, str]:
    """Reads a preset from an INI file.

    Args:
      path: Path of the file.

    Returns:
      The preset, or a description of the problems of the file or its content.
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
    """Reads a preset from a file if a path is given.

    Args:
      name: Path of the file, or empty.

    Returns:
      The preset, None if the path is empty, or a description of the problems.
    """
    return read(pathlib.Path(name)) if name else result.Ok(None)
