"""Main data types: the request, the call, the answer and the load report."""

import msgspec

from bergamotdeal.errors import core as errors

Headers = list[tuple[str, str]]
"""Pairs of lower-case header name and value, in the order received."""

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 1024 * 1024
MAX_REQUEST_BODY_BYTES = 3 * 1024 * 1024
"""Maximum size of a request body in bytes. A frame between nodes also holds the
headers and has no room for more."""

_UNSENT_RETRY_AFTER_S = 1
"""Without a ``Retry-After``, callers take ``not-run`` as an invalid request."""

MAX_CALL_DEPTH = 32
MAX_ATTEMPT = 65_535
MAX_PRIOR_CALLS = 65_535


class Request(msgspec.Struct, kw_only=True):
    """HTTP request as the target's backend server receives it.

    Attributes:
      service: Name of the called service; empty on arrival if the request is
        addressed by host name.
      method: HTTP method.
      path: Path and query as sent to the backend server, with a leading
        slash.
      headers: End-to-end headers, without Bergamotdeal's own headers.
      body: Complete body.
      authority: Host name that the request is addressed to; empty if it is
        addressed by service.
    """

    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    authority: str = ""


class Load(msgspec.Struct, kw_only=True):
    """Load of one target, as its node reports it in each answer.

    Attributes:
      running: Number of requests that run on the backend server.
      queued: Number of requests queued at the node.
      limit: Current concurrency limit.
      run_ms: Moving average of the run time in milliseconds; zero if
        unknown.
      work_factor: How long work takes at this moment as a multiple of the
        server's usual time.
    """

    running: int
    queued: int
    limit: int
    run_ms: float = 0.0
    work_factor: float = 1.0


class Call(msgspec.Struct, kw_only=True):
    """One dispatch of a request to a target's node.

    Attributes:
      number: Dispatch number, unique during the lifetime of the origin's
        process.
      user_request_id: Id of the user request at the root of the call tree.
      call_id: Id of this call, the same for all of its dispatches.
      request: Request that the backend server executes.
      deadline_ms: Time to the deadline when the frame was sent, in
        milliseconds.
      attempt: Number of earlier attempts; counts the retries of the caller
        and of the nodes.
      may_have_run: Whether an earlier attempt may have reached a server.
      tokens: Number of retries that the target may spend below this call.
      ticket: Encoded ticket; empty if none is presented.
      class_name: Class of the user request; empty if not yet known.
      depth: Number of calls above this one in the call tree.
      epoch: Epoch of the origin's active preset.
      stamp: Timestamp of the origin's hybrid logical clock, set by its peer
        face.
      needs_ticket: Whether the origin's preset requires a ticket for the
        request.
      only_repeatable: Whether a call above this one may be retried after its
        answer was lost, so that no non-repeatable call is allowed below it.
      route_name: Name of the host route that the origin selected; empty if
        the target selects the route.
      repeatable: Whether requests of that route may run more than once.
      caller_service: Service of the host where the request originated; empty
        if unknown.
      is_repeat: Whether an earlier attempt of this call, or of a call above
        it, may have reached a server; it then counts as a retry.
      prior_calls: Number of calls that the runs above this call made before.
      organisation: Organisation of the user request, or empty.
      key_digest: Digest of the key that must still be valid when the call
        runs; empty if the call needs no key or inherits its organisation.
      target_ms: Time to the target latency of the user request when the frame
        was sent, in milliseconds; negative once it has passed, None without a
        target latency.
      is_internal: Whether a run of a backend server made the call, as far as
        the origin can tell.
    """

    number: int
    user_request_id: str
    call_id: str
    request: Request
    deadline_ms: int
    attempt: int = 0
    may_have_run: bool = False
    tokens: int = 0
    ticket: bytes = b""
    class_name: str = ""
    depth: int = 0
    epoch: int = 0
    stamp: int = 0
    needs_ticket: bool = False
    only_repeatable: bool = False
    route_name: str = ""
    repeatable: bool = False
    caller_service: str = ""
    is_repeat: bool = False
    prior_calls: int = 0
    organisation: str = ""
    key_digest: str = ""
    target_ms: int | None = None
    is_internal: bool = False


class Answer(msgspec.Struct, kw_only=True):
    """Answer to a call or to a caller.

    Attributes:
      outcome: Whether the request is known to have run.
      error: Error kind if a node generated the answer, else None.
      status: HTTP status code.
      headers: End-to-end headers of the backend server's answer.
      body: Complete body.
      ticket: Encoded ticket that the caller has to present, else empty.
      retry_after_s: Time in seconds after which a retry may succeed, or
        None.
      tokens_left: Number of retries that were not spent.
      repeatable: False once a non-repeatable call below may have been handed
        over to a backend server.
      threshold: Share of request hashes, 0.0 to 1.0, that the target and its
        own targets admit for this route and class.
      load: Load of the target, or None if the target did not answer.
      epoch: Epoch of the target's active preset.
      stamp: Timestamp of the target's hybrid logical clock, set by its peer
        face.
      report: Encoded cost report for the request's route, often empty.
      may_retry: Whether a retry of this call is likely to be accepted, by what
        the target knows of the retry budget.
    """

    outcome: errors.Outcome
    error: errors.ErrorKind | None = None
    status: int = 200
    headers: Headers = msgspec.field(default_factory=list)
    body: bytes = b""
    ticket: bytes = b""
    retry_after_s: float | None = None
    tokens_left: int = 0
    repeatable: bool = True
    threshold: float = 1.0
    load: Load | None = None
    epoch: int = 0
    stamp: int = 0
    report: bytes = b""
    may_retry: bool = True


def build_error_answer(
    kind: errors.ErrorKind,
    *,
    may_have_run: bool = False,
    is_unsent: bool = False,
    detail: str = "",
) -> Answer:
    """Builds the answer that a node gives for an error kind.

    Args:
      kind: Error kind.
      may_have_run: Whether an earlier attempt of the request may have run.
      is_unsent: Whether this attempt was certainly not handed over to a backend
        server, whatever its kind.
      detail: Message in place of the standard message of the kind; empty for
        the standard message.

    Returns:
      An answer with a plain text body.
    """
    entry = errors.ANSWERS_BY_KIND[kind]
    message = detail or entry.message
    outcome = errors.resolve_outcome(kind, may_have_run=may_have_run)
    retry_after_s = entry.retry_after_s
    if (
        is_unsent
        and not may_have_run
        and entry.outcome is errors.Outcome.UNKNOWN
    ):
        outcome = errors.Outcome.NOT_RUN
        retry_after_s = _UNSENT_RETRY_AFTER_S
    return Answer(
        outcome=outcome,
        error=kind,
        status=entry.status,
        headers=[("content-type", "text/plain; charset=utf-8")],
        body=message.encode() + b"\n",
        retry_after_s=retry_after_s,
    )
