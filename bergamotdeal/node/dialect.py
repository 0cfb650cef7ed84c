"""HTTP dialects: headers and statuses used with callers and backend servers.

The node's native headers are one dialect; a platform adapter supplies another
where the platform prescribes its own. A dialect only translates between HTTP
and the node's messages and makes no decisions.
"""

import random
import typing

import msgspec
import result

from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.node import http_exchange
from bergamotdeal.rpc import core as rpc


class CallerDialect(typing.Protocol):
    """Translation of callers' requests and of the answers to them.

    Attributes:
      reads_keys: Whether the ``Authorization`` header holds the key of an
        organisation; it is then removed. The node sets this whenever the
        preset changes. Otherwise the header belongs to the backend server.
    """

    reads_keys: bool

    def read_call(
        self,
        request: http_exchange.HttpRequest,
        *,
        origin_id: int,
        rng: random.Random,
    ) -> result.Result[messages.CallArrived, errors.ErrorKind]:
        """Parses a call from an HTTP request.

        Args:
          request: HTTP request.
          origin_id: Number of the exchange.
          rng: Source of randomness for request ids.

        Returns:
          The event for the call engine, or what is wrong with the request.
        """

    def is_retry(self, request: http_exchange.HttpRequest) -> bool:
        """Returns whether an earlier attempt of the request may have run.

        Args:
          request: HTTP request, which may be invalid in other respects.
        """

    def finalize_answer(
        self, answer: rpc.Answer, user_request_id: str
    ) -> rpc.Headers:
        """Adapts an answer to the dialect before it is sent to the caller.

        Args:
          answer: Answer; its status may be replaced by the dialect's.
          user_request_id: Id of the user request, or empty.

        Returns:
          The headers that the node adds.
        """


class Complete(msgspec.Struct, frozen=True, kw_only=True):
    """Complete answer of the backend server to the run.

    Attributes:
      headers: End-to-end headers of the answer.
      is_identified: Whether the answer names the request that it is for.
      keeps_connection: Whether the connection may carry another request.
    """

    headers: rpc.Headers
    is_identified: bool = True
    keeps_connection: bool = True


class NotExecuted(msgspec.Struct, frozen=True, kw_only=True):
    """Statement by the backend server that it did not run the request.

    Attributes:
      is_identified: Whether the answer names the request that it is for.
    """

    is_identified: bool = True


class Misdirected(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a server other than the expected one at the same address.

    Attributes:
      is_identified: Whether the answer names the request that it is for.
    """

    is_identified: bool = True


class Mismatched(msgspec.Struct, frozen=True, kw_only=True):
    """Answer that belongs to another request."""


class Invalid(msgspec.Struct, frozen=True, kw_only=True):
    """Answer that can't be the complete, unaltered one of the server."""


AnswerClass = Complete | NotExecuted | Misdirected | Mismatched | Invalid


class ServerCondition(msgspec.Struct, frozen=True, kw_only=True):
    """State that the backend server reports about itself with an answer.

    Attributes:
      rate_limit: Requests per second that the server accepts from all callers
        together, or None for no limit.
      is_leaving: Whether the server is about to stop and must not get new
        work.
      work_factor: How long work takes at this moment as a multiple of the
        usual time, or None if the server does not say.
      defect: What is wrong with a part of the report that does not count, or
        empty.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    work_factor: float | None = None
    defect: str = ""


NORMAL_CONDITION = ServerCondition()


class ServerDialect(typing.Protocol):
    """Translation of requests to the backend server and of its answers.

    Attributes:
      accepts_close_delimited: Whether an orderly close (FIN) by the server
        completes an answer that has no length.
      reports_condition: Whether answers tell the server's condition.
    """

    accepts_close_delimited: bool
    reports_condition: bool

    def render_request(self, run: messages.StartRun, server_id: str) -> bytes:
        """Renders the HTTP request of a run as bytes.

        Args:
          run: Run to send.
          server_id: Id of the server that the request is meant for, or empty.
        """

    def classify_answer(
        self, run: messages.StartRun, status: int, headers: rpc.Headers
    ) -> AnswerClass:
        """Classifies an answer by what it says about the run.

        Args:
          run: Run that is waiting for its answer.
          status: HTTP status code.
          headers: All headers of the answer.
        """

    def read_condition(
        self, headers: rpc.Headers
    ) -> result.Result[ServerCondition, str]:
        """Parses the server's condition from the headers of an answer.

        Args:
          headers: All headers of the answer.

        Returns:
          The condition, or what is wrong with a header.
        """
