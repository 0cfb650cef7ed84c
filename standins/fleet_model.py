"""Data types of the simulated fleet."""

from collections.abc import Callable
from collections.abc import Generator
import dataclasses

from bergamotdeal.calls import engine
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.rpc import core as rpc


@dataclasses.dataclass(kw_only=True, slots=True)
class Work:
    """A step of a server program that computes for some seconds."""

    seconds: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Invoke:
    """A step of a server program that calls services in parallel.

    The program resumes with the list of the replies.

    Attributes:
      requests: Requests to send.
      idempotency_keys: Idempotency key of each request, or empty for none.
      copy_context: Whether the calls carry the context header of the run.
      deadline_ms: Deadline of the calls in milliseconds, or None.
    """

    requests: list[rpc.Request]
    idempotency_keys: list[str] = dataclasses.field(default_factory=list)
    copy_context: bool = True
    deadline_ms: int | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """A response returned by a server program."""

    status: int = 200
    headers: rpc.Headers = dataclasses.field(default_factory=list)
    body: bytes = b"ok"


Program = Callable[
    [messages.StartRun], Generator[Work | Invoke, list["Reply"], Response]
]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Reply:
    """A pending or finished reply to a caller.

    Attributes:
      host_id: Host to whose node the request was sent.
      origin_id: Id of the exchange at that node.
      request: Request of the caller.
      answer: Answer, or None until it arrives.
      disconnected: Whether the caller's connection was lost before the answer.
      user_request_id: User request id received with the answer.
      when_done: Callback for the answer or the loss of the connection.
    """

    host_id: str
    origin_id: int
    request: rpc.Request
    answer: rpc.Answer | None = None
    disconnected: bool = False
    user_request_id: str = ""
    when_done: Callable[["Reply"], None] | None = None

    @property
    def done(self) -> bool:
        """Whether the answer has arrived or the connection is lost."""
        return self.disconnected or self.answer is not None

    @property
    def outcome(self) -> errors.Outcome | None:
        """Outcome of the answer, or None without an answer."""
        return self.answer.outcome if self.answer else None

    @property
    def error(self) -> errors.ErrorKind | None:
        """Error kind of the answer, or None."""
        return self.answer.error if self.answer else None


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class ServerRun:
    """A run on a backend server.

    Attributes:
      host_id: Host of the server.
      server_generation: Number of earlier restarts of the server.
      start: Effect with which the node started the run.
      started_at: Start time in monotonic seconds.
      finished: Whether the program returned.
      status: HTTP status that the program returned, or zero before that.
      stopped: Whether a cancellation, a timeout or the server's death ended
        the run.
      invoked: Whether the program called other services.
      deadline_at: Deadline in monotonic seconds.
      incarnation: Incarnation of the node that started the run.
    """

    host_id: str
    server_generation: int
    start: messages.StartRun
    started_at: float
    finished: bool = False
    status: int = 0
    stopped: bool = False
    invoked: bool = False
    deadline_at: float = 0.0
    incarnation: str = ""


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Node:
    """A simulated host with its node and backend server.

    Attributes:
      member: Membership record; a restart changes its incarnation.
      engine: Call engine, or None while the node is down.
      program: Program that the backend server runs for each request.
      pending_events: Events that arrived while the node is paused, or None
        while it is not paused.
      server_up: Whether the backend server is running.
      server_generation: Number of restarts of the server.
      accepts_cancellation: Whether the server stops cancelled runs.
      wakeup: Time in monotonic seconds of the scheduled wake-up, or None.
    """

    member: membership.Member
    engine: engine.Engine | None
    program: Program | None
    pending_events: list[messages.Event] | None = None
    server_up: bool = True
    server_generation: int = 0
    accepts_cancellation: bool = True
    wakeup: float | None = None


def answer_at_once(_start: messages.StartRun):
    """Answers after one millisecond of work."""
    yield Work(seconds=0.001)
    return Response()
