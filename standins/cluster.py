"""Clusters of real node processes and simulated servers on loopback addresses.

Each host has its own address in 127.0.0.0/8 and fixed ports, so that no port
has to be allocated and the clusters of concurrent programs don't collide.
"""

import dataclasses
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import time

from standins import loopback

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


@dataclasses.dataclass(kw_only=True)
class Host:
    """A host with a node and, optionally, a simulated backend server.

    Attributes:
      host_id: Id of the host.
      data_centre: Data centre of the host.
      region: Region of the host.
      address: Loopback address of the host.
      service: Service of the backend server, or empty for none.
      next_service: Service that the server calls, or empty.
      slots: Number of requests that the server runs concurrently.
      connections: Number of connections that the server announces.
      service_ms: Mean service time in milliseconds.
      tries: Maximum number of attempts of a call to the next service.
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
    """A cluster of hosts and, optionally, the simulated store.

    Args:
      folder: Directory for settings, ledgers and logs.
      with_store: Whether the nodes use a store.
      preset: Preset in INI, or empty for the default of the nodes.
      node_options: Additional command line options of ``bergamotdeal node``.
      command: Command that runs ``bergamotdeal``.

    Attributes:
      folder: Directory for settings, ledgers and logs.
      hosts_by_id: All hosts, by host id.
      store: Process of the simulated store, or None.
      store_address: IP address of the simulated store.
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
        self._network = loopback.NetworkClaim()
        self.folder = folder
        self.hosts_by_id: dict[str, Host] = {}
        self.store: subprocess.Popen | None = None
        self.store_address = self._network.address(250)
        self._with_store = with_store
        self._preset = preset
        self._node_options = node_options
        self._command = command
        self._processes: list[subprocess.Popen] = []
        folder.mkdir(parents=True, exist_ok=True)

    def add_host(self, host_id: str, data_centre: str, **options) -> Host:
        """Adds a host without starting its processes.

        Args:
          host_id: Id of the host.
          data_centre: Data centre of the host.
          **options: Other fields of ``Host``.
        """
        address = self._network.address(len(self.hosts_by_id) + 1)
        host = Host(
            host_id=host_id, data_centre=data_centre, address=address, **options
        )
        self.hosts_by_id[host_id] = host
        return host

    def __enter__(self) -> "Cluster":
        """Returns the cluster."""
        return self

    def __exit__(self, *exc_info) -> None:
        """Kills all processes of the cluster."""
        self.stop()

    def start(self) -> None:
        """Starts all processes and waits until each node is ready."""
        if self._with_store:
            self.start_store()
        for host in self.hosts_by_id.values():
            self.start_node(host)
            if host.service:
                self.start_server(host)
        for host in self.hosts_by_id.values():
            self.wait_until_ready(host)

    def start_store(self) -> None:
        """Starts the simulated store."""
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
        """Starts the node of a host.

        Args:
          host: Host of the node.
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
        """Starts the simulated backend server of a host.

        Args:
          host: Host of the server.
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
        """Returns the path of the ledger of a host's server.

        Args:
          host: Host of the server.
        """
        return self.folder / f"{host.host_id.replace('/', '-')}.ledger"

    def read_ledgers(self) -> list[dict]:
        """Reads the lines of all servers' ledgers, sorted by time."""
        lines = []
        for host in self.hosts_by_id.values():
            path = self.ledger_path(host)
            if path.exists():
                lines += [json.loads(x) for x in path.read_text().splitlines()]
        return sorted(lines, key=lambda line: line["time"])

    def signal_process(self, process: subprocess.Popen, number: int) -> None:
        """Sends a signal to a process of the cluster.

        Args:
          process: Process to signal.
          number: Signal number.

        Raises:
          ValueError: The process does not belong to the cluster.
        """
        if process not in self._processes:
            raise ValueError("the process does not belong to this cluster")
        process.send_signal(number)

    def control(self, host: Host, **behaviour) -> None:
        """Changes the behaviour of a host's server.

        Args:
          host: Host of the server.
          **behaviour: Fields of ``server.Behaviour``.

        Raises:
          RuntimeError: The server rejected the change.
        """
        status, _ = send_request(
            host.address,
            SERVER_PORT,
            "PUT",
            "/_control",
            body=json.dumps(behaviour).encode(),
        )
        if status != 200:
            raise RuntimeError(
                f"the server answered {status} to a control request"
            )

    def run_command(self, *arguments: str) -> str:
        """Runs ``bergamotdeal`` and returns its output.

        Args:
          *arguments: Subcommand and options.

        Returns:
          The standard output followed by the standard error.
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
        """Waits until the node of a host reports that it is ready.

        Args:
          host: Host of the node.
        """
        wait_for(
            lambda: self.status(host).get("ready", False),
            f"{host.host_id} ready",
        )

    def wait_until_joined(self) -> None:
        """Waits until each node knows the backend servers of all hosts."""
        server_count = sum(
            bool(host.service) for host in self.hosts_by_id.values()
        )

        def knows_all(host: Host) -> bool:
            members = self.status(host).get("members", [])
            return sum(bool(m["service"]) for m in members) == server_count

        for host in self.hosts_by_id.values():
            wait_for(
                lambda host=host: knows_all(host),
                f"{host.host_id} knows all servers",
            )

    def wait_until_known(self, host: Host, *, timeout_s: float) -> None:
        """Waits until all nodes know that the server of a host is available.

        Args:
          host: Host of the server.
          timeout_s: Time in seconds after which waiting is given up.
        """

        def is_known() -> bool:
            status = self.status(host)
            if not status.get("server"):
                return False
            expected = (host.host_id, status["state_number"], "alive")
            return all(
                expected in _list_routed(self.status(each))
                for each in self.hosts_by_id.values()
            )

        wait_for(is_known, f"all know the server of {host.host_id}", timeout_s)

    def wait_until_granting(self) -> None:
        """Waits until every node grants tokens of caps."""
        wait_for(
            lambda: all(
                (self.status(host).get("quotas") or {}).get("is_granting")
                for host in self.hosts_by_id.values()
            ),
            "all nodes grant tokens",
        )

    def entries(self, service: str) -> list[tuple[str, int]]:
        """Returns the entry faces on the hosts of a service.

        Args:
          service: Name of the service.

        Returns:
          Address and port of each entry face.
        """
        return [
            (host.address, ENTRY_PORT)
            for host in self.hosts_by_id.values()
            if host.service == service
        ]

    def status(self, host: Host) -> dict:
        """Returns the status of a node; empty if the node is unreachable.

        Args:
          host: Host of the node.
        """
        try:
            status, body = send_request(
                host.address, ADMIN_PORT, "GET", "/v1/status", timeout_s=2
            )
        except OSError:
            return {}
        return json.loads(body) if status == 200 else {}

    def stop(self) -> None:
        """Kills all processes of the cluster."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        self._network.release()

    def _spawn(self, name: str, *command: str) -> subprocess.Popen:
        if len(self._processes) >= MAX_PROCESSES:
            raise RuntimeError("the cluster has too many processes")
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
            if not path.exists():
                # Another node may be reading the file.
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
    """Sends one HTTP request over a connection of its own.

    Args:
      address: IP address of the server.
      port: TCP port of the server.
      method: HTTP method.
      target: Path and query.
      body: Request body.
      headers_by_name: Additional headers.
      timeout_s: Socket timeout in seconds.

    Returns:
      Status and body of the response.
    """
    connection = http.client.HTTPConnection(address, port, timeout=timeout_s)
    try:
        connection.request(method, target, body, headers_by_name or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _list_routed(status: dict) -> list[tuple[str, int, str]]:
    """Returns host id, number and state of the records that a node routes by.

    Args:
      status: Status of the node, empty if it is unreachable.
    """
    return [
        (member["host_id"], member["state_number"], member["state"])
        for member in status.get("members", [])
    ]


def wait_for(
    condition, description: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Polls until a condition holds.

    Args:
      condition: Function that returns whether the condition holds.
      description: Description of the condition for the error message.
      timeout_s: Time in seconds after which waiting is given up.

    Raises:
      TimeoutError: The condition did not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting for: {description}")
        time.sleep(POLL_S)
