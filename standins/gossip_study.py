"""Measures the gossip cores of simulated fleets.

Messages are encoded as on the wire; the network is an in-memory queue under an
injected clock. Reported times are therefore those of the protocol, and the
processor time is that of the cores and the encoding together.
"""

import json
import pathlib
import time

import click

from bergamotdeal.membership import core
from bergamotdeal.membership import messages
from bergamotdeal.wire import gossip
from standins import gossip_fleet as fleets

KEY = b"study-key-0123456"
OUTPUT_PATH = pathlib.Path("build/gossip_study.json")
SETTLE_S = 2.0
STEP_S = 0.02
MEASURED_HOST = "host-3"
CRASHED_HOST = "host-9"


class Study:
    """A measurement of one simulated fleet.

    Args:
      size: Number of nodes.
      seed: Seed of every random source.
    """

    def __init__(self, *, size: int, seed: int) -> None:
        self._size = size
        self._fleet = fleets.Fleet(
            seed=seed,
            size=0,
            datagram_bytes=lambda d: len(gossip.encode_datagram(d, KEY)),
            bulk_bytes=lambda bulk: len(gossip.encode_bulk(bulk)),
        )
        for index in range(size):
            self._fleet.add_node(f"host-{index}", seeds=())
        entries = tuple(
            messages.KnownMember(
                member=node.own_record, health=messages.Health.ALIVE
            )
            for node in self._fleet.cores_by_id.values()
        )
        push = messages.SyncPush(entries=entries)
        for node in self._fleet.cores_by_id.values():
            node.answer_sync(push, self._fleet.now)
        self._fleet.run(SETTLE_S)

    def steady(self, seconds: float) -> dict[str, float]:
        """Measures the traffic and processor time without membership changes.

        Args:
          seconds: Duration of the measurement in seconds.
        """
        fleet = self._fleet
        before = sum(fleet.bytes_by_id.values())
        bulk_before = sum(fleet.bulk_bytes_by_id.values())
        cpu_start = time.process_time()
        fleet.run(seconds)
        cpu_s = time.process_time() - cpu_start
        node_seconds = self._size * seconds
        sent = sum(fleet.bytes_by_id.values()) - before
        bulk = sum(fleet.bulk_bytes_by_id.values()) - bulk_before
        return {
            "udp_bytes_per_s": sent / node_seconds,
            "bulk_bytes_per_s": bulk / node_seconds,
            "cpu_share": cpu_s / node_seconds,
        }

    def epoch(self) -> dict[str, float]:
        """Measures the dissemination of an epoch, without the preset pulls."""
        fleet = self._fleet
        for effects in fleet.effects_by_id.values():
            effects.clear()
        started = fleet.now
        times = []
        informed_hosts = set()
        self._adopt_epoch(MEASURED_HOST, informed_hosts)
        while len(informed_hosts) < self._size:
            fleet.run(STEP_S)
            for host_id, effects in fleet.effects_by_id.items():
                is_informed = any(
                    isinstance(e, messages.EpochAdvertised) for e in effects
                )
                effects.clear()
                if is_informed and host_id not in informed_hosts:
                    self._adopt_epoch(host_id, informed_hosts)
                    times.append(fleet.now - started)
        return {
            "epoch_p50_s": times[len(times) // 2],
            "epoch_all_s": times[-1],
        }

    def _adopt_epoch(self, host_id: str, informed_hosts: set[str]) -> None:
        informed_hosts.add(host_id)
        self._fleet.send_event(host_id, messages.EpochChanged(epoch=7))

    def drain(self) -> dict[str, float]:
        """Measures the time until all nodes know of a drain."""
        self._fleet.send_event(MEASURED_HOST, messages.NodeDraining())
        seconds = self._fleet.run_until(
            lambda: self._fleet.all_agree(
                MEASURED_HOST, core.MemberState.DRAINING
            ),
            within_s=60,
        )
        return {"drain_all_s": seconds}

    def crash(self) -> dict[str, float]:
        """Measures the time until all nodes have detected a crash."""
        fleet = self._fleet
        fleet.stopped.add(CRASHED_HOST)
        unavailable_states = (core.MemberState.SUSPECT, core.MemberState.DEAD)
        avoided_s = fleet.run_until(
            lambda: all(
                fleet.state(host_id, CRASHED_HOST) in unavailable_states
                for host_id in fleet.running()
            ),
            within_s=60,
        )
        evicted_s = fleet.run_until(
            lambda: fleet.all_agree(CRASHED_HOST, core.MemberState.DEAD),
            within_s=60,
        )
        return {
            "crash_avoided_all_s": avoided_s,
            "crash_evicted_all_s": avoided_s + evicted_s,
        }


@click.command()
@click.option("--sizes", default="25,100,400")
@click.option("--seconds", default=30.0)
@click.option("--seed", default=1)
def main(sizes: str, seconds: float, seed: int) -> None:
    """Prints one line per fleet size and writes build/gossip_study.json."""
    rows = []
    for size in (int(text) for text in sizes.split(",")):
        study = Study(size=size, seed=seed)
        row: dict[str, float] = {"nodes": size, "seed": seed}
        row.update(study.steady(seconds))
        row.update(study.epoch())
        row.update(study.drain())
        row.update(study.crash())
        rows.append(row)
        click.echo(json.dumps(row))
    OUTPUT_PATH.parent.mkdir(exist_ok=True)
    OUTPUT_PATH.write_text(json.dumps(rows, indent=2) + "\n")


if __name__ == "__main__":
    main()
