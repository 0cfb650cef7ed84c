"""Discrete-event simulation of a fleet of gossip cores."""

from collections.abc import Callable
import heapq
import itertools
import random

from bergamotdeal.membership import core
from bergamotdeal.membership import gossip
from bergamotdeal.membership import messages
from bergamotdeal.membership import rumours
from bergamotdeal.membership import timing as timings

LATENCY_S = 0.001


class Fleet:
    """A simulated fleet of gossip cores that exchange messages in memory.

    Args:
      seed: Seed of every random source.
      size: Number of nodes.
      timing: Timing of each core.
      datagram_bytes: Function that returns the size of a datagram in bytes.
      bulk_bytes: Function that returns the size of a bulk message in bytes.
      data_centres: Data centres to which the nodes are assigned in turn.

    Attributes:
      rng: Source of every random choice.
      now: Time in monotonic seconds.
      timing: Timing of each core.
      cores_by_id: Gossip cores, by host id.
      stopped: Hosts whose node is stopped.
      paused: Hosts whose node is paused.
      bytes_by_id: Sent bytes of datagrams, by host id.
      bulk_bytes_by_id: Sent bytes of bulk messages, by host id.
      remote_bytes: Bytes of all messages sent to another data centre.
      syncs_by_id: Number of started syncs, by host id.
      effects_by_id: Effects other than messages, by host id.
      is_reachable: Function of source and target host id that returns
        whether messages are delivered.
    """

    def __init__(
        self,
        *,
        seed: int = 1,
        size: int,
        timing: timings.Timing = timings.DEFAULT_TIMING,
        datagram_bytes: Callable = rumours.estimate_datagram_bytes,
        bulk_bytes: Callable = lambda _: 0,
        data_centres: tuple[str, ...] = ("odori",),
    ) -> None:
        self._data_centres = itertools.cycle(data_centres)
        self.remote_bytes = 0
        self._datagram_bytes = datagram_bytes
        self._bulk_bytes = bulk_bytes
        self.bulk_bytes_by_id: dict[str, int] = {}
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.timing = timing
        self.cores_by_id: dict[str, gossip.Gossip] = {}
        self.stopped: set[str] = set()
        self.paused: set[str] = set()
        self.bytes_by_id: dict[str, int] = {}
        self.syncs_by_id: dict[str, int] = {}
        self.effects_by_id: dict[str, list[messages.Effect]] = {}
        self.is_reachable: Callable[[str, str], bool] = lambda *_: True
        self._pending_events_by_id: dict[str, list] = {}
        self._deliveries: list = []
        self._wakeups: list[tuple[float, int, str]] = []
        self._sequence = itertools.count()
        for index in range(size):
            self.add_node(f"host-{index}")

    def add_node(
        self,
        host_id: str,
        *,
        incarnation: str = "a",
        state_number: int = 1,
        seeds: tuple[str, ...] = ("host-0",),
    ) -> gossip.Gossip:
        """Adds a node, or restarts it with another incarnation."""
        own = core.Member(
            host_id=host_id,
            incarnation=f"{host_id}-{incarnation}",
            state_number=state_number,
            data_centre=self._get_data_centre(host_id),
            region="north",
            address=host_id,
            peer_port=1,
        )
        node = gossip.Gossip(
            own_record=own,
            rng=random.Random(self.rng.random()),
            now=self.now,
            timing=self.timing,
        )
        self.cores_by_id[host_id] = node
        self.stopped.discard(host_id)
        self.bytes_by_id.setdefault(host_id, 0)
        self.syncs_by_id.setdefault(host_id, 0)
        self.bulk_bytes_by_id.setdefault(host_id, 0)
        self.effects_by_id.setdefault(host_id, [])
        endpoints = tuple(
            messages.Endpoint(address=seed, port=1) for seed in seeds
        )
        self.send_event(host_id, messages.SeedsFound(seeds=endpoints))
        return node

    def _get_data_centre(self, host_id: str) -> str:
        """Returns the data centre of a node, the same after a restart."""
        known = self.cores_by_id.get(host_id)
        if known is not None:
            return known.own_record.data_centre
        return next(self._data_centres)

    def _count_bytes(self, source: str, target: str, size: int) -> None:
        cores_by_id = self.cores_by_id
        if target in cores_by_id and (
            cores_by_id[source].own_record.data_centre
            != cores_by_id[target].own_record.data_centre
        ):
            self.remote_bytes += size

    def send_event(self, host_id: str, event: messages.Event) -> None:
        """Sends an event to a node and executes the resulting effects."""
        if host_id in self.paused:
            self._pending_events_by_id.setdefault(host_id, []).append(event)
            return
        if host_id in self.stopped:
            return
        node = self.cores_by_id[host_id]
        self._execute_effects(host_id, node.handle(event, self.now))
        self._schedule_wakeup(host_id)

    def pause(self, host_id: str) -> None:
        """Pauses a node; arriving events are queued."""
        self.paused.add(host_id)

    def resume(self, host_id: str) -> None:
        """Resumes a paused node and handles its queued events."""
        self.paused.discard(host_id)
        for event in self._pending_events_by_id.pop(host_id, []):
            self.send_event(host_id, event)
        self._schedule_wakeup(host_id)

    def run(self, seconds: float) -> None:
        """Advances the simulated time."""
        end = self.now + seconds
        while self._step(end):
            pass
        self.now = end

    def run_until(
        self, condition: Callable[[], bool], *, within_s: float
    ) -> float:
        """Runs until a condition holds and returns the elapsed seconds."""
        start = self.now
        while not condition():
            assert self.now - start < within_s, (
                "the condition did not hold in time"
            )
            self.run(0.05)
        return self.now - start

    def _step(self, end: float) -> bool:
        wake_at = self._next_wakeup()
        if self._deliveries and self._deliveries[0][0] <= min(wake_at, end):
            self.now, _, target, event = heapq.heappop(self._deliveries)
            if callable(event):
                event()
            else:
                self.send_event(target, event)
            return True
        if wake_at > end:
            return False
        self.now = max(self.now, wake_at)
        _, _, host_id = heapq.heappop(self._wakeups)
        self.send_event(host_id, messages.TimePassed())
        return True

    def _next_wakeup(self) -> float:
        """Discards outdated wake-ups and returns the time of the next one."""
        while self._wakeups:
            at, _, host_id = self._wakeups[0]
            is_unavailable = host_id in self.stopped or host_id in self.paused
            if (
                not is_unavailable
                and at == self.cores_by_id[host_id].next_wakeup()
            ):
                return at
            heapq.heappop(self._wakeups)
        return float("inf")

    def _schedule_wakeup(self, host_id: str) -> None:
        at = self.cores_by_id[host_id].next_wakeup()
        heapq.heappush(self._wakeups, (at, next(self._sequence), host_id))

    def _schedule_delivery(self, target: str, event) -> None:
        at = self.now + LATENCY_S
        heapq.heappush(
            self._deliveries, (at, next(self._sequence), target, event)
        )

    def _execute_effects(
        self, host_id: str, effects: list[messages.Effect]
    ) -> None:
        for effect in effects:
            match effect:
                case messages.SendDatagram():
                    size = self._datagram_bytes(effect.datagram)
                    assert size <= rumours.MAX_DATAGRAM_BYTES
                    self.bytes_by_id[host_id] += size
                    target = effect.endpoint.address
                    self._count_bytes(host_id, target, size)
                    if target in self.cores_by_id and self.is_reachable(
                        host_id, target
                    ):
                        source = messages.Endpoint(address=host_id, port=1)
                        event = messages.DatagramArrived(
                            datagram=effect.datagram, source=source
                        )
                        self._schedule_delivery(target, event)
                case messages.SendBulk():
                    self._exchange_bulk(host_id, effect)
                case _:
                    self.effects_by_id[host_id].append(effect)

    def _exchange_bulk(self, host_id: str, effect: messages.SendBulk) -> None:
        target = effect.endpoint.address
        self.syncs_by_id[host_id] += 1
        size = self._bulk_bytes(effect.bulk)
        self.bulk_bytes_by_id[host_id] += size
        self._count_bytes(host_id, target, size)

        def serve() -> None:
            is_unavailable = target in self.stopped | self.paused
            is_partitioned = not self.is_reachable(host_id, target)
            is_partitioned = is_partitioned or not self.is_reachable(
                target, host_id
            )
            if (
                target not in self.cores_by_id
                or is_unavailable
                or is_partitioned
            ):
                event = messages.SyncFailed(endpoint=effect.endpoint)
            else:
                node = self.cores_by_id[target]
                answer, effects = node.answer_sync(effect.bulk, self.now)
                size = self._bulk_bytes(answer)
                self.bulk_bytes_by_id[target] += size
                self._count_bytes(target, host_id, size)
                self._execute_effects(target, effects)
                self._schedule_wakeup(target)
                event = messages.SyncAnswered(
                    endpoint=effect.endpoint, answer=answer
                )
            self._schedule_delivery(host_id, event)

        self._schedule_delivery(target, serve)

    # --- Views -------------------------------------------------------------

    def state(self, viewer: str, host_id: str) -> core.MemberState | None:
        """Returns the state of a member in the view of another node."""
        member = self.cores_by_id[viewer].member(host_id)
        return None if member is None else member.state

    def running(self) -> list[str]:
        """Returns the hosts whose node is not stopped."""
        return [h for h in self.cores_by_id if h not in self.stopped]

    def all_agree(self, host_id: str, state: core.MemberState | None) -> bool:
        """Returns whether all other running nodes see a member in a state."""
        return all(
            self.state(viewer, host_id) is state
            for viewer in self.running()
            if viewer != host_id
        )

    def is_converged(self) -> bool:
        """Returns whether all running nodes see each other alive."""
        return all(
            self.all_agree(host_id, core.MemberState.ALIVE)
            for host_id in self.running()
        )
