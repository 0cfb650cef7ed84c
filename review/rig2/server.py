"""Stand-in for a backend server on a machine of the platform."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import socket
import struct
import time

import http1

HEALTH_PATH = "/health"
HEARTBEAT_S = 0.5
_RANDOM_BYTES = os.urandom(1024 * 1024)
_NO_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass(kw_only=True)
class Behaviour:
    """What the servers of a service do with a request.

    Attributes:
      work_s: Time that a run takes, in seconds.
      answer_bytes: Size of an answer's body.
      crashes: Returns whether a request crashes the server that runs it.
      back_after_s: Time after a crash until the server is back.
      runs_on: Whether a run goes on when its connection has closed.
      calls: Returns the calls that a run makes when its work is done, as pairs
        of host name and path.
    """

    work_s: float = 0.05
    answer_bytes: int = 40
    crashes: Callable[[http1.Message], bool] = lambda _: False
    back_after_s: float = 2.0
    runs_on: bool = False
    calls: Callable[[http1.Message], list[tuple[str, str]]] = lambda _: []


class Server:
    """Backend server that starts again after a crash.

    Args:
      machine: Machine that it runs on.
      behaviour: What it does with a request.
      record: Called with the name of an event and its fields.
    """

    def __init__(
        self, *, machine, behaviour: Behaviour, record: Callable[..., None]
    ) -> None:
        self._machine = machine
        self._behaviour = behaviour
        self._record = record
        self._boot = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._runs: set[asyncio.Task] = set()
        self._heartbeats: asyncio.Task | None = None
        self._sequence = 0
        self._born = 0
        self._is_up = False
        self.server_id = ""

    async def start(self) -> None:
        """Starts a new boot with an id of its own."""
        self._boot += 1
        self.server_id = f"i-{self._machine.name}-{self._boot}"
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        self._server = await asyncio.start_server(
            self._serve,
            self._machine.ip,
            self._machine.APP_PORT,
            limit=http1.MAX_HEAD_BYTES,
        )
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())
        self._is_up = True
        self._record("server-start", server=self.server_id)

    def stop(self) -> None:
        """Ends the server at once; its connections are reset."""
        self._is_up = False
        if self._server is not None:
            self._server.close()
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for writer in list(self._connections):
            _reset(writer)
        current = asyncio.current_task()
        for run in self._runs - {current}:
            run.cancel()

    async def _crash(self, attempt_id: str) -> None:
        self._record("server-crash", server=self.server_id, id=attempt_id)
        self.stop()
        restart = asyncio.ensure_future(self._come_back())
        self._machine.background.add(restart)

    async def _come_back(self) -> None:
        await asyncio.sleep(self._behaviour.back_after_s)
        await self.start()

    async def _send_heartbeats(self) -> None:
        while True:
            self._sequence += 1
            await http1.call(
                (self._machine.ip, self._machine.CONTROL_PORT),
                f"POST /-/instances/{self.server_id}/heartbeat HTTP/1.1",
                {"Host": "node", "Content-Type": "application/json"},
                json.dumps(self._build_heartbeat()).encode(),
                timeout_s=1.0,
            )
            await asyncio.sleep(HEARTBEAT_S)

    def _build_heartbeat(self) -> dict:
        return {
            "service": self._machine.service,
            "address": f"{self._machine.ip}:{self._machine.APP_PORT}",
            "zone": self._machine.zone,
            "version": "v1",
            "slots": self._machine.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _serve(self, reader, writer) -> None:
        self._connections.add(writer)
        task = asyncio.current_task()
        self._runs.add(task)
        try:
            while (request := await http1.read_message(reader)) is not None:
                answer = await self._answer(request)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, http1.BrokenMessageError):
            return
        finally:
            self._runs.discard(task)
            self._connections.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _answer(self, request: http1.Message) -> bytes | None:
        """Returns the answer, or None if the server has crashed."""
        headers_by_name = request.headers_by_name
        attempt_id = headers_by_name.get("x-bergamotdeal-attempt-id", "")
        common = {
            "X-Bergamotdeal-Instance-Id": self.server_id,
            "X-Bergamotdeal-Server-Load": f"0,0,{self._machine.slots}",
        }
        if request.start[1] == HEALTH_PATH:
            return http1.render("HTTP/1.1 200 OK", common)
        if not self._is_up:
            return None
        common["X-Bergamotdeal-Attempt-Id"] = attempt_id
        expected = headers_by_name.get("x-bergamotdeal-expected-instance")
        if expected not in (None, self.server_id):
            return http1.render("HTTP/1.1 421 Misdirected Request", common)
        self._record(
            "run",
            server=self.server_id,
            service=self._machine.service,
            id=attempt_id,
            path=request.start[1],
        )
        if self._behaviour.crashes(request):
            await self._crash(attempt_id)
            return None
        if self._behaviour.runs_on:
            # A client that leaves does not end the run.
            run = asyncio.ensure_future(self._run(request, attempt_id))
            self._machine.background.add(run)
            status = await asyncio.shield(run)
        else:
            status = await self._run(request, attempt_id)
        common["X-Bergamotdeal-Response-Seal"] = f"seal-{attempt_id}"
        body = _RANDOM_BYTES[: self._behaviour.answer_bytes]
        return http1.render(f"HTTP/1.1 {status} X", common, body)

    async def _run(self, request: http1.Message, attempt_id: str) -> int:
        await asyncio.sleep(self._behaviour.work_s)
        status = 200
        for number, (host, path) in enumerate(self._behaviour.calls(request)):
            call_id = f"{attempt_id}.{number}"
            answer = await http1.call(
                (self._machine.ip, self._machine.OUTBOUND_PORT),
                f"GET {path} HTTP/1.1",
                {
                    "Host": host,
                    "X-Bergamotdeal-Attempt-Id": call_id,
                    "X-Bergamotdeal-Deadline-Ms": "1000",
                },
                timeout_s=1.5,
            )
            code = None if answer is None else answer.status
            self._record("call", server=self.server_id, id=call_id, status=code)
            if code != 200:
                status = 500
        return status


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
