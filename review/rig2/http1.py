"""HTTP/1.1 messages over asyncio streams, as far as the cases need them."""

import asyncio
import dataclasses

MAX_HEAD_BYTES = 64 * 1024


class BrokenMessageError(Exception):
    """The connection ended inside a message, or the bytes are no message."""


@dataclasses.dataclass(kw_only=True)
class Message:
    """A request or a response.

    Attributes:
      start: The three words of the first line.
      headers_by_name: Headers by name in lower case.
      body: Complete body.
    """

    start: tuple[str, str, str]
    headers_by_name: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads the head of a message; returns None at an orderly end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessageError("the head is incomplete") from error
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    words = [*first.split(" ", 2), "", ""][:3]
    headers_by_name = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers_by_name[name.strip().lower()] = value.strip()
    return Message(start=tuple(words), headers_by_name=headers_by_name)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with its body; returns None at an orderly end.

    Raises:
      BrokenMessageError: The connection ended inside the message.
    """
    message = await read_head(reader)
    if message is None:
        return None
    headers_by_name = message.headers_by_name
    try:
        if headers_by_name.get("transfer-encoding", "").lower() == "chunked":
            message.body = await _read_chunks(reader)
        else:
            length = int(headers_by_name.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise BrokenMessageError("the body is incomplete") from error
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def render(
    start: str, headers_by_name: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a message with a length as sent on the wire."""
    lines = [start, f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers_by_name.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    address: tuple[str, int],
    start: str,
    headers_by_name: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 10.0,
) -> Message | None:
    """Sends a request on a connection of its own.

    Returns:
      The response, or None without a whole one.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=MAX_HEAD_BYTES
            )
            try:
                writer.write(render(start, headers_by_name, body))
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, BrokenMessageError):
        return None
