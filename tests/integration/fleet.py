"""Fleet fixture code: preset switches, epochs and the store stand-in."""

import contextlib
import json
import random

from twisted.internet import reactor

from bergamotdeal.presets import model
from bergamotdeal.presets import switch
from bergamotdeal.settings import model as settings
from bergamotdeal.store import http
from standins import cluster as clusters

DATA_CENTRES = ("odori", "kotoni", "shin-sapporo", "makomanai")
SWITCH_DEADLINE_S = 5.0


class Fleet(clusters.Cluster):
    """A cluster of nodes without servers that records each reported epoch.

    Args:
      size: Number of nodes.
      with_seeds: Whether the nodes' settings name seed nodes.
      **options: Arguments of ``Cluster``.

    Attributes:
      epochs_by_incarnation: Reported epochs in order of the reports, by
        "<host id> <incarnation>".
    """

    def __init__(self, *, size: int, with_seeds: bool = True, **options):
        super().__init__(**options)
        self._has_seeds = with_seeds
        self.epochs_by_incarnation: dict[str, list[int]] = {}
        for index in range(size):
            self.add_host(f"host-{index}", DATA_CENTRES[index % 4])

    def start_nodes(self) -> None:
        """Starts all nodes and waits until each sees all members alive."""
        hosts = self.hosts_by_id.values()
        for host in hosts:
            self.start_node(host)
        clusters.wait_for(
            lambda: all(self.alive(host) == len(hosts) for host in hosts),
            "all nodes know one another",
        )

    def status(self, host) -> dict:
        """Returns a node's status and records the epoch in it."""
        status = super().status(host)
        if "epoch" in status:
            key = f"{host.host_id} {status['incarnation']}"
            self.epochs_by_incarnation.setdefault(key, []).append(
                status["epoch"]
            )
        return status

    def get_states_by_host_id(self, host) -> dict[str, str]:
        """Returns the state of each member, by host id, as a node sees it."""
        members = self.status(host).get("members", [])
        return {member["host_id"]: member["state"] for member in members}

    def alive(self, host) -> int:
        """Returns the number of members a node sees alive, itself included."""
        return list(self.get_states_by_host_id(host).values()).count("alive")

    def wait_for_epoch(self, epoch: int, hosts, timeout_s: float) -> None:
        """Waits until an epoch is in force on the given nodes."""

        def is_in_force() -> bool:
            reported_epochs = [self.status(host).get("epoch") for host in hosts]
            return all(reported == epoch for reported in reported_epochs)

        clusters.wait_for(is_in_force, f"epoch {epoch} everywhere", timeout_s)

    def assert_epochs_never_decreased(self) -> None:
        """Checks that no incarnation of a node reported a decreasing epoch."""
        for epochs in self.epochs_by_incarnation.values():
            assert epochs == sorted(epochs)

    def set_store_behaviour(self, **behaviour) -> None:
        """Changes the behaviour of the store stand-in."""
        status, _ = clusters.send_request(
            self.store_address,
            clusters.STORE_PORT,
            "PUT",
            "/_control",
            body=json.dumps(behaviour).encode(),
        )
        assert status == 200

    def fetch_store_report(self) -> dict:
        """Returns the store stand-in's counts of requests and open watches."""
        _, body = clusters.send_request(
            self.store_address, clusters.STORE_PORT, "GET", "/_control"
        )
        return json.loads(body)

    def wait_for_store(self) -> None:
        """Waits until the store stand-in answers."""

        def is_answering() -> bool:
            with contextlib.suppress(OSError):
                return bool(self.fetch_store_report())
            return False

        clusters.wait_for(is_answering, "the store answers")

    def wait_for_store_watches(self) -> None:
        """Waits until the store has an open watch for each data centre."""
        data_centres = {h.data_centre for h in self.hosts_by_id.values()}
        clusters.wait_for(
            lambda: self.fetch_store_report()["waiting"] >= len(data_centres),
            "watches are open",
        )

    def kill_store(self) -> None:
        """Kills the store stand-in, which loses all its objects."""
        self.store.kill()
        self.store.wait()

    def operator(self, name: str, **options) -> "Operator":
        """Returns an operator who switches to the named preset."""
        return Operator(fleet=self, name=name, **options)

    def _settings(self, host) -> str:
        text = super()._settings(host)
        if self._has_seeds:
            return text
        lines = text.splitlines(keepends=True)
        return "".join(line for line in lines if not line.startswith("seeds"))


class Operator:
    """An operator's preset switch, run in the test process.

    Args:
      fleet: The fleet.
      name: Name of the preset; also part of the operator's name.
      operation_id: Operation id of an earlier run to repeat, or None.
      preset: The preset, or None for one that only has a name.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        name: str,
        operation_id=None,
        preset: model.Preset | None = None,
    ):
        section = settings.StoreSection(
            address=fleet.store_address, port=clusters.STORE_PORT
        )
        self._store = http.HttpStore(settings=section, reactor=reactor)
        self._state_machine = switch.SwitchStateMachine(
            preset=preset or model.Preset(name=name),
            operator=f"operator of {name}",
            rng=random.Random(),
            operation_id=operation_id,
        )
        self.outcomes: list[switch.Outcome] = []

    def start_switch(self) -> None:
        """Starts the switch without waiting for it."""
        deferred = switch.run(
            self._state_machine, object_store=self._store, reactor=reactor
        )
        deferred.addBoth(self.outcomes.append)

    def wait_for_outcome(self) -> switch.Outcome:
        """Runs the reactor until the switch has ended; returns its outcome."""
        run_reactor_until(lambda: bool(self.outcomes))
        close_results = []
        self._store.close().addBoth(close_results.append)
        run_reactor_until(lambda: bool(close_results))
        return self.outcomes[0]

    def switch(self) -> switch.Outcome:
        """Runs the switch to its end and returns its outcome."""
        self.start_switch()
        return self.wait_for_outcome()


def run_reactor_until(condition, timeout_s: float = 30.0) -> None:
    """Runs the test process's reactor until a condition holds."""
    deadline = reactor.seconds() + timeout_s
    while not condition():
        assert reactor.seconds() < deadline, "condition not met in time"
        reactor.iterate(0.01)
