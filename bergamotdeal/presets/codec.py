"""Encoding of presets as JSON, for the store and between nodes.

The encoding is stable: equal presets give equal bytes, whatever the order in
which their services were added.
"""

import hashlib

import msgspec
import result

from bergamotdeal.presets import model
from bergamotdeal.presets import parser

MAX_PRESET_BYTES = 512 * 1024
"""Longest encoded preset; the store holds values up to a megabyte."""

DIGEST_BYTES = 16


def encode(preset: model.Preset) -> bytes:
    """Encodes a preset.

    Args:
      preset: The preset.

    Returns:
      JSON with keys in a fixed order.
    """
    return msgspec.json.encode(preset, order="sorted")


def decode(data: bytes) -> result.Result[model.Preset, str]:
    """Decodes and checks a preset.

    Args:
      data: JSON as ``encode`` wrote it.

    Returns:
      The preset, or the reason for which the bytes can't be accepted.
    """
    if len(data) > MAX_PRESET_BYTES:
        return result.Err(f"more than {MAX_PRESET_BYTES} bytes")
    try:
        preset = msgspec.json.decode(data, type=model.Preset)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Err(str(error))
    problems = parser.validate(preset)
    if problems:
        return result.Err("; ".join(str(problem) for problem in problems))
    return result.Ok(preset)


def digest(data: bytes) -> bytes:
    """Returns the digest by which content is compared between nodes.

    Args:
      data: Any encoded content.
    """
    return hashlib.sha256(data).digest()[:DIGEST_BYTES]
