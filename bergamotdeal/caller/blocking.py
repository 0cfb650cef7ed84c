"""A blocking client on the standard library's HTTP connections."""

from collections.abc import Callable
import http.client
import random
import time

import result

from bergamotdeal.caller import core

_CONNECT_TIMEOUT_S = 2.0
_ANSWER_GRACE_S = 0.5
"""Time by which a node's own answer at the deadline may be late."""

_MAX_BODY_BYTES = 64 * 1024 * 1024


class Client:
    """Calls services through the entry faces of nodes.

    It is not safe for use by several threads at once.

    Args:
      entries: IP address and port of each entry face to use; each attempt
        goes to the next one.
      policy: Bounds on the sendings of one call.
      rng: Source of request ids and jitter.
      monotonic: Clock, in seconds.
      sleep: Waits for a number of seconds.
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
            raise ValueError("no entry face is given")
        self._entries = entries
        self._policy = policy or core.RetryPolicy()
        self._rng = rng or random.SystemRandom()
        self._monotonic = monotonic
        self._sleep = sleep
        self._next_entry = self._rng.randrange(len(entries))

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
    ) -> result.Result[core.Response, core.CallFailure]:
        """Calls a service, with the ticket that the request may need.

        Args:
          service: Name of the service.
          method: HTTP method.
          path: Path and query below the service, with a leading slash.
          body: The body.
          headers: Headers for the service.
          request_id: Id of the request; a new one when empty.
          ticket: Ticket of a failed call, to learn what became of its
            request; everything else has to be the same.

        Returns:
          The service's answer, or what is known without one.
        """
        conversation = core.CallStateMachine(
            policy=self._policy,
            now=self._monotonic(),
            rng=self._rng,
            request_id=request_id,
            ticket=ticket,
        )
        target = f"/{service}{path}"
        while True:
            step = self._send(conversation, method, target, body, headers or [])
            match step:
                case core.ReturnResponse(response=response):
                    return result.Ok(response)
                case core.ReturnFailure(failure=failure):
                    return result.Err(failure)
                case core.SendAgain(after_s=after_s):
                    self._sleep(after_s)

    def _send(
        self,
        conversation: core.CallStateMachine,
        method: str,
        target: str,
        body: bytes,
        headers: list[tuple[str, str]],
    ) -> core.Action:
        """Sends the request once and returns what to do next."""
        now = self._monotonic()
        own_headers = conversation.headers(now)
        address, port = self._entries[self._next_entry]
        self._next_entry = (self._next_entry + 1) % len(self._entries)
        left_s = conversation.time_left_s(now) + _ANSWER_GRACE_S
        connection = http.client.HTTPConnection(
            address, port, timeout=min(_CONNECT_TIMEOUT_S, left_s)
        )
        try:
            connection.connect()
        except OSError:
            return conversation.unreachable(self._monotonic())
        try:
            connection.sock.settimeout(left_s)
            connection.request(
                method, target, body, dict([*headers, *own_headers])
            )
            response = _read(connection.getresponse())
        except (OSError, http.client.HTTPException):
            return conversation.lost(self._monotonic())
        finally:
            connection.close()
        return conversation.answered(response, self._monotonic())


def _read(received: http.client.HTTPResponse) -> core.Response:
    """Reads a complete answer.

    Raises:
      http.client.HTTPException: The answer is cut short or too large.
    """
    if received.length is None and not received.chunked:
        raise http.client.HTTPException("the answer's end is not marked")
    body = received.read(_MAX_BODY_BYTES + 1)
    if len(body) > _MAX_BODY_BYTES:
        raise http.client.HTTPException("the answer is too large")
    if received.length:
        raise http.client.IncompleteRead(body, received.length)
    return core.Response(
        status=received.status,
        headers=[(k.lower(), v) for k, v in received.getheaders()],
        body=body,
    )
