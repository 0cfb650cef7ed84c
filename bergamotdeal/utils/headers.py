"""Names of the system's HTTP headers and the hop-by-hop rule."""

import functools

REQUEST_ID = "bergamot-request-id"
DEADLINE_MS = "bergamot-deadline-ms"
ATTEMPT = "bergamot-attempt"
CONTEXT = "bergamot-context"
TICKET = "bergamot-ticket"
OUTCOME = "bergamot-outcome"
ERROR = "bergamot-error"
IDEMPOTENCY_KEY = "idempotency-key"
RETRY_AFTER = "retry-after"

SYSTEM_PREFIX = "bergamot-"

_KNOWN_NAMES = 256
"""Header names that are kept decoded; a few dozen are in use."""

# Hop-by-hop headers of RFC 9110 section 7.6.1, and those that each hop sets
# from what it sends itself.
_PER_HOP = frozenset(
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


@functools.lru_cache(maxsize=_KNOWN_NAMES)
def decode_name(name: bytes) -> str:
    """Returns a header's name in lower case.

    Args:
      name: The name as it was received.
    """
    return name.decode("latin-1").lower()


def select_end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns the headers that travel on, without the system's own.

    Args:
      headers: Names in lower case with their values.

    Returns:
      The headers that are neither hop-by-hop nor the system's.
    """
    listed = _listed_in_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in _PER_HOP
        and name not in listed
        and not name.startswith(SYSTEM_PREFIX)
    ]


def _listed_in_connection(headers: list[tuple[str, str]]) -> frozenset[str]:
    for name, value in headers:
        if name == "connection":
            return frozenset(
                token.strip().lower() for token in value.split(",")
            )
    return frozenset()
