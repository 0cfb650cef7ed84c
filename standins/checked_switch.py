"""Simulated switches of the preset in force.

The switch state machine and the followers are the production code; the store,
the gossip of epochs and the pulls are simulated under an injected clock.
"""

from collections.abc import Callable
import heapq
import itertools
import random

import result

from bergamotdeal.membership import core as membership
from bergamotdeal.membership import messages as gossip
from bergamotdeal.presets import follower as followers
from bergamotdeal.presets import in_force
from bergamotdeal.presets import messages
from bergamotdeal.presets import model
from bergamotdeal.presets import switch as switches
from bergamotdeal.store import core as store_core
from standins import checked_switch_model as parts
from standins import ledger

DATA_CENTRES = ("odori", "kotoni")
HOSTS = 8
STORE_TIMEOUT_S = 2.0
SLOW_STORE_S = 1.5
PULL_TIMEOUT_S = 2.0
_LATENCY_S = 0.002
_GOSSIP_INTERVAL_S = 0.3
_RECORD_INTERVAL_S = 0.25
_RERUN_DELAY_S = 4.0
_PUSH_TARGETS = 2


class SwitchFleet:
    """A simulated fleet of followers with a store, operators and a ledger.

    Args:
      seed: Seed of every random choice.

    Attributes:
      now: Time in monotonic seconds.
      rng: Source of every random choice.
      entries: Ledger entries in the order in which they were recorded.
      stored_object: In-force object in the store, or None.
      store_down: Whether the store answers no request.
      store_slow: Whether the store delays each answer by `SLOW_STORE_S`.
      lose_writes: Number of next writes that are applied but not answered.
      hooks_by_step: Faults to inject, by step; each is injected once.
      partitioned_data_centre: Data centre that is partitioned from the
        others and from the store, or empty.
      nodes_by_id: All nodes, by host id.
      operators: Operators in the order of their commands.
    """

    def __init__(self, *, seed: int):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.entries: list[ledger.Entry] = []
        self.stored_object: store_core.StoredObject | None = None
        self.store_down = False
        self.store_slow = False
        self.lose_writes = 0
        self.hooks_by_step: dict[parts.Step, Callable[[str], None]] = {}
        self.partitioned_data_centre = ""
        self.nodes_by_id: dict[str, parts.Node] = {}
        self.operators: list[parts.Operator] = []
        self._watches: dict[str, int] = {}
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        for number in range(HOSTS):
            self._add_node(f"host-{number}", DATA_CENTRES[number % 2])
        for host_id in self.nodes_by_id:
            self.start_node(host_id)
        self.after(_RECORD_INTERVAL_S, self._record_presets)

    # --- Time --------------------------------------------------------------

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action on the simulated clock."""
        entry = (self.now + delay_s, next(self._sequence), action)
        heapq.heappush(self._actions, entry)

    def run_for(self, seconds: float) -> None:
        """Advances the simulated time."""
        end = self.now + seconds
        while self._actions and self._actions[0][0] <= end:
            self.now, _, action = heapq.heappop(self._actions)
            action()
        self.now = end

    # --- Nodes -------------------------------------------------------------

    def start_node(self, host_id: str) -> None:
        """Starts a node that knows only the members of the fleet."""
        node = self.nodes_by_id[host_id]
        node.follower = followers.Follower(
            host_id=host_id,
            data_centre=node.member.data_centre,
            has_store=True,
            rng=random.Random(self.rng.random()),
            now=self.now,
        )
        node.paused = False
        node.pending_events = []
        self._watches.pop(host_id, None)
        self.entries.append(
            ledger.HostUp(at=self.now, host_id=host_id, fresh=True)
        )
        members_by_id = {
            other_id: other.member
            for other_id, other in self.nodes_by_id.items()
        }
        event = messages.MembershipUpdated(members_by_id=members_by_id)
        self._handle(host_id, event)
        self._handle(host_id, messages.TimePassed())
        self._gossip_epoch(host_id, node.follower)

    def kill_node(self, host_id: str, *, restart_after_s: float = 3.0) -> None:
        """Kills a node and restarts it later."""
        if self.nodes_by_id[host_id].follower is None:
            return
        self.record_host_down(host_id)
        self.nodes_by_id[host_id].follower = None
        self.after(restart_after_s, lambda: self.start_node(host_id))

    def pause_node(self, host_id: str, *, seconds: float = 8.0) -> None:
        """Pauses a node's process for some seconds."""
        node = self.nodes_by_id[host_id]
        if node.follower is None or node.paused:
            return
        self.record_host_down(host_id)
        node.paused = True
        self.after(seconds, lambda: self._resume(host_id, node.follower))

    def partition(self, data_centre: str, *, seconds: float = 8.0) -> None:
        """Partitions a data centre from the others and from the store."""
        self.partitioned_data_centre = data_centre
        partitioned_host_ids = [
            host_id
            for host_id, node in self.nodes_by_id.items()
            if node.member.data_centre == data_centre
        ]
        for host_id in partitioned_host_ids:
            self.record_host_down(host_id)
        self.after(seconds, lambda: self._heal_partition(partitioned_host_ids))

    def record_host_down(self, host_id: str) -> None:
        """Records that a fault makes a host unavailable."""
        self.entries.append(ledger.HostDown(at=self.now, host_id=host_id))

    def _add_node(self, host_id: str, data_centre: str) -> None:
        member = membership.Member(
            host_id=host_id,
            incarnation=host_id,
            data_centre=data_centre,
            region="region",
            address="127.0.0.1",
            peer_port=1,
        )
        self.nodes_by_id[host_id] = parts.Node(member=member, follower=None)

    def _resume(self, host_id: str, follower: followers.Follower) -> None:
        node = self.nodes_by_id[host_id]
        if node.follower is not follower:
            return
        node.paused = False
        self.entries.append(ledger.HostUp(at=self.now, host_id=host_id))
        pending_events, node.pending_events = node.pending_events, []
        for event in pending_events:
            self._handle(host_id, event)
        self._gossip_epoch(host_id, follower)

    def _heal_partition(self, partitioned_host_ids: list[str]) -> None:
        self.partitioned_data_centre = ""
        for host_id in partitioned_host_ids:
            if self.nodes_by_id[host_id].follower is not None:
                self.entries.append(ledger.HostUp(at=self.now, host_id=host_id))

    def _record_presets(self) -> None:
        """Records the preset in force at each available node, periodically."""
        for host_id, node in self.nodes_by_id.items():
            if node.follower is None or node.paused or node.follower.epoch < 1:
                continue
            self.entries.append(
                ledger.PresetSeen(
                    at=self.now,
                    host_id=host_id,
                    epoch=node.follower.epoch,
                    preset_name=node.follower.preset.name,
                )
            )
        self.after(_RECORD_INTERVAL_S, self._record_presets)

    def _is_connected(self, one: str, other: str) -> bool:
        if not self.partitioned_data_centre:
            return True
        nodes = (self.nodes_by_id[one], self.nodes_by_id[other])
        return (
            len(
                {
                    n.member.data_centre == self.partitioned_data_centre
                    for n in nodes
                }
            )
            == 1
        )

    def _is_store_reachable(self, host_id: str) -> bool:
        centre = self.nodes_by_id[host_id].member.data_centre
        return not self.store_down and centre != self.partitioned_data_centre

    # --- Follower events and effects ---------------------------------------

    def _handle(self, host_id: str, event: messages.Event) -> None:
        node = self.nodes_by_id[host_id]
        if node.follower is None:
            return
        if node.paused:
            node.pending_events.append(event)
            return
        follower = node.follower
        for effect in follower.handle(event, self.now):
            self._execute_effect(host_id, effect)
        self._schedule_wakeup(host_id, follower)

    def _schedule_wakeup(
        self, host_id: str, follower: followers.Follower
    ) -> None:
        when = follower.next_wakeup()
        if when is None:
            return

        def wake() -> None:
            if self.nodes_by_id[host_id].follower is not follower:
                return
            due = follower.next_wakeup()
            if due is not None and due <= self.now:
                self._handle(host_id, messages.TimePassed())

        self.after(max(0.0, when - self.now), wake)

    def _execute_effect(self, host_id: str, effect: messages.Effect) -> None:
        match effect:
            case messages.Apply(epoch=epoch):
                if epoch > 1:
                    self._run_hook(parts.Step.FIRST_IN_FORCE, host_id)
            case messages.Pull():
                self._pull(host_id, effect)
            case messages.ReadStore():
                self._read_store(host_id)
            case messages.WatchStore(watch=True):
                self._watches[host_id] = 0
                self._notify_watches()
            case messages.WatchStore():
                self._watches.pop(host_id, None)

    def _gossip_epoch(self, host_id: str, follower: followers.Follower) -> None:
        """Advertises the epoch to one random node, periodically."""
        node = self.nodes_by_id[host_id]
        if node.follower is not follower or node.paused:
            return
        other_id = self.rng.choice(sorted(set(self.nodes_by_id) - {host_id}))
        if follower.epoch >= 1 and self._is_connected(host_id, other_id):
            event = messages.EpochAdvertised(
                epoch=follower.epoch, host_id=host_id
            )
            self.after(_LATENCY_S, lambda: self._handle(other_id, event))
        delay_s = self.rng.uniform(0.5, 1.5) * _GOSSIP_INTERVAL_S
        self.after(delay_s, lambda: self._gossip_epoch(host_id, follower))

    def _pull(self, host_id: str, effect: messages.Pull) -> None:
        self._run_hook(parts.Step.PULLING, effect.host_id)
        request = gossip.PresetRequest(known_digests=effect.known_digests)

        def serve() -> None:
            target = self.nodes_by_id[effect.host_id]
            is_lost = (
                target.follower is None
                or target.paused
                or self.now < target.mute_until
                or not self._is_connected(host_id, effect.host_id)
            )
            if is_lost:
                failed = messages.PullFailed(host_id=effect.host_id)
                self.after(
                    PULL_TIMEOUT_S, lambda: self._handle(host_id, failed)
                )
                return
            answer = messages.PullAnswered(
                host_id=effect.host_id,
                response=target.follower.answer_pull(request),
            )
            self.after(_LATENCY_S, lambda: self._handle(host_id, answer))

        self.after(_LATENCY_S, serve)

    # --- The store ---------------------------------------------------------

    def _store_delay(self) -> float:
        return SLOW_STORE_S if self.store_slow else _LATENCY_S

    def _read_store(self, host_id: str) -> None:
        def answer() -> None:
            if not self._is_store_reachable(host_id):
                event = messages.StoreFailed(reason="the store did not answer")
            elif self.stored_object is None:
                event = messages.StoreRead(document=None)
            else:
                event = messages.StoreRead(document=self.stored_object.value)
            self._handle(host_id, event)

        self.after(self._store_delay(), answer)

    def _notify_watches(self) -> None:
        """Answers the watches that don't know the stored version.

        Watches that can't reach the store are retried every second.
        """
        if self.stored_object is None:
            return
        for host_id, known_version in list(self._watches.items()):
            if known_version >= self.stored_object.version:
                continue
            if not self._is_store_reachable(host_id):
                self.after(1.0, self._notify_watches)
                continue
            self._watches[host_id] = self.stored_object.version
            event = messages.StoreRead(document=self.stored_object.value)
            self.after(
                self._store_delay(),
                lambda host_id=host_id, e=event: self._handle(host_id, e),
            )

    # --- Operators ---------------------------------------------------------

    def switch(self, name: str) -> parts.Operator:
        """Starts an operator's switch to a preset of this name."""
        machine = switches.SwitchStateMachine(
            preset=model.Preset(name=name),
            operator=f"operator of {name}",
            rng=random.Random(self.rng.random()),
        )
        operator = parts.Operator(name=name, machine=machine)
        self.operators.append(operator)
        self._execute_step(operator, machine, machine.start())
        return operator

    def _run_hook(self, step: parts.Step, host_id: str) -> None:
        hook = self.hooks_by_step.pop(step, None)
        if hook is not None:
            hook(host_id)

    def _choose_host(self) -> str:
        return self.rng.choice(sorted(self.nodes_by_id))

    def _execute_step(
        self,
        operator: parts.Operator,
        machine: switches.SwitchStateMachine,
        step: switches.Step,
    ) -> None:
        match step:
            case switches.Read(after_s=after_s):
                self.after(after_s, lambda: self._read(operator, machine))
            case switches.Write():
                self._run_hook(parts.Step.WRITING, self._choose_host())
                self.after(
                    self._store_delay(),
                    lambda: self._write(operator, machine, step),
                )
            case switches.Finish(outcome=outcome):
                self._finish(operator, machine, outcome)

    def _read(
        self, operator: parts.Operator, machine: switches.SwitchStateMachine
    ) -> None:
        self._run_hook(parts.Step.READING, self._choose_host())

        def answer() -> None:
            if self.store_down:
                outcome = parts.make_unavailable_error()
            elif self.stored_object is None:
                outcome = result.Err(
                    store_core.Failure(
                        kind=store_core.FailureKind.NOT_FOUND,
                        detail="the object does not exist",
                    )
                )
            else:
                outcome = result.Ok(self.stored_object)
            self._execute_step(operator, machine, machine.on_read(outcome))

        self.after(
            STORE_TIMEOUT_S if self.store_down else self._store_delay(), answer
        )

    def _write(
        self,
        operator: parts.Operator,
        machine: switches.SwitchStateMachine,
        write: switches.Write,
    ) -> None:
        version = (
            self.stored_object.version
            if self.stored_object
            else store_core.NO_VERSION
        )

        def answer(outcome, delay_s: float) -> None:
            self.after(
                delay_s,
                lambda: self._execute_step(
                    operator, machine, machine.on_write(outcome)
                ),
            )

        if self.store_down:
            answer(
                parts.make_unavailable_error(may_have_applied=True),
                STORE_TIMEOUT_S,
            )
            return
        if write.expected_version != version:
            conflict = store_core.Failure(
                kind=store_core.FailureKind.CONFLICT,
                detail="the expected version is not the stored one",
            )
            answer(result.Err(conflict), self._store_delay())
            return
        self.stored_object = store_core.StoredObject(
            key=in_force.IN_FORCE_KEY,
            version=version + 1,
            value=write.document,
        )
        self._run_hook(parts.Step.WRITTEN, self._choose_host())
        self._notify_watches()
        if self.lose_writes > 0 or self.store_down:
            self.lose_writes = max(0, self.lose_writes - 1)
            answer(
                parts.make_unavailable_error(may_have_applied=True),
                STORE_TIMEOUT_S,
            )
            return
        answer(result.Ok(self.stored_object.version), self._store_delay())

    def _finish(
        self,
        operator: parts.Operator,
        machine: switches.SwitchStateMachine,
        outcome: switches.Outcome,
    ) -> None:
        operator.outcomes.append(outcome)
        match outcome:
            case switches.Accepted() | switches.Superseded():
                self.entries.append(
                    ledger.SwitchAccepted(
                        at=self.now,
                        operation_id=outcome.operation_id,
                        epoch=outcome.epoch,
                        preset_name=operator.name,
                    )
                )
            case switches.Unknown(operation_id=operation_id):
                self.after(
                    _RERUN_DELAY_S,
                    lambda: self._rerun(operator, operation_id),
                )
        if isinstance(outcome, switches.Accepted):
            self._push_to_nodes(outcome.document)
            self._run_hook(parts.Step.ACCEPTED, self._choose_host())

    def _rerun(self, operator: parts.Operator, operation_id: str) -> None:
        machine = switches.SwitchStateMachine(
            preset=model.Preset(name=operator.name),
            operator=f"operator of {operator.name}",
            rng=random.Random(self.rng.random()),
            operation_id=operation_id,
        )
        self._execute_step(operator, machine, machine.start())

    def _push_to_nodes(self, document: bytes) -> None:
        """Pushes an accepted switch to some nodes, as the command does."""
        event = messages.PresetPushed(document=document)
        outside = [
            host_id
            for host_id, node in sorted(self.nodes_by_id.items())
            if node.member.data_centre != self.partitioned_data_centre
        ]
        for host_id in self.rng.sample(outside, _PUSH_TARGETS):
            self.after(
                _LATENCY_S, lambda host_id=host_id: self._handle(host_id, event)
            )
