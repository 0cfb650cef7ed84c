"""Blocking client based on ``http.client``."""

from collections.abc import Callable
import http.client
import random
import time

import result

from bergamotdeal.caller import core

_CONNECT_TIMEOUT_S = 2.0
_ANSWER_GRACE_PERIOD_S = 0.5
"""Time to wait after the deadline for the node's own error answer."""

_MAX_BODY_BYTES = 64 * 1024 * 1024


class Client:
    """Blocking client that calls services through the entry listeners of nodes.

    It is not thread-safe.

    Args:
      entries: IP address and port of each entry listener to use. The requests
        go to them in rotation.
      policy: Retry policy of each call.
      rng: Source of request ids and jitter.
      monotonic: Returns monotonic time in seconds.
      sleep: Blocks for a number of seconds.
    """

    def __init__(
        self,
        *,
        entries: list[tuple[str, int]],
        policy: core.RetryPolicy | None = None,
        rng: random.Random | None = None,
        monotonic: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ):
        if not entries:
            raise ValueError("entries is empty: no entry face is given")
        self._entries = entries
        self._policy = policy or core.RetryPolicy()
        self._rng = rng or random.SystemRandom()
        self._monotonic = monotonic
        self._sleep = sleep
        self._next_entry_index = self._rng.randrange(len(entries))

    def call(
        self,
        *,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: list[tuple[str, str]] | None = None,
        request_id: str = "",
        ticket: str = "",
    ) -> result.Result[core.Response, core.Failure]:
        """Calls a service and gets a ticket first if the request needs one.

        Args:
          service: Name of the service.
          method: HTTP method.
          path: Path and query below the service, with a leading slash.
          body: Request body.
          headers: Request headers for the service.
          request_id: Id of the request; generated if empty.
          ticket: Ticket of a failed call, to learn the outcome of its request.
            All other arguments must equal those of that call.

        Returns:
          The service's answer, or a failure that says what is known about the
          request.
        """
        state_machine = core.Conversation(
            policy=self._policy,
            now=self._monotonic(),
            rng=self._rng,
            request_id=request_id,
            ticket=ticket,
        )
        target = f"/{service}{path}"
        while True:
            step = self._send_request(
                state_machine, method, target, body, headers or []
            )
            match step:
                case core.Succeed(response=response):
                    return result.Ok(response)
                case core.Fail(failure=failure):
                    return result.Err(failure)
                case core.Send(after_s=after_s):
                    self._sleep(after_s)

    def _send_request(
        self,
        state_machine: core.Conversation,
        method: str,
        target: str,
        body: bytes,
        headers: list[tuple[str, str]],
    ) -> core.Step:
        """Sends the request once and returns the next step."""
        now = self._monotonic()
        system_headers = state_machine.headers(now)
        address, port = self._entries[self._next_entry_index]
        self._next_entry_index = (self._next_entry_index + 1) % len(
            self._entries
        )
        timeout_s = state_machine.time_left_s(now) + _ANSWER_GRACE_PERIOD_S
        connection = http.client.HTTPConnection(
            address, port, timeout=min(_CONNECT_TIMEOUT_S, timeout_s)
        )
        try:
            connection.connect()
        except OSError:
            return state_machine.unreachable(self._monotonic())
        try:
            connection.sock.settimeout(timeout_s)
            connection.request(
                method, target, body, dict([*headers, *system_headers])
            )
            response = _read_answer(connection.getresponse())
        except (OSError, http.client.HTTPException):
            return state_machine.lost(self._monotonic())
        finally:
            connection.close()
        return state_machine.answered(response, self._monotonic())


def _read_answer(received: http.client.HTTPResponse) -> core.Response:
    """Reads a complete answer.

    Raises:
      http.client.HTTPException: The answer is truncated or too large.
    """
    if received.length is None and not received.chunked:
        raise http.client.HTTPException(
            "answer has neither content-length nor chunked encoding"
        )
    body = received.read(_MAX_BODY_BYTES + 1)
    if len(body) > _MAX_BODY_BYTES:
        raise http.client.HTTPException("answer body exceeds the size limit")
    if received.length:
        raise http.client.IncompleteRead(body, received.length)
    return core.Response(
        status=received.status,
        headers=[
            (name.lower(), value) for name, value in received.getheaders()
        ],
        body=body,
    )
