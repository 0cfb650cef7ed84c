"""How a node speaks HTTP: with callers and with its backend server.

The node's own headers are one dialect; where a platform prescribes others, its
adapter brings another one. A dialect translates and decides nothing.
"""

import dataclasses
import random
import typing

import result

from bergamotdeal.calls import core as calls
from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.node import http_server


class CallerDialect(typing.Protocol):
    """Requests of callers and the answers to them."""

    def read_call(
        self,
        request: http_server.HttpRequest,
        *,
        origin_id: int,
        rng: random.Random,
    ) -> result.Result[messages.CallArrived, errors.ErrorKind]:
        """Reads a call from an HTTP request.

        Args:
          request: The request.
          origin_id: Number of the exchange.
          rng: Source of request ids.

        Returns:
          The event for the call engine, or what is wrong with the request.
        """

    def is_retry(self, request: http_server.HttpRequest) -> bool:
        """Whether an earlier sending of an unreadable request may have run."""

    def finalize_answer(
        self, answer: calls.Answer, user_request_id: str
    ) -> calls.Headers:
        """Makes an answer ready for the caller.

        Args:
          answer: The answer; its status may be set to the dialect's.
          user_request_id: Id of the user request, or empty.

        Returns:
          The system's own headers.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Complete:
    """The answer belongs to the run.

    Attributes:
      headers: Its end-to-end headers.
    """

    headers: calls.Headers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotExecuted:
    """The backend server says that it did not run the request."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Misdirected:
    """Another server than the expected one listens at the address."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mismatched:
    """The answer belongs to another request."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Invalid:
    """The answer can't be the server's whole answer."""


AnswerClass = Complete | NotExecuted | Misdirected | Mismatched | Invalid


class ServerDialect(typing.Protocol):
    """Requests to the backend server and its answers.

    Attributes:
      accepts_close_delimited: Whether an orderly close (FIN) by the server
        completes an answer that has no length.
    """

    accepts_close_delimited: bool

    def render_request(self, run: messages.StartRun, server_id: str) -> bytes:
        """Renders the request of a run.

        Args:
          run: The run.
          server_id: Id of the server that is meant, or empty.
        """

    def classify_answer(
        self, run: messages.StartRun, status: int, headers: calls.Headers
    ) -> AnswerClass:
        """Reads what an answer says of the run.

        Args:
          run: The run that waits for its answer.
          status: HTTP status code.
          headers: All headers of the answer.
        """
