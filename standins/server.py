"""A stand-in backend server.

It runs each request for its service time in one of its slots, holds the slot
while it calls the next service through its node's egress face, and records
each run in a ledger file. ``PUT /_control`` changes its behaviour.
"""

import collections
import json
import os
import random

import click
from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor
from twisted.internet import task

from bergamotdeal.calls import core as calls
from bergamotdeal.errors import core as errors
from bergamotdeal.node import http_server
from bergamotdeal.utils import headers as header_names
from standins import http_client

ANNOUNCE_INTERVAL_S = 1.0
INSTANCE_BYTES = 4


class Behaviour:
    """What the server does to its requests; changed by ``PUT /_control``.

    Attributes:
      slow: Factor on the service time.
      shed: Whether every request is refused with 503.
      crash_path: Path whose request ends the process, or empty.
      mute: Whether announcements stop.
      hang: Whether requests are never answered.
    """

    def __init__(self) -> None:
        self.slow = 1.0
        self.shed = False
        self.crash_path = ""
        self.mute = False
        self.hang = False


class Ledger:
    """Appends one JSON line per step of a run.

    Args:
      path: File to append to, or empty.
      clock: Returns seconds.
    """

    def __init__(self, *, path: str, clock) -> None:
        self._clock = clock
        self._fd = (
            os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
            if path
            else None
        )

    def write(self, step: str, **fields) -> None:
        """Records a step.

        Args:
          step: ``started``, ``completed``, ``failed`` or ``cancelled``.
          **fields: What belongs to it.
        """
        if self._fd is None:
            return
        line = {"time": self._clock(), "step": step, **fields}
        os.write(self._fd, json.dumps(line).encode() + b"\n")


class Run:
    """One request on the server."""

    def __init__(self, *, exchange, request) -> None:
        self.exchange = exchange
        self.request = request
        self.request_id = request.header(header_names.REQUEST_ID)
        self.child: defer.Deferred | None = None
        self.started_at = 0.0
        self.tries_left = 0
        self.gone = False
        self.holds_slot = False


class StandInServer:
    """The server: slots, service time, child calls and announcements.

    Args:
      reactor: The reactor.
      service: Its service.
      name: Its name in answers and the ledger.
      address: IP address to listen on.
      egress_port: Port of the node's egress face on the same address.
      slots: Requests that run at once.
      connections: Connections that it announces.
      service_ms: Mean service time.
      next_service: Service that each request calls, or empty.
      tries: Sendings of a call to the next service at most.
      ledger_path: Ledger file, or empty.
      seed: Seed of the service times.
    """

    def __init__(
        self,
        *,
        reactor,
        service: str,
        name: str,
        address: str,
        egress_port: int,
        slots: int,
        connections: int,
        service_ms: float,
        next_service: str,
        tries: int,
        ledger_path: str,
        seed: int,
    ) -> None:
        self._reactor = reactor
        self._service = service
        self._name = name
        self._address = address
        self._slots = slots
        self._connections = connections
        self._service_s = service_ms / 1000
        self._next_service = next_service
        self._tries = tries
        self._rng = random.Random(seed)
        self._instance = os.urandom(INSTANCE_BYTES).hex()
        self._behaviour = Behaviour()
        self._ledger = Ledger(path=ledger_path, clock=reactor.seconds)
        self._egress = http_client.Client(
            reactor=reactor, address=address, port=egress_port
        )
        self._running = 0
        self._queue: collections.deque[Run] = collections.deque()
        self._port = 0

    def start(self, port: int) -> None:
        """Starts listening and announcing.

        Args:
          port: TCP port; zero lets the kernel choose one.
        """
        factory = http_server.Factory(handler=self._received)
        listener = self._reactor.listenTCP(
            port, factory, interface=self._address, backlog=1024
        )
        self._port = listener.getHost().port
        task.LoopingCall(self._announce).start(ANNOUNCE_INTERVAL_S)

    def _announce(self) -> None:
        if self._behaviour.mute:
            return
        body = {
            "service": self._service,
            "address": self._address,
            "port": self._port,
            "slots": self._slots,
            "connections": self._connections,
            "instance": self._instance,
        }
        sent = self._egress.request(
            "PUT", "/v1/server", body=json.dumps(body).encode(), timeout_s=1
        )
        sent.addErrback(lambda _: None)

    def _received(self, exchange, request) -> None:
        if request.target == "/_control":
            self._control(exchange, request)
            return
        run = Run(exchange=exchange, request=request)
        exchange.on_disconnect = lambda: self._caller_gone(run)
        if self._behaviour.shed:
            self._respond(run, 503, b"shed")
            return
        self._queue.append(run)
        self._start_next()

    def _control(self, exchange, request) -> None:
        for key, value in json.loads(request.body).items():
            setattr(self._behaviour, key, value)
        exchange.respond(_answer(200, b"ok"), [])

    def _start_next(self) -> None:
        while self._queue and self._running < self._slots:
            run = self._queue.popleft()
            if not run.gone:
                self._start(run)

    def _start(self, run: Run) -> None:
        self._running += 1
        run.holds_slot = True
        run.started_at = self._reactor.seconds()
        run.tries_left = self._tries
        self._record("started", run)
        crash_path = self._behaviour.crash_path
        if crash_path and run.request.target.startswith(crash_path):
            os._exit(1)
        if self._behaviour.hang:
            return
        service_s = self._service_s * self._behaviour.slow
        service_s *= self._rng.uniform(0.5, 1.5)
        self._reactor.callLater(service_s, self._worked, run)

    def _worked(self, run: Run) -> None:
        if not run.holds_slot:
            return
        if not self._next_service:
            self._complete(run, [])
            return
        self._call_next(run)

    def _call_next(self, run: Run) -> None:
        run.tries_left -= 1
        run.child = self._egress.request(
            run.request.method,
            f"/{self._next_service}{run.request.target}",
            headers_by_name={
                header_names.CONTEXT: run.request.header(header_names.CONTEXT)
            },
            body=run.request.body,
        )
        run.child.addCallbacks(
            lambda response: self._child_answered(run, response),
            lambda _: self._child_failed(run, 0, "lost"),
        )

    def _child_answered(self, run: Run, response) -> None:
        run.child = None
        if response.status != 200:
            error = response.headers_by_name.get(header_names.ERROR, "")
            self._child_failed(run, response.status, error)
            return
        self._complete(run, json.loads(response.body)["servers"])

    def _child_failed(self, run: Run, status: int, error: str) -> None:
        run.child = None
        if not run.holds_slot:
            return
        if run.tries_left > 0:
            self._call_next(run)
            return
        self._record("failed", run)
        self._release(run)
        text = f"{self._next_service} answered {status} {error}"
        self._respond(run, 502, text.encode())

    def _complete(self, run: Run, servers: list[str]) -> None:
        if not run.holds_slot:
            return
        self._record("completed", run)
        self._release(run)
        body = {
            "request_id": run.request_id,
            "target": run.request.target,
            "servers": [self._name, *servers],
        }
        self._respond(run, 200, json.dumps(body).encode())

    def _respond(self, run: Run, status: int, body: bytes) -> None:
        run.exchange.respond(_answer(status, body), [])

    def _caller_gone(self, run: Run) -> None:
        run.gone = True
        if not run.holds_slot:
            return
        self._record("cancelled", run)
        self._release(run)
        if run.child is not None:
            run.child.cancel()

    def _release(self, run: Run) -> None:
        run.holds_slot = False
        self._running -= 1
        self._reactor.callLater(0, self._start_next)

    def _record(self, step: str, run: Run) -> None:
        self._ledger.write(
            step,
            request_id=run.request_id,
            service=self._service,
            server=self._name,
            method=run.request.method,
            target=run.request.target,
            busy_s=self._reactor.seconds() - run.started_at,
        )


def _answer(status: int, body: bytes) -> calls.Answer:
    return calls.Answer(
        outcome=errors.Outcome.COMPLETED, status=status, body=body
    )


@click.command()
@click.option("--service", required=True)
@click.option("--name", required=True)
@click.option("--address", default="127.0.0.1")
@click.option("--port", default=0)
@click.option("--egress-port", required=True, type=int)
@click.option("--slots", default=50)
@click.option("--connections", default=400)
@click.option("--service-ms", default=5.0)
@click.option("--next-service", default="")
@click.option("--tries", default=1)
@click.option("--ledger", default="")
@click.option("--seed", default=1)
def main(port: int, ledger: str, **options) -> None:
    """Runs a stand-in backend server."""
    server = StandInServer(
        reactor=twisted_reactor, ledger_path=ledger, **options
    )
    server.start(port)
    twisted_reactor.run()


if __name__ == "__main__":
    main()
