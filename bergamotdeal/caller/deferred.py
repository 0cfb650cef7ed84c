"""Client for programs that run the Twisted reactor."""

import random

import result
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import client as web_client
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

from bergamotdeal.caller import core

_CONNECT_TIMEOUT_S = 2.0
_ANSWER_GRACE_PERIOD_S = 0.5
"""Time to wait after the deadline for the node's own error answer."""


@interface.implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Body producer that writes a request body in one piece."""

    def __init__(self, *, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer):  # noqa: N802
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self):  # noqa: N802
        """Does nothing, since the body is already written."""

    def resumeProducing(self):  # noqa: N802
        """Does nothing, since the body is already written."""

    def stopProducing(self):  # noqa: N802
        """Does nothing, since the body is already written."""


def _build_agent(reactor) -> web_client.Agent:
    # A persistent pool would retry requests on its own.
    pool = web_client.HTTPConnectionPool(reactor, persistent=False)
    return web_client.Agent(
        reactor, pool=pool, connectTimeout=_CONNECT_TIMEOUT_S
    )


class Client:
    """Twisted client that calls services through the entry listeners of nodes.

    Args:
      reactor: Twisted reactor.
      entries: IP address and port of each entry listener to use. The requests
        go to them in rotation.
      policy: Retry policy of each call.
      rng: Source of request ids and jitter.
      agent: HTTP agent; by default one without persistent connections.
    """

    def __init__(
        self,
        *,
        reactor,
        entries: list[tuple[str, int]],
        policy: core.RetryPolicy | None = None,
        rng: random.Random | None = None,
        agent: iweb.IAgent | None = None,
    ):
        if not entries:
            raise ValueError("entries is empty: no entry face is given")
        self._reactor = reactor
        self._entries = entries
        self._policy = policy or core.RetryPolicy()
        self._rng = rng or random.SystemRandom()
        self._agent = agent or _build_agent(reactor)
        self._next_entry_index = self._rng.randrange(len(entries))

    @defer.inlineCallbacks
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
    ):
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
          A Deferred of a result: the service's answer, or a failure that says
          what is known about the request.
        """
        state_machine = core.Conversation(
            policy=self._policy,
            now=self._reactor.seconds(),
            rng=self._rng,
            request_id=request_id,
            ticket=ticket,
        )
        target = f"/{service}{path}"
        while True:
            step = yield self._send_request(
                state_machine, method, target, body, headers or []
            )
            match step:
                case core.Succeed(response=response):
                    return result.Ok(response)
                case core.Fail(failure=failure):
                    return result.Err(failure)
                case core.Send(after_s=after_s):
                    yield task.deferLater(self._reactor, after_s)

    @defer.inlineCallbacks
    def _send_request(
        self,
        state_machine: core.Conversation,
        method: str,
        target: str,
        body: bytes,
        headers: list[tuple[str, str]],
    ):
        """Sends the request once and returns the next step."""
        now = self._reactor.seconds()
        address, port = self._entries[self._next_entry_index]
        self._next_entry_index = (self._next_entry_index + 1) % len(
            self._entries
        )
        raw_headers = http_headers.Headers()
        for name, value in [*headers, *state_machine.headers(now)]:
            raw_headers.addRawHeader(name, value)
        url = f"http://{address}:{port}{target}"
        pending_response = self._request(method, url, raw_headers, body)
        timeout_s = state_machine.time_left_s(now) + _ANSWER_GRACE_PERIOD_S
        pending_response.addTimeout(timeout_s, self._reactor)
        try:
            response = yield pending_response
        except error.ConnectError:
            return state_machine.unreachable(self._reactor.seconds())
        except Exception:
            # After any other error, the request may have been sent.
            return state_machine.lost(self._reactor.seconds())
        return state_machine.answered(response, self._reactor.seconds())

    @defer.inlineCallbacks
    def _request(
        self,
        method: str,
        url: str,
        headers: http_headers.Headers,
        body: bytes,
    ):
        """Sends one HTTP request and returns the complete answer."""
        received = yield self._agent.request(
            method.encode(), url.encode(), headers, _BytesProducer(body=body)
        )
        # Fails if the body is truncated or its length is not known.
        content = yield web_client.readBody(received)
        header_pairs = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, values in received.headers.getAllRawHeaders()
            for value in values
        ]
        return core.Response(
            status=received.code, headers=header_pairs, body=content
        )
