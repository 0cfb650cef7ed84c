"""Names of the system's HTTP headers and the filter for hop-by-hop headers."""

import functools

REQUEST_ID = "bergamot-request-id"
DEADLINE_MS = "bergamot-deadline-ms"
ATTEMPT = "bergamot-attempt"
CONTEXT = "bergamot-context"
TICKET = "bergamot-ticket"
OUTCOME = "bergamot-outcome"
ERROR = "bergamot-error"
ORGANISATION = "bergamot-organisation"
IDEMPOTENCY_KEY = "idempotency-key"
RETRY_AFTER = "retry-after"

SYSTEM_PREFIX = "bergamot-"
_CONNECTION = "connection"
_UPGRADE = "upgrade"

_NAME_CACHE_SIZE = 256
"""Number of decoded header names to cache; a few dozen are in use."""

# Hop-by-hop headers of RFC 9110 section 7.6.1, and headers that each hop sets
# for its own message.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@functools.lru_cache(maxsize=_NAME_CACHE_SIZE)
def decode_name(name: bytes) -> str:
    """Decodes a header's name to lower case.

    Args:
      name: Name as received.
    """
    return name.decode("latin-1").lower()


def select_end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Selects the headers to forward.

    Args:
      headers: Names in lower case with their values.

    Returns:
      The headers that are neither hop-by-hop nor the system's own.
    """
    connection_options = _parse_connection_header(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP
        and name not in connection_options
        and not name.replace("_", "-").startswith(SYSTEM_PREFIX)
    ]


def remove_upgrade(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Removes the offer to upgrade the connection to another protocol.

    Args:
      headers: Names in lower case with their values.

    Returns:
      The other headers, with the other connection options.
    """
    kept = []
    for name, value in headers:
        if name == _UPGRADE:
            continue
        if name == _CONNECTION:
            value = ", ".join(
                option
                for option in map(str.strip, value.split(","))
                if option.lower() != _UPGRADE
            )
        kept.append((name, value))
    return kept


def _parse_connection_header(headers: list[tuple[str, str]]) -> frozenset[str]:
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name == _CONNECTION
        for option in value.split(",")
    )
