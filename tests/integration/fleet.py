"""What the tests of whole fleets share: switches, epochs and the store."""

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
    """A cluster of bare nodes whose reported epochs are all remembered.

    Args:
      size: Number of nodes.
      with_seeds: Whether the settings name other nodes.
      **options: As for ``Cluster``.
    """

    def __init__(self, *, size: int, with_seeds: bool = True, **options):
        super().__init__(**options)
        self._with_seeds = with_seeds
        self.epochs_by_host: dict[str, list[int]] = {}
        for index in range(size):
            self.add(f"host-{index}", DATA_CENTRES[index % 4])

    def start_nodes(self) -> None:
        """Starts all nodes and waits until they know one another."""
        hosts = self.hosts_by_id.values()
        for host in hosts:
            self.start_node(host)
        clusters.wait_for(
            lambda: all(self.alive(host) == len(hosts) for host in hosts),
            "all nodes know one another",
        )

    def status(self, host) -> dict:
        """Returns a node's status and remembers the epoch it tells."""
        status = super().status(host)
        if "epoch" in status:
            key = f"{host.host_id} {status['incarnation']}"
            self.epochs_by_host.setdefault(key, []).append(status["epoch"])
        return status

    def states(self, host) -> dict[str, str]:
        """Returns the states of all members as one node sees them."""
        members = self.status(host).get("members", [])
        return {member["host_id"]: member["state"] for member in members}

    def alive(self, host) -> int:
        """Returns how many members a node sees alive, itself included."""
        return list(self.states(host).values()).count("alive")

    def wait_epoch(self, epoch: int, hosts, within_s: float) -> None:
        """Waits until nodes have an epoch in force."""

        def in_force() -> bool:
            told = [self.status(host).get("epoch") for host in hosts]
            return all(found == epoch for found in told)

        clusters.wait_for(in_force, f"epoch {epoch} everywhere", within_s)

    def assert_no_epoch_fell(self) -> None:
        """Checks every epoch that any node ever told."""
        for epochs in self.epochs_by_host.values():
            assert epochs == sorted(epochs)

    def control_store(self, **behaviour) -> None:
        """Changes the behaviour of the store stand-in."""
        status, _ = clusters.request(
            self.store_address,
            clusters.STORE_PORT,
            "PUT",
            "/_control",
            body=json.dumps(behaviour).encode(),
        )
        assert status == 200

    def store_report(self) -> dict:
        """Returns what the store stand-in was asked."""
        _, body = clusters.request(
            self.store_address, clusters.STORE_PORT, "GET", "/_control"
        )
        return json.loads(body)

    def wait_store(self) -> None:
        """Waits until the store stand-in answers."""

        def answers() -> bool:
            with contextlib.suppress(OSError):
                return bool(self.store_report())
            return False

        clusters.wait_for(answers, "the store answers")

    def wait_watched(self) -> None:
        """Waits until each data centre watches the store."""
        data_centres = {h.data_centre for h in self.hosts_by_id.values()}
        clusters.wait_for(
            lambda: self.store_report()["waiting"] >= len(data_centres),
            "watches are open",
        )

    def kill_store(self) -> None:
        """Kills the store stand-in; it forgets everything."""
        self.store.kill()
        self.store.wait()

    def operator(self, name: str, **options) -> "Operator":
        """Returns an operator who switches to a preset of this name."""
        return Operator(fleet=self, name=name, **options)

    def _settings(self, host) -> str:
        text = super()._settings(host)
        if self._with_seeds:
            return text
        lines = text.splitlines(keepends=True)
        return "".join(x for x in lines if not x.startswith("seeds"))


class Operator:
    """An operator's command, run in the test's process.

    Args:
      fleet: The fleet.
      name: Name of the preset; the operator is called after it.
      operation_id: Id of an earlier run, or None.
    """

    def __init__(self, *, fleet: Fleet, name: str, operation_id=None):
        section = settings.StoreSection(
            address=fleet.store_address, port=clusters.STORE_PORT
        )
        self._store = http.HttpStore(settings=section, reactor=reactor)
        self._machine = switch.SwitchStateMachine(
            preset=model.Preset(name=name),
            operator=f"operator of {name}",
            rng=random.Random(),
            operation_id=operation_id,
        )
        self.outcomes: list[switch.Outcome] = []

    def begin(self) -> None:
        """Starts the switch."""
        running = switch.run(
            self._machine, object_store=self._store, reactor=reactor
        )
        running.addBoth(self.outcomes.append)

    def finish(self) -> switch.Outcome:
        """Runs the reactor until the switch has ended."""
        run_reactor_until(lambda: bool(self.outcomes))
        closing = []
        self._store.close().addBoth(closing.append)
        run_reactor_until(lambda: bool(closing))
        return self.outcomes[0]

    def switch(self) -> switch.Outcome:
        """Switches and returns the outcome."""
        self.begin()
        return self.finish()


def run_reactor_until(condition, within_s: float = 30.0) -> None:
    """Runs the test process's reactor until a condition holds."""
    deadline = reactor.seconds() + within_s
    while not condition():
        assert reactor.seconds() < deadline, "condition not met in time"
        reactor.iterate(0.01)
