"""Rendering of HTTP/1.1 messages as bytes."""

import http
import re

from bergamotdeal.rpc import core as rpc

_REASON_PHRASES_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_ABSOLUTE_TARGET = re.compile(
    r"https?://([^/?]*)(.*)", re.IGNORECASE | re.DOTALL
)
_BODYLESS_STATUSES = frozenset({204, 304})


def split_absolute_target(
    target: str, headers: rpc.Headers
) -> tuple[str, rpc.Headers]:
    """Replaces a target in absolute form by path and query.

    Its authority takes the place of the ``Host`` header (RFC 9112 section
    3.2.2).

    Args:
      target: Target of a request, in any form.
      headers: Headers of the request.

    Returns:
      The path and query with the headers, unchanged if the target is not in
      absolute form.
    """
    match = _ABSOLUTE_TARGET.fullmatch(target)
    if match is None:
        return target, headers
    authority, path = match.groups()
    if not path.startswith("/"):
        path = "/" + path
    others = [header for header in headers if header[0] != "host"]
    return path, [("host", authority), *others]


def render_request_head(
    method: bytes, target: bytes, headers: rpc.Headers
) -> bytes:
    """Renders the head of a request that was received.

    Args:
      method: HTTP method.
      target: Path and query string.
      headers: All headers of the request.

    Returns:
      The head as sent on the wire.
    """
    lines = join_header_lines([f"{name}: {value}" for name, value in headers])
    return b"%s %s HTTP/1.1\r\n%s\r\n" % (
        method,
        target,
        lines.encode("latin-1"),
    )


def render_response(
    answer: rpc.Answer,
    headers: rpc.Headers,
    *,
    close: bool,
    is_head: bool = False,
) -> bytes:
    """Renders a response as bytes.

    Args:
      answer: Status, end-to-end headers and body.
      headers: Headers that the node adds.
      close: Whether the connection closes after the response.
      is_head: Whether the request's method was HEAD.

    Returns:
      The response as sent on the wire.
    """
    reason = _REASON_PHRASES_BY_STATUS.get(answer.status, b"Unknown")
    lines = [f"{name}: {value}" for name, value in answer.headers]
    lines += [f"{name}: {value}" for name, value in headers]
    if close:
        lines.append("connection: close")
    has_body = answer.status not in _BODYLESS_STATUSES and not is_head
    if has_body:
        lines.append(f"content-length: {len(answer.body)}")
    head = join_header_lines(lines).encode("latin-1", "replace")
    return b"HTTP/1.1 %d %s\r\n%s\r\n%s" % (
        answer.status,
        reason,
        head,
        answer.body if has_body else b"",
    )


_REMOVED_CONTROL_CHARS = {ord("\r"): None, ord("\n"): None, 0: None}


def join_header_lines(lines: list[str]) -> str:
    """Joins header lines, removing CR, LF and NUL against header injection.

    Args:
      lines: Lines of a message head, without line ends.
    """
    joined = "".join([f"{line}\r\n" for line in lines])
    line_count = len(lines)
    if (
        joined.count("\n") == line_count == joined.count("\r")
        and "\0" not in joined
    ):
        return joined
    return "".join(
        f"{line.translate(_REMOVED_CONTROL_CHARS)}\r\n" for line in lines
    )
