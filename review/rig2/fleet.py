"""A small deployment: nodes as processes, with servers, store and operator."""

import asyncio
from collections.abc import Callable
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import http1
import server
import store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PASSED, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ("bayan-lepas", "batu-kawan", "prai")
GRACE_S = 6
START_TIMEOUT_S = 30.0

_STORE_HOST = 250
_RELAY_HOST = 251
_CLAIM_HOST = 254
_CLAIM_PORT = 6998
_STORE_PORT = 8309
_BOUNDS = (
    "seedLagS=3 reuseAfterS=2 contactMs=3000 ackTimeoutMs=4000 catchUpS=4 "
    "drainMs=2000 graceS=6 lossSlackMs=200 configApplyMs=2000 "
    "rollbackSlackMs=250 maxStretchMs=5000 retryBudgetRatio=0.2 "
    "budgetWindowS=10 retryBudgetSlack=48 recoveryS=15"
)
_SETTINGS = """\
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
contracts = ["base","drain","config","cost","retry","recover","pressure"]
bounds = [{bounds}]
appAddr = "{ip}:8301"
service = "{service}"
[zones]
bayan-lepas = "penang"
batu-kawan = "penang"
prai = "penang"
[listenAddrs]
inbound = "{ip}:8300"
outbound = "{ip}:8304"
ready = "{ip}:8302"
control = "{ip}:8306"
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
    """What was sent, answered and run, one JSON line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self.events: list[dict] = []

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, name: str, **fields) -> None:
        """Adds an event."""
        event = {"t": round(self.now(), 3), "event": name, **fields}
        self.events.append(event)
        self._file.write(json.dumps(event) + "\n")
        self._file.flush()

    def list(self, name: str) -> list[dict]:
        """Returns the events of a name."""
        return [each for each in self.events if each["event"] == name]


class Machine:
    """A machine with a node and a server."""

    APP_PORT = 8301
    READY_PORT = 8302
    OUTBOUND_PORT = 8304
    CONTROL_PORT = 8306

    def __init__(
        self, *, name: str, ip: str, zone: str, service: str, slots: int
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.slots = slots
        self.node: subprocess.Popen | None = None
        self.server: server.Server | None = None
        self.background: set[asyncio.Future] = set()


class Fleet:
    """Machines, store and operator of a small deployment.

    Args:
      record: Takes what happens.
      services: Service of each machine.
      behaviours_by_service: What the servers of each service do.
      slots: Slots of each server.
      has_relay: Whether the nodes reach the store through a relay.
    """

    def __init__(
        self,
        *,
        record: Record,
        services: list[str],
        behaviours_by_service: dict[str, server.Behaviour] | None = None,
        slots: int = 20,
        has_relay: bool = False,
    ) -> None:
        self.record = record
        self._prefix, self._claim = _claim_network()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._behaviours_by_service = behaviours_by_service or {}
        self._listeners: list[asyncio.Server] = []
        self._has_relay = has_relay
        store_address = (f"{self._prefix}.{_STORE_HOST}", _STORE_PORT)
        self.store = store.Store()
        self.relay = store.Relay(target=store_address)
        self._version = 0
        self.machines = [
            Machine(
                name=f"sidecar-{index + 1}",
                ip=f"{self._prefix}.{index + 1}",
                zone=ZONES[index % len(ZONES)],
                service=service,
                slots=slots,
            )
            for index, service in enumerate(services)
        ]

    async def start(
        self, routes: list[dict], tenants: list[dict] | None = None
    ) -> None:
        """Starts everything and waits until all nodes are ready."""
        store_host = f"{self._prefix}.{_STORE_HOST}"
        self._listeners.append(await self.store.start(store_host, _STORE_PORT))
        if self._has_relay:
            relay_host = f"{self._prefix}.{_RELAY_HOST}"
            self._listeners.append(
                await self.relay.start(relay_host, _STORE_PORT)
            )
        await self.write_config(routes, tenants)
        for machine in self.machines:
            self.start_node(machine)
            behaviour = self._behaviours_by_service.get(
                machine.service, server.Behaviour()
            )
            machine.server = server.Server(
                machine=machine, behaviour=behaviour, record=self.record.add
            )
            await machine.server.start()
        for machine in self.machines:
            await self.wait_ready(machine)

    def close(self) -> None:
        """Ends all processes that were started, and all servers."""
        for machine in self.machines:
            if machine.node is not None and machine.node.poll() is None:
                machine.node.send_signal(signal.SIGCONT)
                machine.node.kill()
                machine.node.wait()
            if machine.server is not None:
                machine.server.stop()
        for listener in self._listeners:
            listener.close()
        self._claim.close()
        shutil.rmtree(self._folder, ignore_errors=True)

    async def write_config(
        self, routes: list[dict], tenants: list[dict] | None = None
    ) -> None:
        """Writes the next version of the config as the operator does."""
        self._version += 3
        services = sorted({machine.service for machine in self.machines})
        config = {
            "version": f"{self._version:08x}",
            "routes": _build_table(routes),
            "services": _build_table(
                [
                    {
                        "name": name,
                        "healthPath": server.HEALTH_PATH,
                        "maxConnections": 448,
                        "protocol": "h1",
                        "tls": False,
                    }
                    for name in services
                ]
            ),
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1048576,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        if tenants is not None:
            config["tenants"] = _build_table(tenants)
        await self.store.put("config", "main", config)
        self.record.add("config-acked", version=config["version"])

    def start_node(self, machine: Machine) -> None:
        """Starts a node with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        store_host = _RELAY_HOST if self._has_relay else _STORE_HOST
        path = self._folder / f"{machine.name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=machine.name,
                ip=machine.ip,
                zone=machine.zone,
                service=machine.service,
                heartbeat_ms=int(server.HEARTBEAT_S * 1000),
                bounds=",".join(f'"{each}"' for each in _BOUNDS.split()),
                store=f"{self._prefix}.{store_host}:{_STORE_PORT}",
            )
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BERGAMOTDEAL_SETTINGS"] = str(path)
        with (self._folder / f"{machine.name}.log").open("ab") as log:
            machine.node = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("node-start", machine=machine.name)

    def read_log(self, machine: Machine) -> str:
        """Returns what a machine's node has logged."""
        return (self._folder / f"{machine.name}.log").read_text()

    async def is_ready(self, machine: Machine) -> bool:
        """Asks a node whether it is ready, as the platform does."""
        answer = await http1.call(
            (machine.ip, machine.READY_PORT),
            "GET /-/ready HTTP/1.1",
            {"Host": "node"},
            timeout_s=1.0,
        )
        return answer is not None and answer.status == 200

    async def wait_ready(self, machine: Machine) -> None:
        """Waits until a node is ready.

        Raises:
          TimeoutError: It isn't ready in time.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready(machine):
                await asyncio.sleep(0.1)

    async def stop_node(self, machine: Machine) -> None:
        """Sends SIGTERM to a node, and SIGKILL after the grace time."""
        self.record.add("sigterm", machine=machine.name)
        machine.node.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                while machine.node.poll() is None:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            machine.node.kill()
        machine.node.wait()
        self.record.add("node-end", machine=machine.name)

    def kill_node(self, machine: Machine) -> None:
        """Kills a node."""
        machine.node.kill()
        machine.node.wait()
        self.record.add("node-killed", machine=machine.name)

    async def send(
        self,
        machine: Machine,
        host: str,
        path: str,
        *,
        attempt_id: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 5000,
        key: str = "",
    ) -> int | None:
        """Sends a client's request; returns its status, None without one."""
        headers_by_name = {
            "Host": host,
            "X-Bergamotdeal-Attempt-Id": attempt_id,
            "X-Bergamotdeal-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers_by_name["Authorization"] = f"Bearer {key}"
        self.record.add(
            "sent", machine=machine.name, id=attempt_id, host=host, path=path
        )
        answer = await http1.call(
            (machine.ip, machine.OUTBOUND_PORT),
            f"{method} {path} HTTP/1.1",
            headers_by_name,
            body,
            timeout_s=deadline_ms / 1000 + 1.0,
        )
        status = None if answer is None else answer.status
        self.record.add("answered", id=attempt_id, status=status)
        return status


def build_route(name: str, service: str, **overrides) -> dict:
    """Returns a route; its host name and prefix follow from its name."""
    return {
        "name": name,
        "host": f"{name}.example",
        "pathPrefix": f"/{name}/",
        "routeType": "idempotent",
        "timeoutMs": 4000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "trafficSplit": None,
        "maxAttempts": 2,
        "service": service,
    } | overrides


def is_troubled() -> bool:
    """Returns whether the disruption of the case is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    folder: pathlib.Path, case: Callable[[Record], "asyncio.Future[bool]"]
) -> None:
    """Runs a case and exits with its result.

    Args:
      folder: Folder of the case, which takes the record.
      case: Runs the case; returns whether the rule held, or None if the case
        could not run.
    """
    record = Record(folder / "record.txt")
    record.add("start", trouble=is_troubled())
    try:
        held = asyncio.run(_run_with_limit(case(record)))
    except (OSError, TimeoutError) as error:
        record.add("not-run", reason=repr(error))
        held = None
    record.add("end", held=held)
    words = {True: "held", False: "was broken", None: "could not be tried"}
    print(f"the rule {words[held]}", flush=True)
    # All processes have ended; the connections of this one need no farewell.
    os._exit({True: PASSED, False: BROKEN, None: NOT_RUN}[held])


async def _run_with_limit(case) -> bool | None:
    async with asyncio.timeout(110):
        return await case


def _build_table(records: list[dict]) -> dict:
    columns = list(records[0])
    return {
        "columns": columns,
        "rows": [[each[name] for name in columns] for each in records],
    }


def _claim_network() -> tuple[str, socket.socket]:
    """Claims a loopback network; its addresses have the ports of a day."""
    for _ in range(100):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        claim = socket.socket()
        try:
            claim.bind((f"{prefix}.{_CLAIM_HOST}", _CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return prefix, claim
    raise OSError("no loopback network is free")
