"""Log stream: a stalled or closed reader never blocks or fails a write."""

import io
import os

import pytest

from bergamotdeal.utils import log_stream


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _read(reader):
    parts = []
    while True:
        try:
            parts.append(os.read(reader, 1 << 20))
        except BlockingIOError:
            return b"".join(parts)


def test_written_lines_reach_the_reader(pipe):
    reader, writer = pipe
    stream = log_stream.NonBlockingLogStream(descriptor=writer)
    assert stream.write("a\n") == 2
    stream.write("ü\ud800\n")
    stream.flush()
    assert _read(reader) == "a\nü\\ud800\n".encode()


def test_lines_are_dropped_whole_while_the_pipe_is_full(pipe):
    reader, writer = pipe
    stream = log_stream.NonBlockingLogStream(descriptor=writer)
    lines = [f"{number:06} {'x' * 5_000}\n" for number in range(100)]
    for line in lines:
        stream.write(line)
    assert 0 < stream.dropped_lines < len(lines)
    received = _read(reader)
    stream.write("last\n")
    received += _read(reader)
    kept = received.decode().splitlines(keepends=True)
    assert kept == [*lines[: len(kept) - 1], "last\n"]
    assert len(kept) - 1 + stream.dropped_lines == len(lines)


def test_write_after_the_reader_closed_does_not_raise():
    reader, writer = os.pipe()
    stream = log_stream.NonBlockingLogStream(descriptor=writer)
    os.close(reader)
    stream.write("a\n")
    stream.write("b\n")
    assert stream.dropped_lines == 0
    os.close(writer)


def test_make_non_blocking_wraps_pipes_and_keeps_files(pipe, tmp_path):
    _, writer = pipe
    with os.fdopen(os.dup(writer), "w") as stream:
        assert isinstance(
            log_stream.make_non_blocking(stream),
            log_stream.NonBlockingLogStream,
        )
    with (tmp_path / "log").open("w") as file:
        assert log_stream.make_non_blocking(file) is file
    memory = io.StringIO()
    assert log_stream.make_non_blocking(memory) is memory
