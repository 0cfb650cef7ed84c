"""Compression of the frames of one link with a shared DEFLATE window.

Consecutive frames repeat most of their bytes: names of headers, routes and
services. The window is kept from frame to frame, and each frame ends with a
sync flush whose constant tail is not sent, as in RFC 7692 section 7.2.
"""

import zlib

import result

_PLAIN = b"\x00"
_DEFLATED = b"\x01"
_LEVEL = 3
_WINDOW_BITS = 12  # 4 KiB, a dozen frames; the state of a link takes 40 KiB.
_MEMORY_LEVEL = 5
_SYNC_FLUSH_TAIL = b"\x00\x00\xff\xff"

MAX_COMPRESSED_FRAME_BYTES = 256 * 1024
"""Frames above this size are sent as they are; bodies seldom compress."""


class FrameCompressor:
    """Compressor of the frames sent on one link."""

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL
        )

    def compress(self, frame: bytes) -> bytes:
        """Returns a frame with a leading byte that tells its form.

        Args:
          frame: The encoded frame.
        """
        if len(frame) > MAX_COMPRESSED_FRAME_BYTES:
            return _PLAIN + frame
        deflated = self._deflate.compress(frame)
        deflated += self._deflate.flush(zlib.Z_SYNC_FLUSH)
        return _DEFLATED + deflated[: -len(_SYNC_FLUSH_TAIL)]


class FrameDecompressor:
    """Decompressor of the frames received on one link."""

    def __init__(self) -> None:
        self._inflate = zlib.decompressobj(-_WINDOW_BITS)

    def decompress(self, data: bytes) -> result.Result[bytes, str]:
        """Returns the encoded frame, or why the bytes are malformed.

        Args:
          data: Bytes that ``FrameCompressor.compress`` returned.
        """
        form, content = data[:1], data[1:]
        if form == _PLAIN:
            return result.Ok(content)
        if form != _DEFLATED:
            return result.Err("unknown form of a compressed frame")
        try:
            frame = self._inflate.decompress(
                content + _SYNC_FLUSH_TAIL, MAX_COMPRESSED_FRAME_BYTES + 1
            )
        except zlib.error as error:
            return result.Err(str(error))
        is_too_long = len(frame) > MAX_COMPRESSED_FRAME_BYTES
        if is_too_long or self._inflate.unconsumed_tail:
            return result.Err("decompressed frame exceeds the limit")
        if self._inflate.eof:
            return result.Err("compressed stream has ended")
        return result.Ok(frame)
