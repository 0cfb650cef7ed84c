"""Starts real node and stand-in processes on loopback addresses.

Each host has an address of its own in 127.0.0.0/8 with fixed ports, so that
no port has to be agreed and clusters of different programs don't meet.
"""

import dataclasses
import http.client
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

ENTRY_PORT = 7000
EGRESS_PORT = 7001
PEER_PORT = 7002
ADMIN_PORT = 7003
SERVER_PORT = 7004
STORE_PORT = 7005
PEER_KEY = "standin-key-0123456789"
MAX_PROCESSES = 100
POLL_S = 0.02
COMMAND_TIMEOUT_S = 30
START_TIMEOUT_S = 20.0

_cluster_numbers = itertools.count(1)


@dataclasses.dataclass(kw_only=True)
class Host:
    """A host with its node and stand-in backend server.

    Attributes:
      host_id: Name of the host.
      data_centre: Data centre.
      region: Region.
      address: Its loopback address.
      service: Service of its backend server, or empty for none.
      next_service: Service that the server calls, or empty.
      slots: Slots of the server.
      connections: Connections that the server announces.
      service_ms: Mean service time.
      tries: Sendings of a call by the server to the next service.
      node: The node process, or None while it is down.
      server: The server process, or None while it is down.
    """

    host_id: str
    data_centre: str
    region: str = "default"
    address: str
    service: str = ""
    next_service: str = ""
    slots: int = 20
    connections: int = 200
    service_ms: float = 5.0
    tries: int = 1
    node: subprocess.Popen | None = None
    server: subprocess.Popen | None = None


class Cluster:
    """A set of hosts and, if wanted, the store stand-in.

    Args:
      folder: Folder for settings, ledgers and logs.
      with_store: Whether nodes get a store.
      preset: Text of the preset in INI, or empty for the nodes' default.
      node_options: Extra command line options of ``bergamotdeal node``.
      command: Command that runs ``bergamotdeal``.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        with_store: bool = False,
        preset: str = "",
        node_options: tuple[str, ...] = (),
        command: tuple[str, ...] = (sys.executable, "-m", "bergamotdeal"),
    ) -> None:
        number = os.getpid() * 8 + next(_cluster_numbers)
        self._network_prefix = f"127.{1 + number // 250 % 250}.{number % 250}"
        self.folder = folder
        self.hosts_by_id: dict[str, Host] = {}
        self.store: subprocess.Popen | None = None
        self.store_address = f"{self._network_prefix}.250"
        self._with_store = with_store
        self._preset = preset
        self._node_options = node_options
        self._command = command
        self._processes: list[subprocess.Popen] = []
        folder.mkdir(parents=True, exist_ok=True)

    def add_host(self, host_id: str, data_centre: str, **options) -> Host:
        """Adds a host; nothing is started yet.

        Args:
          host_id: Name of the host.
          data_centre: Its data centre.
          **options: Further fields of ``Host``.
        """
        address = f"{self._network_prefix}.{len(self.hosts_by_id) + 1}"
        host = Host(
            host_id=host_id, data_centre=data_centre, address=address, **options
        )
        self.hosts_by_id[host_id] = host
        return host

    def __enter__(self) -> "Cluster":
        """Returns the cluster."""
        return self

    def __exit__(self, *exc_info) -> None:
        """Ends all processes."""
        self.stop()

    def start(self) -> None:
        """Starts everything and waits until each node is ready."""
        if self._with_store:
            self.start_store()
        for host in self.hosts_by_id.values():
            self.start_node(host)
            if host.service:
                self.start_server(host)
        for host in self.hosts_by_id.values():
            self.wait_until_ready(host)

    def start_store(self) -> None:
        """Starts the store stand-in."""
        self.store = self._spawn(
            "store",
            sys.executable,
            "-m",
            "standins.store",
            "--address",
            self.store_address,
            "--port",
            str(STORE_PORT),
        )

    def start_node(self, host: Host) -> None:
        """Starts a host's node.

        Args:
          host: The host.
        """
        path = self.folder / f"{host.host_id.replace('/', '-')}.ini"
        path.write_text(self._settings(host))
        host.node = self._spawn(
            f"{host.host_id}-node",
            *self._command,
            "node",
            "--settings",
            str(path),
            *self._node_options,
        )

    def start_server(self, host: Host) -> None:
        """Starts a host's stand-in backend server.

        Args:
          host: The host.
        """
        options = {
            "service": host.service,
            "name": host.host_id,
            "address": host.address,
            "port": SERVER_PORT,
            "egress-port": EGRESS_PORT,
            "slots": host.slots,
            "connections": host.connections,
            "service-ms": host.service_ms,
            "next-service": host.next_service,
            "tries": host.tries,
            "ledger": self.ledger_path(host),
        }
        arguments = [
            text for k, v in options.items() for text in (f"--{k}", str(v))
        ]
        host.server = self._spawn(
            f"{host.host_id}-server",
            sys.executable,
            "-m",
            "standins.server",
            *arguments,
        )

    def ledger_path(self, host: Host) -> pathlib.Path:
        """Returns the ledger file of a host's server.

        Args:
          host: The host.
        """
        return self.folder / f"{host.host_id.replace('/', '-')}.ledger"

    def read_ledgers(self) -> list[dict]:
        """Returns the lines of all servers' ledgers in the order of time."""
        lines = []
        for host in self.hosts_by_id.values():
            path = self.ledger_path(host)
            if path.exists():
                lines += [json.loads(x) for x in path.read_text().splitlines()]
        return sorted(lines, key=lambda line: line["time"])

    def signal_process(self, process: subprocess.Popen, number: int) -> None:
        """Sends a signal to one of the cluster's processes.

        Args:
          process: The process.
          number: The signal.
        """
        if process not in self._processes:
            raise ValueError("not a process of this cluster")
        process.send_signal(number)

    def control(self, host: Host, **behaviour) -> None:
        """Changes the behaviour of a host's server.

        Args:
          host: The host.
          **behaviour: Fields of the server's ``Behaviour``.
        """
        status, _ = send_request(
            host.address,
            SERVER_PORT,
            "PUT",
            "/_control",
            body=json.dumps(behaviour).encode(),
        )
        if status != 200:
            raise RuntimeError(f"control answered {status}")

    def run_command(self, *arguments: str) -> str:
        """Runs ``bergamotdeal`` and returns what it printed.

        Args:
          *arguments: Subcommand and options.
        """
        done = subprocess.run(
            [*self._command, *arguments],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
            cwd=pathlib.Path(__file__).parent.parent,
        )
        return done.stdout + done.stderr

    def wait_until_ready(self, host: Host) -> None:
        """Waits until a host's node says that it is ready.

        Args:
          host: The host.
        """
        wait_for(
            lambda: self.status(host).get("ready", False),
            f"{host.host_id} ready",
        )

    def wait_until_joined(self) -> None:
        """Waits until each node knows every backend server."""
        wanted = sum(bool(host.service) for host in self.hosts_by_id.values())

        def knows_all(host: Host) -> bool:
            members = self.status(host).get("members", [])
            return sum(bool(m["service"]) for m in members) == wanted

        for host in self.hosts_by_id.values():
            wait_for(
                lambda host=host: knows_all(host),
                f"{host.host_id} knows all servers",
            )

    def entries(self, service: str) -> list[tuple[str, int]]:
        """Returns address and port of the entry faces beside a service.

        Args:
          service: The service.
        """
        return [
            (host.address, ENTRY_PORT)
            for host in self.hosts_by_id.values()
            if host.service == service
        ]

    def status(self, host: Host) -> dict:
        """Returns a node's status, empty when it can't be reached.

        Args:
          host: The host.
        """
        try:
            status, body = send_request(
                host.address, ADMIN_PORT, "GET", "/v1/status", timeout_s=2
            )
        except OSError:
            return {}
        return json.loads(body) if status == 200 else {}

    def stop(self) -> None:
        """Ends all processes of the cluster."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()

    def _spawn(self, name: str, *command: str) -> subprocess.Popen:
        if len(self._processes) >= MAX_PROCESSES:
            raise RuntimeError("too many processes")
        log = self.folder / f"{name.replace('/', '-')}.log"
        with log.open("ab") as stream:
            process = subprocess.Popen(
                command,
                stdout=stream,
                stderr=stream,
                stdin=subprocess.DEVNULL,
                cwd=pathlib.Path(__file__).parent.parent,
            )
        self._processes.append(process)
        return process

    def _settings(self, host: Host) -> str:
        seeds = ", ".join(
            f"{other.address}:{PEER_PORT}"
            for other in list(self.hosts_by_id.values())[:3]
            if other is not host
        )
        lines = [
            "[node]",
            f"host_id = {host.host_id}",
            f"data_centre = {host.data_centre}",
            f"region = {host.region}",
        ]
        for section, port in (
            ("entry", ENTRY_PORT),
            ("egress", EGRESS_PORT),
            ("admin", ADMIN_PORT),
            ("peer", PEER_PORT),
        ):
            lines += [
                f"[{section}]",
                f"address = {host.address}",
                f"port = {port}",
            ]
        lines += [f"key = {PEER_KEY}", f"seeds = {seeds}"]
        if self._with_store:
            lines += [
                "[store]",
                f"address = {self.store_address}",
                f"port = {STORE_PORT}",
            ]
        if self._preset:
            path = self.folder / "preset.ini"
            path.write_text(self._preset)
            lines += ["[preset]", f"file = {path}"]
        return "\n".join(lines) + "\n"


def send_request(
    address: str,
    port: int,
    method: str,
    target: str,
    *,
    body: bytes = b"",
    headers_by_name: dict[str, str] | None = None,
    timeout_s: float = 10,
) -> tuple[int, bytes]:
    """Makes one HTTP request.

    Args:
      address: IP address.
      port: TCP port.
      method: HTTP method.
      target: Path and query.
      body: The body.
      headers_by_name: Extra headers.
      timeout_s: Socket timeout in seconds.

    Returns:
      The status and the body.
    """
    connection = http.client.HTTPConnection(address, port, timeout=timeout_s)
    try:
        connection.request(method, target, body, headers_by_name or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def wait_for(
    condition, description: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Polls until a condition holds.

    Args:
      condition: Returns whether it holds.
      description: Named in the error.
      timeout_s: Time after which to give up.

    Raises:
      TimeoutError: The condition did not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting for: {description}")
        # The interval of a poll, not a wait for a result.
        time.sleep(POLL_S)
