"""Simulated backend server.

The server runs each request for a random service time in one of its slots,
holds the slot while it calls the next service through the egress face of its
node, and records each run in a ledger file. ``PUT /_control`` changes its
behaviour.
"""

import collections
import json
import os
import random

import click
from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor
from twisted.internet import task

from bergamotdeal.errors import core as errors
from bergamotdeal.node import http_server
from bergamotdeal.rpc import core as rpc
from bergamotdeal.utils import headers as header_names
from standins import http_client

ANNOUNCE_INTERVAL_S = 1.0
INSTANCE_BYTES = 4


class Behaviour:
    """Injected faults of the server; changed by ``PUT /_control``.

    Attributes:
      slow: Multiplier of the service time.
      shed: Whether every request is rejected with 503.
      crash_path: Prefix of the targets whose requests end the process, or
        empty.
      mute: Whether the server stops announcing itself.
      hang: Whether started requests are never answered.
    """

    def __init__(self) -> None:
        self.slow = 1.0
        self.shed = False
        self.crash_path = ""
        self.mute = False
        self.hang = False


class Ledger:
    """A file with one JSON line for each step of a run.

    Args:
      path: File to append to, or empty to write nothing.
      clock: Function that returns monotonic seconds.
    """

    def __init__(self, *, path: str, clock) -> None:
        self._clock = clock
        self._fd = (
            os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
            if path
            else None
        )

    def write(self, step: str, **fields) -> None:
        """Appends a line for a step.

        Args:
          step: ``started``, ``completed``, ``failed`` or ``cancelled``.
          **fields: Other fields of the line.
        """
        if self._fd is None:
            return
        line = {"time": self._clock(), "step": step, **fields}
        os.write(self._fd, json.dumps(line).encode() + b"\n")


class Run:
    """A request on the server, queued or running."""

    def __init__(self, *, exchange, request) -> None:
        self.exchange = exchange
        self.request = request
        self.request_id = request.header(header_names.REQUEST_ID)
        self.child: defer.Deferred | None = None
        self.started_at = 0.0
        self.tries_left = 0
        self.is_disconnected = False
        self.holds_slot = False


class StandInServer:
    """A simulated backend server with a fixed number of slots.

    Args:
      reactor: Twisted reactor.
      service: Service of the server.
      name: Name of the server in answers and the ledger.
      address: IP address to listen on.
      egress_port: Port of the node's egress face on the same address.
      slots: Number of requests that run concurrently.
      connections: Number of connections that the server announces.
      service_ms: Mean service time in milliseconds.
      next_service: Service that each request calls, or empty.
      tries: Maximum number of attempts of a call to the next service.
      ledger_path: Path of the ledger file, or empty.
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
        self._running_count = 0
        self._queue: collections.deque[Run] = collections.deque()
        self._port = 0

    def start(self, port: int) -> None:
        """Starts listening and announcing the server to its node.

        Args:
          port: TCP port to listen on; zero for any free port.
        """
        factory = http_server.Factory(handler=self._handle_request)
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

    def _handle_request(self, exchange, request) -> None:
        if request.target == "/_control":
            self._handle_control(exchange, request)
            return
        run = Run(exchange=exchange, request=request)
        exchange.on_disconnect = lambda: self._handle_disconnect(run)
        if self._behaviour.shed:
            self._respond(run, 503, b"shed")
            return
        self._queue.append(run)
        self._start_queued_runs()

    def _handle_control(self, exchange, request) -> None:
        for key, value in json.loads(request.body).items():
            setattr(self._behaviour, key, value)
        exchange.respond(_build_answer(200, b"ok"), [])

    def _start_queued_runs(self) -> None:
        while self._queue and self._running_count < self._slots:
            run = self._queue.popleft()
            if not run.is_disconnected:
                self._start_run(run)

    def _start_run(self, run: Run) -> None:
        self._running_count += 1
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
        self._reactor.callLater(service_s, self._finish_work, run)

    def _finish_work(self, run: Run) -> None:
        if not run.holds_slot:
            return
        if not self._next_service:
            self._complete(run, [])
            return
        self._call_next_service(run)

    def _call_next_service(self, run: Run) -> None:
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
            lambda response: self._handle_child_response(run, response),
            lambda _: self._handle_child_failure(run, 0, "lost"),
        )

    def _handle_child_response(self, run: Run, response) -> None:
        run.child = None
        if response.status != 200:
            error = response.headers_by_name.get(header_names.ERROR, "")
            self._handle_child_failure(run, response.status, error)
            return
        self._complete(run, json.loads(response.body)["servers"])

    def _handle_child_failure(self, run: Run, status: int, error: str) -> None:
        run.child = None
        if not run.holds_slot:
            return
        if run.tries_left > 0:
            self._call_next_service(run)
            return
        self._record("failed", run)
        self._release_slot(run)
        text = f"{self._next_service} answered {status} {error}"
        self._respond(run, 502, text.encode())

    def _complete(self, run: Run, servers: list[str]) -> None:
        if not run.holds_slot:
            return
        self._record("completed", run)
        self._release_slot(run)
        body = {
            "request_id": run.request_id,
            "target": run.request.target,
            "servers": [self._name, *servers],
        }
        self._respond(run, 200, json.dumps(body).encode())

    def _respond(self, run: Run, status: int, body: bytes) -> None:
        run.exchange.respond(_build_answer(status, body), [])

    def _handle_disconnect(self, run: Run) -> None:
        run.is_disconnected = True
        if not run.holds_slot:
            return
        self._record("cancelled", run)
        self._release_slot(run)
        if run.child is not None:
            run.child.cancel()

    def _release_slot(self, run: Run) -> None:
        run.holds_slot = False
        self._running_count -= 1
        self._reactor.callLater(0, self._start_queued_runs)

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


def _build_answer(status: int, body: bytes) -> rpc.Answer:
    return rpc.Answer(
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
    """Runs a simulated backend server."""
    server = StandInServer(
        reactor=twisted_reactor, ledger_path=ledger, **options
    )
    server.start(port)
    twisted_reactor.run()


if __name__ == "__main__":
    main()
