"""JSON encoding of presets in the store and between nodes.

The encoding is canonical: equal presets are encoded as equal bytes, regardless
of the order in which their services were added.
"""

import hashlib

import msgspec
import result

from bergamotdeal.presets import model
from bergamotdeal.presets import parser

MAX_PRESET_BYTES = 6 * 1024 * 1024
"""Maximum bytes of an encoded preset. A preset that is translated from another
form is several times as large as the stored object, which may be a megabyte."""

DIGEST_BYTES = 16


def encode(preset: model.Preset) -> bytes:
    """Encodes a preset.

    Args:
      preset: The preset.

    Returns:
      JSON with sorted keys.
    """
    return msgspec.json.encode(preset, order="sorted")


def decode(data: bytes) -> result.Result[model.Preset, str]:
    """Decodes and validates a preset.

    Args:
      data: JSON as written by ``encode``.

    Returns:
      The preset, or the reason why the data is not valid.
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
    """Returns the digest by which nodes compare encoded content.

    Args:
      data: Encoded content.

    Returns:
      The first ``DIGEST_BYTES`` bytes of the SHA-256 hash.
    """
    return hashlib.sha256(data).digest()[:DIGEST_BYTES]
