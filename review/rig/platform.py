"""Stand-ins for the platform: store, backend servers, callers and hosts.

Everything runs in one asyncio event loop; the nodes are separate processes,
started with the command of the deploy file. All addresses are loopback
addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
CONTACT_S = 3.0
GRACE_S = 6.0
_SETTINGS = """\
nodeName = "{name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "penang"
internalPortRange = [{peer_port},{peer_port_end}]
seedNodes = []
bootstrap = {bootstrap}
countsInTolerance = false
discovery = "local"
entry = "local"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
bounds = ["seedLagS=3","reuseAfterS=2","contactMs=3000","ackTimeoutMs=4000","catchUpS=4","drainMs=2000","graceS=6","lossSlackMs=200","configApplyMs=2000","rollbackSlackMs=250","maxStretchMs=5000","retryBudgetRatio=0.2","budgetWindowS=10","retryBudgetSlack=48","recoveryS=15"]
appAddr = "{ip}:{server_port}"
service = "{service}"
[zones]
{zones}
[listenAddrs]
inbound = "{ip}:{inbound_port}"
outbound = "{ip}:{outbound_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{control_port}"
[limits]
cpuShare = 0.86
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Record:
    """Record of what was sent, answered and run, with seconds since start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


async def read_head(reader):
    """Reads a message head; returns its first line and headers, or None."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def render(first_line, headers, body=b""):
    lines = [first_line, *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's object store: linearizable, with watches."""

    def __init__(self):
        self._objects = {}
        self._history = []
        self._revision = 100
        self._changed = asyncio.Condition()
        self.address = ""

    async def start(self, ip):
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec):
        async with self._changed:
            self._write(kind, name, spec)
            self._changed.notify_all()

    def _write(self, kind, name, spec):
        self._revision += 1
        found = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": self._revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects.setdefault(kind, {})[name] = found
        self._history.append((self._revision, kind, found))
        return found

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                status, document = await self._answer(method, target, body)
                data = json.dumps(document).encode()
                writer.write(
                    render(
                        f"HTTP/1.1 {status} X",
                        {
                            "Content-Type": "application/json",
                            "Content-Length": len(data),
                            "Store-Era": 1,
                        },
                        data,
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        parts = path.removeprefix("/-/objects/").split("/")
        kind, name = parts[0], urllib.parse.unquote("/".join(parts[1:2]))
        async with self._changed:
            objects = self._objects.setdefault(kind, {})
            if method == "GET" and name:
                if name not in objects:
                    return 404, {}
                return 200, objects[name]
            if method == "GET" and "watch" in query:
                after = int(query["watch"])

                def events():
                    return [
                        {"object": found, "removed": False}
                        for revision, changed, found in self._history
                        if changed == kind and revision > after
                    ]

                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(
                        self._changed.wait_for(events),
                        int(query.get("waitMs", "0")) / 1000,
                    )
                return 200, {
                    "events": events(),
                    "storeRevision": self._revision,
                }
            if method == "GET":
                return 200, {
                    "items": list(objects.values()),
                    "hasMore": False,
                    "storeRevision": self._revision,
                }
            document = json.loads(body)
            metadata = document["metadata"]
            found = objects.get(metadata["name"])
            if method == "POST":
                if found is not None:
                    return 409, found
            else:
                if found is None:
                    return 404, {}
                expected = metadata.get("revision")
                if expected is not None and (
                    found["metadata"]["revision"] != expected
                ):
                    return 409, found
            written = self._write(kind, metadata["name"], document["spec"])
            self._changed.notify_all()
            return 200, written


class Server:
    """Backend server that answers as the platform's pages say.

    Attributes:
      work_s: Time that a run takes.
      answer: Body of each answer.
      runs: Pairs of time and headers of the requests that were run.
    """

    def __init__(self, *, record, server_id, service, zone, address, control):
        self.record = record
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.address = address
        self.control = control
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.is_leaving = False
        self.sends_heartbeats = True
        self.work_s = 0.05
        self.answer = b"answer"
        self.slots = 16
        self.running = 0
        self.runs = []
        self._sequence = 0
        self._server = None
        self._beats = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._beats = asyncio.create_task(self._send_heartbeats())
        self.record.write(f"server {self.server_id} ({self.service}) starts")

    async def stop(self):
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.write(f"server {self.server_id} has exited")

    def build_heartbeat(self):
        self._sequence += 1
        return {
            "service": self.service,
            "address": "%s:%d" % self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    async def send_heartbeat(self, heartbeat=None):
        return await self._post(
            "heartbeat", heartbeat or self.build_heartbeat()
        )

    async def deregister(self):
        self.is_leaving = True
        self.sends_heartbeats = False
        return await self._post("deregister", {"born": self.born})

    async def _post(self, action, document):
        answer = await request(
            self.control,
            "POST",
            f"/-/instances/{self.server_id}/{action}",
            {"Content-Type": "application/json"},
            json.dumps(document).encode(),
            timeout_s=1.0,
        )
        return answer.status

    async def _send_heartbeats(self):
        while True:
            if self.sends_heartbeats:
                with contextlib.suppress(OSError, asyncio.TimeoutError):
                    await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await self._handle(writer, *head, body)
                if self.is_leaving:
                    break
        self._writers.discard(writer)
        writer.close()

    async def _handle(self, writer, first_line, headers, body):
        method, target, _ = first_line.split(" ")
        answer_headers = {
            "X-Bergamotdeal-Instance-Id": self.server_id,
            "X-Bergamotdeal-Server-Load": f"{self.running},0,{self.slots}",
            "Keep-Alive": "timeout=10",
        }
        if self.is_leaving:
            answer_headers["Connection"] = "close"
        attempt_id = headers.get("x-bergamotdeal-attempt-id", "")
        if attempt_id:
            answer_headers["X-Bergamotdeal-Attempt-Id"] = attempt_id
        expected = headers.get("x-bergamotdeal-expected-instance")
        status, content = 200, b""
        if target == "/health":
            status = 503 if self.is_leaving else 200
        elif expected not in (None, self.server_id):
            status = 421
        elif self.running >= self.slots:
            status = 503
            answer_headers["X-Bergamotdeal-Not-Executed"] = "1"
        else:
            status, content = await self._run(
                answer_headers, method, target, headers, attempt_id
            )
        answer_headers["Content-Length"] = len(content)
        writer.write(render(f"HTTP/1.1 {status} X", answer_headers, content))
        await writer.drain()

    async def _run(self, answer_headers, method, target, headers, attempt_id):
        self.running += 1
        self.runs.append((self.record.now(), headers))
        caller = headers.get("x-bergamotdeal-caller-service")
        self.record.write(
            f"server {self.server_id} runs {method} {target} of attempt "
            f"{attempt_id}, caller service {caller}"
        )
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        answer_headers["X-Bergamotdeal-Response-Seal"] = f"seal.{attempt_id}"
        self.record.write(
            f"server {self.server_id} has run attempt {attempt_id} and answers"
        )
        return 200, self.answer


class Answer:
    """Answer to a request; ``body`` is None if the answer is not complete."""

    def __init__(self, status, headers, body, problem=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.problem = problem

    @property
    def is_complete(self):
        return self.body is not None

    def __str__(self):
        if self.status is None:
            return f"no answer ({self.problem})"
        size = "incomplete" if self.body is None else f"{len(self.body)} bytes"
        return f"{self.status}, {size}" + (
            f" ({self.problem})" if self.problem else ""
        )


async def request(
    address,
    method,
    target,
    headers,
    body=b"",
    *,
    timeout_s=10.0,
    receive_buffer=None,
    read_rate=None,
):
    """Sends one request on a connection of its own and reads the answer.

    Args:
      receive_buffer: Size of the socket's receive buffer, for a slow reader.
      read_rate: Bytes of the body to read per second, or None for all.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    got, answer = bytearray(), None
    try:
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, address)
            head = {"Host": "%s:%d" % address, **headers}
            head["Content-Length"] = len(body)
            data = render(f"{method} {target} HTTP/1.1", head, body)
            await loop.sock_sendall(sock, data)
            while b"\r\n\r\n" not in got:
                chunk = await loop.sock_recv(sock, 4096)
                if not chunk:
                    return Answer(None, {}, None, "closed without an answer")
                got += chunk
            raw, _, rest = bytes(got).partition(b"\r\n\r\n")
            lines = raw.decode("latin-1").split("\r\n")
            status = int(lines[0].split(" ")[1])
            fields = {
                k.strip().lower(): v.strip()
                for k, _, v in (line.partition(":") for line in lines[1:])
            }
            answer = Answer(status, fields, None)
            length = int(fields.get("content-length", "0"))
            content = bytearray(rest)
            while len(content) < length:
                if read_rate:
                    await asyncio.sleep(0.05)
                size = int(read_rate * 0.05) if read_rate else 65536
                chunk = await loop.sock_recv(sock, max(1, size))
                if not chunk:
                    answer.problem = (
                        f"closed after {len(content)} of {length} bytes"
                    )
                    return answer
                content += chunk
            answer.body = bytes(content)
            return answer
    except (OSError, asyncio.TimeoutError) as error:
        problem = type(error).__name__
        if answer is None:
            return Answer(None, {}, None, problem)
        answer.problem = f"{problem} after {len(content)} of {length} bytes"
        return answer
    finally:
        sock.close()


class Host:
    """Host with its node process and backend server."""

    def __init__(self, name, ip, zone, service):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.node = None
        self.server = None


class Fleet:
    """Hosts, their nodes and servers, and the store.

    Args:
      record: Record to write to.
      services: Service and zone of each host.
    """

    def __init__(self, record, services):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.store_ip = f"{net}.250"
        self.hosts = [
            Host(f"sidecar-{zone}-{index}", f"{net}.{index + 1}", zone, service)
            for index, (service, zone) in enumerate(services)
        ]
        self._zones = sorted({zone for _, zone in services})
        self.ports = _find_free_ports([host.ip for host in self.hosts])
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"]["node"]["run"].split(" ")
        self._is_first_start = True

    def address(self, host, port_name):
        return host.ip, self.ports[port_name]

    async def write_config(self, version, routes):
        columns = [
            "name",
            "host",
            "pathPrefix",
            "routeType",
            "timeoutMs",
            "targetLatencyMs",
            "priority",
            "trafficSplit",
            "maxAttempts",
            "service",
        ]
        services = sorted({host.service for host in self.hosts})
        config = {
            "version": f"{version:08x}",
            "routes": {
                "columns": columns,
                "rows": [[route.get(c) for c in columns] for route in routes],
            },
            "services": {
                "columns": ["name", "healthPath", "maxConnections"],
                "rows": [[name, "/health", 448] for name in services],
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        await self.store.put("config", "main", config)
        size = len(json.dumps(config, separators=(",", ":")))
        self.record.write(
            f"the store has acknowledged config version {version}: "
            f"{len(routes)} routes, {size} bytes"
        )

    async def start(self):
        for host in self.hosts:
            host.server = self.build_server(host, f"i-{host.name}")
            await host.server.start()
        for host in self.hosts:
            self.start_node(host)
        self._is_first_start = False
        for host in self.hosts:
            await self.wait_ready(host)
        # Heartbeats and gossip reach everyone before traffic starts.
        await asyncio.sleep(3.0)

    def build_server(self, host, server_id):
        return Server(
            record=self.record,
            server_id=server_id,
            service=host.service,
            zone=host.zone,
            address=self.address(host, "server"),
            control=self.address(host, "control"),
        )

    def start_node(self, host):
        path = self.folder / f"{host.name}.toml"
        ports = self.ports
        path.write_text(
            _SETTINGS.format(
                name=host.name,
                ip=host.ip,
                zone=host.zone,
                service=host.service,
                peer_port=ports["peer"],
                peer_port_end=ports["peer"] + 15,
                server_port=ports["server"],
                inbound_port=ports["inbound"],
                outbound_port=ports["outbound"],
                ready_port=ports["ready"],
                control_port=ports["control"],
                zones="\n".join(f'{zone} = "penang"' for zone in self._zones),
                store=self.store.address,
                bootstrap="true" if self._is_first_start else "false",
            )
        )
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["BERGAMOTDEAL_SETTINGS"] = str(path)
        with (self.folder / f"{host.name}.log").open("ab") as log:
            host.node = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write(f"node {host.name} starts (pid {host.node.pid})")

    async def kill_node(self, host):
        host.node.kill()
        await asyncio.to_thread(host.node.wait)
        self.record.write(f"node {host.name} was killed (SIGKILL)")

    def terminate_node(self, host):
        host.node.send_signal(signal.SIGTERM)
        self.record.write(f"node {host.name} gets SIGTERM")

    async def is_ready(self, host):
        answer = await request(
            self.address(host, "ready"), "GET", "/-/ready", {}, timeout_s=1.0
        )
        return answer.status == 200

    async def wait_ready(self, host, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        while not await self.is_ready(host):
            if time.monotonic() > until:
                raise SetupError(f"{host.name} does not get ready")
            await asyncio.sleep(0.1)
        self.record.write(f"node {host.name} is ready")

    async def call(
        self,
        host,
        authority,
        target,
        *,
        method="GET",
        body=b"",
        deadline_ms=5000,
        note=True,
        **reading,
    ):
        """Sends a client's request; returns its attempt id and answer."""
        attempt_id = random.randbytes(8).hex()
        if note:
            self.record.write(
                f"client sends {method} {authority}{target}, attempt "
                f"{attempt_id}, to {host.name}"
            )
        answer = await request(
            self.address(host, "outbound"),
            method,
            target,
            {
                "Host": authority,
                "X-Bergamotdeal-Attempt-Id": attempt_id,
                "X-Bergamotdeal-Deadline-Ms": str(deadline_ms),
            },
            body,
            timeout_s=deadline_ms / 1000,
            **reading,
        )
        if note:
            self.record.write(f"client gets for attempt {attempt_id}: {answer}")
        return attempt_id, answer

    def close(self):
        """Kills the nodes that still run and removes the folder."""
        for host in self.hosts:
            if host.node is not None and host.node.poll() is None:
                host.node.kill()
                host.node.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class SetupError(Exception):
    """The case could not run."""


def route(name, service, **overrides):
    return {
        "name": name,
        "host": f"{name}.example",
        "pathPrefix": "/",
        "routeType": "idempotent",
        "timeoutMs": 5000,
        "targetLatencyMs": 1500,
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
    } | overrides


def _find_free_ports(ips):
    """Returns ports that are free on all addresses, by name."""
    names = ("server", "inbound", "ready", "outbound", "control")
    for _ in range(50):
        base = random.randrange(20_000, 30_000)
        ports = {name: base + index for index, name in enumerate(names)}
        ports["peer"] = base + 20
        wanted = [*ports.values(), 9464]
        if all(_is_free(ip, port) for ip in ips for port in wanted):
            return ports
    raise SetupError("no free ports")


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def main(folder, case):
    """Runs a case and exits with 1 if the rule was broken, 0 or 2.

    Args:
      folder: Folder of the case, in which record.txt is written.
      case: Coroutine function that takes the record and whether to bring
        about the disruption, and returns the violations that it saw.
    """
    # Connections that are open at the end are closed with the process.
    sys.unraisablehook = lambda _: None
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"starts {'with' if has_trouble else 'without'} disruption")

    async def run_case():
        # A terminated script, too, ends the processes that it started.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(record, has_trouble), 110)

    try:
        violations = asyncio.run(run_case())
    except (
        SetupError,
        asyncio.CancelledError,
        asyncio.TimeoutError,
        OSError,
    ) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    for violation in violations:
        record.write(f"VIOLATION: {violation}")
        print(f"VIOLATION: {violation}")
    verdict = "broken" if violations else "held"
    record.write(f"the rule was {verdict}")
    print(f"the rule was {verdict}")
    sys.exit(1 if violations else 0)
