"""What the in-memory fleet and its tests exchange."""

from collections.abc import Callable
from collections.abc import Generator
import dataclasses

from bergamotdeal.calls import core
from bergamotdeal.calls import engine
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership


@dataclasses.dataclass(kw_only=True, slots=True)
class Work:
    """A step of a server's program: compute for a time."""

    seconds: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Invoke:
    """A step of a server's program: call services side by side.

    The program resumes with the list of their replies. Without
    ``copy_context`` the calls carry no context header.
    """

    requests: list[core.Request]
    idempotency_keys: list[str] = dataclasses.field(default_factory=list)
    copy_context: bool = True
    deadline_ms: int | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Response:
    """What a server's program returns."""

    status: int = 200
    headers: core.Headers = dataclasses.field(default_factory=list)
    body: bytes = b"ok"


Program = Callable[
    [messages.StartRun], Generator[Work | Invoke, list["Reply"], Response]
]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Reply:
    """What a caller knows of its request.

    Attributes:
      host_id: Node that the request was sent to.
      origin_id: The exchange's number at that node.
      request: The request.
      answer: The answer, or None until it arrives.
      disconnected: Whether the caller's connection was lost before the answer.
      user_request_id: Id that came with the answer.
      when_done: Called once there is an answer or the connection is lost.
    """

    host_id: str
    origin_id: int
    request: core.Request
    answer: core.Answer | None = None
    disconnected: bool = False
    user_request_id: str = ""
    when_done: Callable[["Reply"], None] | None = None

    @property
    def done(self) -> bool:
        """Whether nothing more will come."""
        return self.disconnected or self.answer is not None

    @property
    def outcome(self) -> errors.Outcome | None:
        """The answer's outcome, or None without an answer."""
        return self.answer.outcome if self.answer else None

    @property
    def error(self) -> errors.ErrorKind | None:
        """The answer's error kind, or None."""
        return self.answer.error if self.answer else None


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class ServerRun:
    """One run on a backend server, as the server itself saw it.

    Attributes:
      host_id: Host of the server.
      server_generation: Counts the server's restarts.
      start: What the node handed over.
      started_at: Time of the start.
      finished: Whether the program ran to its end.
      status: Status that the program returned, zero before.
      stopped: Whether a cancellation or the server's death ended it.
      invoked: Whether its program called other services.
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
    """A host with its node and its backend server.

    Attributes:
      member: The node's membership entry; its incarnation changes at restart.
      engine: The engine, or None while the node is down.
      pending_events: Events that wait while the node is paused, or None.
      program: Program of the backend server.
      server_up: Whether the backend server lives.
      server_generation: Counts the server's restarts.
      accepts_cancellation: Whether the server stops cancelled work.
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
    """Server program that answers without work."""
    yield Work(seconds=0.001)
    return Response()
