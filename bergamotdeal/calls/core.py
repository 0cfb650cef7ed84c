"""Main types of a call: the request, the answer and the load report."""

import dataclasses

from bergamotdeal.errors import core as errors

Headers = list[tuple[str, str]]
"""Header names in lower case with their values, in the order received."""

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 1024 * 1024
MAX_REQUEST_BODY_BYTES = 3 * 1024 * 1024
"""Longest body of a request: a frame between nodes has room for no more beside
its headers."""

MAX_CALL_DEPTH = 32
MAX_ATTEMPT = 65_535


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """An HTTP request as the target's backend server receives it.

    Attributes:
      service: Name of the service that is called; empty on arrival when the
        request is addressed by host name.
      method: HTTP method.
      path: Path and query as the backend server gets them, with a leading
        slash.
      headers: End-to-end headers, without the system's own.
      body: The complete body.
      authority: Host name that addresses the request, or empty when its
        service does.
    """

    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    authority: str = ""


@dataclasses.dataclass(kw_only=True, slots=True)
class Load:
    """Load of one target as its node reports it in each answer.

    Attributes:
      running: Requests that run on the backend server.
      queued: Requests that wait at the node.
      limit: Concurrency limit in force.
      run_ms: Moving mean of the run time, zero when unknown.
    """

    running: int
    queued: int
    limit: int
    run_ms: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """One dispatch of a request to a target's node.

    Attributes:
      number: Number that is unique in the origin's process lifetime.
      user_request_id: Id of the user request at the root of the call tree.
      call_id: Id of this call, the same for each of its dispatches.
      request: What the backend server is to run.
      deadline_ms: Time left when the frame was sent, in milliseconds.
      attempt: Zero for the first sending; counts callers' and own re-sends.
      may_have_run: Whether an earlier sending may have reached a server.
      tokens: Re-sends that the target may spend below this call.
      ticket: Encoded ticket, empty when none is presented.
      class_name: Class of the user request, empty when not yet known.
      depth: Number of calls above this one.
      epoch: Epoch of the configuration in force at the origin.
      stamp: Stamp of the origin's hybrid logical clock, set by its peer face.
      needs_ticket: Whether the origin's preset lets the request run only
        under a ticket.
      only_repeatable: Whether a call above may be sent again after its answer
        was lost, so that nothing below may be non-repeatable.
      route_name: Name of the host route that the origin chose, or empty when
        the target finds the route itself.
      repeatable: Whether that route's requests may run twice.
      caller_service: Service of the host where the request began, or empty.
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


@dataclasses.dataclass(kw_only=True, slots=True)
class Answer:
    """The answer to one call or to one caller.

    Attributes:
      outcome: What is known about the execution.
      error: Error kind when the system itself answers, else None.
      status: HTTP status code.
      headers: End-to-end headers of the backend server's answer.
      body: The complete body.
      ticket: Encoded ticket that the caller is to send, else empty.
      retry_after_s: Seconds after which a resend can help, or None.
      tokens_left: Re-sends that come back unspent.
      repeatable: False once a non-repeatable call below was handed over.
      threshold: Share of request hashes, 0.0 to 1.0, that the target and its
        own targets admit for this route and class.
      load: Load of the target, or None when the answer came from elsewhere.
      epoch: Epoch of the configuration in force at the target.
      stamp: Stamp of the target's hybrid logical clock, set by its peer face.
      report: Encoded charges of the request's route, often empty.
    """

    outcome: errors.Outcome
    error: errors.ErrorKind | None = None
    status: int = 200
    headers: Headers = dataclasses.field(default_factory=list)
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


def build_error_answer(
    kind: errors.ErrorKind, *, may_have_run: bool = False, detail: str = ""
) -> Answer:
    """Builds the system's own answer for an error kind.

    Args:
      kind: The error.
      may_have_run: Whether a sending of the request may have run.
      detail: A sentence that replaces the kind's standard message.

    Returns:
      An answer with a plain text body.
    """
    entry = errors.ANSWERS_BY_KIND[kind]
    message = detail or entry.message
    return Answer(
        outcome=errors.outcome_for(kind, may_have_run=may_have_run),
        error=kind,
        status=entry.status,
        headers=[("content-type", "text/plain; charset=utf-8")],
        body=message.encode() + b"\n",
        retry_after_s=entry.retry_after_s,
    )
