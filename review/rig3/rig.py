"""Small stand-ins for the platform: store, servers, clients and node starts.

Only the standard library is used. The nodes are started with the command of
`deploy/system.toml`, on loopback addresses and the real clock.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PREFIX = "X-Bergamotdeal-"
READY, OUTBOUND, CONTROL, APP, INBOUND = 8302, 8304, 8306, 8301, 8300

SETTINGS = """\
nodeName = "{name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "penang"
internalPortRange = [7620,7635]
seedNodes = []
bootstrap = true
countsInTolerance = false
discovery = "local"
entry = "local"
heartbeatMs = {heartbeat_ms}
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
bounds = ["seedLagS=3","reuseAfterS=2","contactMs=3000","ackTimeoutMs=4000","catchUpS=4","drainMs=2000","graceS=6","lossSlackMs=200","configApplyMs=2000","rollbackSlackMs=250","maxStretchMs=5000","retryBudgetRatio=0.2","budgetWindowS=10","retryBudgetSlack=48","recoveryS=15"]
appAddr = "{ip}:{app}"
service = "{service}"
[zones]
{zone} = "penang"
[listenAddrs]
inbound = "{ip}:{inbound}"
outbound = "{ip}:{outbound}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.86
cores = 2
memoryMb = {memory_mb}
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
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._start = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} s  {text}\n")
        self._file.flush()


def reset(writer):
    """Resets a connection, as the kernel of a crashed server does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Reads the head of a message: the first line and the headers."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def render(first, headers, body=b""):
    """Renders a message with a length."""
    lines = [first, *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.history = []
        self.changed = asyncio.Condition()
        self.era = 1
        self.watches = 0

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def write(self, kind, name, spec, status=None):
        """Writes an object; the return is the operator's ack."""
        async with self.changed:
            kept = self.objects.setdefault(kind, {})
            old = kept.get(name)
            if old and old["spec"] == spec:
                return old
            self.revision += 1
            meta = {"name": name, "revision": self.revision,
                    "created": 0, "finalizers": [], "deleting": False}
            new = {"metadata": meta, "spec": spec, "status": status}
            kept[name] = new
            self.history.append((self.revision, kind, new, False))
            self.changed.notify_all()
            return new

    async def _serve(self, reader, writer):
        with contextlib.suppress(Exception):
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, answer = await self.handle(method, target, body)
                writer.write(render(
                    f"HTTP/1.1 {status} X",
                    {"Content-Type": "application/json",
                     "Store-Era": self.era},
                    json.dumps(answer).encode()))
                await writer.drain()
        writer.close()

    async def handle(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        kind, *rest = [urllib.parse.unquote(p) for p in
                       parts.path.removeprefix("/-/objects/").split("/")]
        kept = self.objects.setdefault(kind, {})
        if method == "GET" and rest:
            found = kept.get(rest[0])
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]),
                                     int(query.get("waitMs", 0)) / 1000)
        if method == "GET":
            names = sorted(n for n in kept if n > query.get("after", ""))
            return 200, {"items": [kept[n] for n in names],
                         "hasMore": False, "storeRevision": self.revision}
        sent = json.loads(body) if body else {}
        meta = sent.get("metadata", {})
        name = rest[0] if rest else meta.get("name")
        old = kept.get(name)
        expected = meta.get("revision", query.get("revision"))
        if method == "POST":
            if old:
                return 409, old
        elif not old:
            return 404, {}
        elif expected and int(expected) != old["metadata"]["revision"]:
            return 409, old
        if method == "DELETE":
            async with self.changed:
                self.revision += 1
                self.history.append((self.revision, kind, kept.pop(name), True))
                self.changed.notify_all()
            return 200, {}
        return 200, await self.write(kind, name, sent.get("spec"))

    async def _watch(self, kind, revision, wait_s):
        def events():
            return [{"object": o, "removed": gone}
                    for r, k, o, gone in self.history
                    if k == kind and r > revision]
        self.watches += 1
        try:
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await self.changed.wait_for(events)
                return 200, {"events": events(),
                             "storeRevision": self.revision}
        finally:
            self.watches -= 1


class Server:
    """A sound application server: slots, a queue, a load header, heartbeats."""

    def __init__(self, host, record, *, slots, queue, work_s, server_id=None):
        self.host, self.record = host, record
        self.slots, self.queue = slots, queue
        self.work_s = work_s
        self.id = server_id or "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []
        self.at_work = {}
        self.tasks = []
        self.stop_beats = False

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host.ip, APP)
        self.tasks.append(asyncio.create_task(self._beat()))

    def answer_health(self):
        """Returns the status of the health check."""
        return 200 if self.state == "ready" else 503

    def run_time(self, headers, path):
        """Returns how long a request takes."""
        return self.work_s

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                own = {PREFIX + "Instance-Id": self.id,
                       PREFIX + "Server-Load":
                       f"{self.running},{self.waiting},{self.slots}"}
                if path == "/health":
                    writer.write(render(
                        f"HTTP/1.1 {self.answer_health()} X", own))
                    continue
                await self.handle(reader, writer, method, path, headers,
                                  body, own)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, reader, writer, method, path, headers, body, own):
        attempt = headers.get("x-bergamotdeal-attempt-id", "")
        own[PREFIX + "Attempt-Id"] = attempt
        named = headers.get("x-bergamotdeal-expected-instance", self.id)
        if named != self.id:
            writer.write(render("HTTP/1.1 421 X", own))
            return
        if self.waiting >= self.queue and self.free.locked():
            own[PREFIX + "Not-Executed"] = "1"
            writer.write(render("HTTP/1.1 503 X", own))
            return
        limit_s = int(headers.get("x-bergamotdeal-deadline-ms", 60000)) / 1000
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            started = time.monotonic()
            run = {"id": attempt, "method": method, "path": path,
                   "body": body, "headers": headers, "server": self.id,
                   "at": started}
            self.runs.append(run)
            self.at_work[attempt] = run
            self.record(f"server {self.id} ({self.host.service}) runs {attempt}"
                        f" {method} {path}")
            try:
                await asyncio.sleep(min(self.run_time(headers, path), limit_s))
            finally:
                self.running -= 1
                self.at_work.pop(attempt, None)
        own[PREFIX + "Response-Seal"] = f"seal.{self.id}.{attempt}"
        writer.write(render("HTTP/1.1 200 OK", own,
                            f"{attempt} by {self.id}\n".encode()))
        await writer.drain()

    def beat_body(self):
        self.sequence += 1
        return {"service": self.host.service, "address":
                f"{self.host.ip}:{APP}", "zone": self.host.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born}

    async def call_node(self, action, body):
        """Sends a heartbeat or a deregistration; returns the status."""
        answer = await request(
            self.host.ip, CONTROL, "POST", f"/-/instances/{self.id}/{action}",
            {"Host": "control", "Content-Type": "application/json"},
            json.dumps(body).encode(), timeout_s=1.0)
        return answer.status

    async def _beat(self):
        while not self.stop_beats:
            with contextlib.suppress(OSError, TimeoutError,
                                     asyncio.IncompleteReadError):
                await self.call_node("heartbeat", self.beat_body())
            await asyncio.sleep(self.host.heartbeat_ms / 1000)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()


class Answer:
    """What a client got: a status, headers and a body, or why it got none."""

    def __init__(self, status, headers, body, problem=""):
        self.status, self.headers, self.body = status, headers, body
        self.problem = problem

    def __str__(self):
        if self.problem:
            return f"no complete answer: {self.problem}"
        sealed = "x-bergamotdeal-response-seal" in self.headers
        return f"{self.status} {'sealed' if sealed else 'not sealed'}"


async def request(ip, port, method, target, headers, body=b"", timeout_s=15.0):
    """Sends one request on a new connection and reads the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(render(f"{method} {target} HTTP/1.1", headers, body))
            await writer.drain()
            first, got = await read_head(reader)
            return Answer(int(first.split(" ")[1]), got,
                          await read_body(reader, got))
        finally:
            writer.close()


class Host:
    """A machine: one node process and at most one server."""

    def __init__(self, fleet, name, ip, zone, service, heartbeat_ms):
        self.fleet, self.name, self.ip = fleet, name, ip
        self.zone, self.service = zone, service
        self.heartbeat_ms = heartbeat_ms
        self.process = None
        self.server = None

    def write_settings(self):
        """Writes the settings file as the platform does."""
        path = self.fleet.folder / f"{self.name}.toml"
        path.write_text(SETTINGS.format(
            name=self.name, ip=self.ip, zone=self.zone, service=self.service,
            heartbeat_ms=self.heartbeat_ms, store=self.fleet.store.address,
            app=APP, inbound=INBOUND, outbound=OUTBOUND, ready=READY,
            control=CONTROL, memory_mb=self.fleet.memory_mb))
        return path

    async def start_node(self):
        path = self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BERGAMOTDEAL_SETTINGS"] = str(path)
        self.log = (self.fleet.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)

    async def is_ready(self):
        try:
            answer = await request(self.ip, READY, "GET", "/-/ready",
                                   {"Host": "ready"}, timeout_s=1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class Fleet:
    """Store and hosts; ends all processes when it is left."""

    def __init__(self, record, heartbeat_ms=1500, memory_mb=300):
        self.record = record
        self.memory_mb = memory_mb
        self.heartbeat_ms = heartbeat_ms
        self.hosts = []
        self.store = Store()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self._net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"

    def ip(self, number):
        return f"{self._net}.{number}"

    async def __aenter__(self):
        await self.store.start(self.ip(250))
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                await host.process.wait()
            if host.server:
                await host.server.close()
        if os.environ.get("KEEP_LOGS"):
            for log in self.folder.glob("*.log"):
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / log.name
                target.write_bytes(log.read_bytes())
        self._folder.cleanup()

    def add_host(self, name, zone, service):
        host = Host(self, name, self.ip(len(self.hosts) + 1), zone, service,
                    self.heartbeat_ms)
        self.hosts.append(host)
        return host

    async def write_config(self, version, routes, limits=None, extra=None):
        """Writes a config as the operator; returns when it is acknowledged."""
        columns = list(routes[0])
        services = sorted({h.service for h in self.hosts})
        spec = {
            "version": f"{version:08x}",
            "routes": {"columns": columns,
                       "rows": [[r.get(c) for c in columns] for r in routes]},
            "services": {"columns": ["name", "healthPath", "maxConnections"],
                         "rows": [[s, "/health", 448] for s in services]},
            "limits": limits or {
                "maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
        } | (extra or {})
        await self.store.write("config", "main", spec)
        self.record(f"the store has acknowledged config {version:08x}")

    async def wait_ready(self, timeout_s=20.0):
        """Waits until all nodes are ready and know one another."""
        async with asyncio.timeout(timeout_s):
            for host in self.hosts:
                while not await host.is_ready():
                    await asyncio.sleep(0.05)


def build_route(name, service, **changes):
    """Returns a route of its own host name."""
    return {"name": name, "host": f"{name}.example", "pathPrefix": "/a/",
            "routeType": "idempotent", "timeoutMs": 5000,
            "targetLatencyMs": 1500, "priority": 1, "maxAttempts": 3,
            "service": service, "trafficSplit": None} | changes


async def send(host, route, attempt_id, *, method="GET", target="/a/x",
               body=b"", deadline_ms=5000, record=None, timeout_s=None):
    """Sends a client's request; an answer that is cut gives a problem."""
    record = record or host.fleet.record
    record(f"client sends {attempt_id} {method} {target} to {host.name}")
    headers = {"Host": route["host"], PREFIX + "Attempt-Id": attempt_id,
               PREFIX + "Deadline-Ms": deadline_ms}
    try:
        answer = await request(host.ip, OUTBOUND, method, target, headers,
                               body, timeout_s or deadline_ms / 1000 + 2)
    except TimeoutError:
        answer = Answer(0, {}, b"", "silence")
    except asyncio.IncompleteReadError:
        answer = Answer(0, {}, b"", "the connection ended")
    except ConnectionError as error:
        answer = Answer(0, {}, b"", type(error).__name__)
    record(f"client gets for {attempt_id}: {answer}")
    return answer


def run(main):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    try:
        async def bounded():
            # Connections that are open at the end are cancelled with it.
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda *_: None)
            async with asyncio.timeout(110):
                return await main(record, trouble)
        broken = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001
        record(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    record("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
