"""Compression of frames with a window that lasts as long as the link."""

import zlib

import hypothesis
from hypothesis import strategies

from bergamotdeal.wire import compression


@hypothesis.given(
    strategies.lists(strategies.binary(max_size=2000), max_size=20)
)
def test_frames_survive_compression_in_order(frames):
    compressor = compression.FrameCompressor()
    decompressor = compression.FrameDecompressor()
    for frame in frames:
        sent = compressor.compress(frame)
        assert decompressor.decompress(sent).unwrap() == frame


def test_large_frame_is_sent_as_it_is():
    frame = bytes(compression.MAX_COMPRESSED_FRAME_BYTES + 1)
    sent = compression.FrameCompressor().compress(frame)
    assert len(sent) == len(frame) + 1
    assert compression.FrameDecompressor().decompress(sent).unwrap() == frame


def test_small_input_can_not_expand_beyond_the_limit():
    deflate = zlib.compressobj(9, zlib.DEFLATED, -12)
    bomb = deflate.compress(bytes(100_000_000))
    bomb += deflate.flush(zlib.Z_SYNC_FLUSH)
    assert compression.FrameDecompressor().decompress(b"\x01" + bomb).is_err()


@hypothesis.given(strategies.binary(max_size=200))
def test_malformed_bytes_give_an_error_or_a_frame(data):
    decompressed = compression.FrameDecompressor().decompress(data)
    assert decompressed.is_err() or isinstance(decompressed.unwrap(), bytes)
