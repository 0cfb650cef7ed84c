"""A client for programs that run Twisted's reactor."""

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
_ANSWER_GRACE_S = 0.5
"""Time by which a node's own answer at the deadline may be late."""


@interface.implementer(iweb.IBodyProducer)
class _Body:
    """A request body that is written at once."""

    def __init__(self, *, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer):  # noqa: N802
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self):  # noqa: N802
        """Does nothing, the body is written already."""

    def resumeProducing(self):  # noqa: N802
        """Does nothing, the body is written already."""

    def stopProducing(self):  # noqa: N802
        """Does nothing, the body is written already."""


def _make_agent(reactor) -> web_client.Agent:
    # A persistent pool would send a request again on its own.
    pool = web_client.HTTPConnectionPool(reactor, persistent=False)
    return web_client.Agent(
        reactor, pool=pool, connectTimeout=_CONNECT_TIMEOUT_S
    )


class Client:
    """Calls services through the entry faces of nodes.

    Args:
      reactor: The reactor.
      entries: IP address and port of each entry face to use; each attempt
        goes to the next one.
      policy: Bounds on the sendings of one call.
      rng: Source of request ids and jitter.
      agent: Sends requests; by default one without persistent connections.
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
            raise ValueError("no entry face is given")
        self._reactor = reactor
        self._entries = entries
        self._policy = policy or core.RetryPolicy()
        self._rng = rng or random.SystemRandom()
        self._agent = agent or _make_agent(reactor)
        self._next_entry = self._rng.randrange(len(entries))

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
          A Deferred of the service's answer, or of what is known without
          one, as ``result.Ok`` or ``result.Err``.
        """
        conversation = core.CallStateMachine(
            policy=self._policy,
            now=self._reactor.seconds(),
            rng=self._rng,
            request_id=request_id,
            ticket=ticket,
        )
        target = f"/{service}{path}"
        while True:
            step = yield self._send(
                conversation, method, target, body, headers or []
            )
            match step:
                case core.ReturnResponse(response=response):
                    return result.Ok(response)
                case core.ReturnFailure(failure=failure):
                    return result.Err(failure)
                case core.SendAgain(after_s=after_s):
                    yield task.deferLater(self._reactor, after_s)

    @defer.inlineCallbacks
    def _send(
        self,
        conversation: core.CallStateMachine,
        method: str,
        target: str,
        body: bytes,
        headers: list[tuple[str, str]],
    ):
        """Sends the request once and returns what to do next."""
        now = self._reactor.seconds()
        address, port = self._entries[self._next_entry]
        self._next_entry = (self._next_entry + 1) % len(self._entries)
        raw_headers = http_headers.Headers()
        for name, value in [*headers, *conversation.headers(now)]:
            raw_headers.addRawHeader(name, value)
        url = f"http://{address}:{port}{target}"
        exchange = self._exchange(method, url, raw_headers, body)
        left_s = conversation.time_left_s(now) + _ANSWER_GRACE_S
        exchange.addTimeout(left_s, self._reactor)
        try:
            response = yield exchange
        except error.ConnectError:
            return conversation.unreachable(self._reactor.seconds())
        except Exception:
            # Whatever else broke the exchange, the request may have left.
            return conversation.lost(self._reactor.seconds())
        return conversation.answered(response, self._reactor.seconds())

    @defer.inlineCallbacks
    def _exchange(
        self,
        method: str,
        url: str,
        headers: http_headers.Headers,
        body: bytes,
    ):
        """Returns the complete answer to one sending."""
        received = yield self._agent.request(
            method.encode(), url.encode(), headers, _Body(body=body)
        )
        # It fails for a body that is cut short or whose end is not marked.
        content = yield web_client.readBody(received)
        pairs = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, values in received.headers.getAllRawHeaders()
            for value in values
        ]
        return core.Response(status=received.code, headers=pairs, body=content)
