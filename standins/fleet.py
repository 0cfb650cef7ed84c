"""Discrete-event simulation of a fleet of call engines.

Callers, backend servers and links are simulated; a delivery rule can drop,
delay, duplicate or reorder every frame between nodes. Time advances from one
scheduled action to the next, so that a run depends only on its seed.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random

import msgspec

from bergamotdeal.calls import engine
from bergamotdeal.calls import messages
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import records
from standins import fleet_link
from standins import fleet_model
from standins import fleet_servers

LATENCY_S = 0.0005


class Fleet:
    """A simulated fleet of nodes with their servers, links and callers.

    Args:
      preset: Preset in force on each node at the start.
      seed: Seed of every random choice.
      deliver: Delivery rule for frames; the default delivers each once.

    Attributes:
      preset: Preset in force.
      epoch: Epoch in force.
      rng: Source of every random choice.
      now: Time in monotonic seconds.
      nodes_by_id: All nodes, by host id.
      links: Links between the nodes.
      servers: Backend servers.
      event_records: Recorded events with time and host.
      calls_sent: Sent call frames with source and target host.
    """

    def __init__(
        self,
        *,
        preset: model.Preset,
        seed: int = 1,
        deliver: fleet_link.DeliveryRule = fleet_link.deliver_all,
    ):
        self.preset = preset
        self.epoch = 1
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.nodes_by_id: dict[str, fleet_model.Node] = {}
        self.links = fleet_link.Links(fleet=self, deliver=deliver)
        self.servers = fleet_servers.Servers(fleet=self)
        self.event_records: list[tuple[float, str, records.EventRecord]] = []
        self.calls_sent: list[tuple[str, str, rpc.Call]] = []
        self._replies: dict[tuple[str, int], fleet_model.Reply] = {}
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._origin_ids = itertools.count(1)

    # --- Nodes and faults --------------------------------------------------

    def add_node(
        self,
        host_id: str,
        *,
        service: str = "",
        slots: int = 10,
        program: fleet_model.Program | None = fleet_model.answer_at_once,
        data_centre: str = "prai",
        region: str = "default",
    ) -> fleet_model.Node:
        """Adds a host and starts its node.

        Args:
          host_id: Id of the host.
          service: Service of the backend server, or empty for none.
          slots: Number of requests that the server runs concurrently.
          program: Program that the server runs for each request.
          data_centre: Data centre of the host.
          region: Region of the host.
        """
        server = None
        if service:
            server = membership.Server(
                service=service, slots=slots, connections=10 * slots
            )
        member = membership.Member(
            host_id=host_id,
            incarnation="",
            data_centre=data_centre,
            region=region,
            address="127.0.0.1",
            peer_port=1,
            server=server,
        )
        node = fleet_model.Node(member=member, engine=None, program=program)
        self.nodes_by_id[host_id] = node
        self.start_node(host_id)
        return node

    def start_node(self, host_id: str) -> None:
        """Starts a node with a new incarnation and publishes the members."""
        node = self.nodes_by_id[host_id]
        node.member = msgspec.structs.replace(
            node.member,
            incarnation=f"{self.rng.getrandbits(128):032x}",
            state=membership.MemberState.ALIVE,
        )
        node.engine = engine.Engine(
            identity=node.member,
            preset=self.preset,
            epoch=self.epoch,
            rng=random.Random(self.rng.getrandbits(64)),
        )
        node.pending_events = None
        node.wakeup = None
        self.publish_members()
        self.servers.announce(node)

    def kill_node(self, host_id: str, *, detected: bool = True) -> None:
        """Kills a node; its backend server keeps running.

        Args:
          host_id: Host of the node.
          detected: Whether the other nodes learn of the death immediately.
        """
        node = self.nodes_by_id[host_id]
        node.engine = None
        self.links.close_all(host_id)
        for (entry_host, _), reply in list(self._replies.items()):
            if entry_host == host_id:
                self._mark_disconnected(reply)
        if detected:
            self.set_state(host_id, membership.MemberState.DEAD)

    def kill_server(self, host_id: str) -> None:
        """Kills a backend server; its open runs are lost."""
        self.servers.stop(self.nodes_by_id[host_id])

    def start_server(self, host_id: str) -> None:
        """Restarts the backend server of a host."""
        node = self.nodes_by_id[host_id]
        node.server_up = True
        node.server_generation += 1
        self.servers.announce(node)

    def pause_node(self, host_id: str) -> None:
        """Pauses a node's process; arriving events are queued."""
        node = self.nodes_by_id[host_id]
        if node.pending_events is None:
            node.pending_events = []

    def resume_node(self, host_id: str) -> None:
        """Resumes a paused node and handles its queued events."""
        node = self.nodes_by_id[host_id]
        pending_events, node.pending_events = node.pending_events, None
        for event in pending_events or ():
            self.send_event(host_id, event)
        self._schedule_wakeup(node)

    def set_state(self, host_id: str, state: membership.MemberState) -> None:
        """Changes the state of a member in the views of all nodes."""
        node = self.nodes_by_id[host_id]
        node.member = msgspec.structs.replace(node.member, state=state)
        self.publish_members()

    def drain(self, host_id: str) -> None:
        """Starts the drain of a node and publishes its state."""
        self.send_event(host_id, messages.DrainStarted())
        self.set_state(host_id, membership.MemberState.DRAINING)

    def publish_members(self, *, to: list[str] | None = None) -> None:
        """Publishes the members to the given nodes, by default to all."""
        members_by_id = {
            host_id: node.member for host_id, node in self.nodes_by_id.items()
        }
        event = messages.MembersChanged(members_by_id=members_by_id)
        for host_id in to or list(self.nodes_by_id):
            self.send_event(host_id, event)

    def switch_preset(
        self, preset: model.Preset, *, to: list[str] | None = None
    ) -> None:
        """Puts a preset in force under the next epoch.

        Args:
          preset: Preset to put in force.
          to: Hosts of the nodes that learn of it; None means all.
        """
        self.epoch += 1
        self.preset = preset
        event = messages.PresetInForce(epoch=self.epoch, preset=preset)
        for host_id in to or list(self.nodes_by_id):
            self.send_event(host_id, event)

    # --- Callers -----------------------------------------------------------

    def call(
        self,
        host_id: str,
        request: rpc.Request,
        *,
        user_request_id: str,
        attempt: int = 0,
        ticket: bytes = b"",
        deadline_ms: int | None = None,
        face: messages.Face = messages.Face.ENTRY,
        context: str = "",
        idempotency_key: str = "",
        when_done: Callable[[fleet_model.Reply], None] | None = None,
    ) -> fleet_model.Reply:
        """Sends a request to the entry or egress face of a node."""
        reply = fleet_model.Reply(
            host_id=host_id,
            origin_id=next(self._origin_ids),
            request=request,
            when_done=when_done,
        )
        if self.nodes_by_id[host_id].engine is None:
            self._mark_disconnected(reply)
            return reply
        self._replies[host_id, reply.origin_id] = reply
        event = messages.CallArrived(
            origin_id=reply.origin_id,
            face=face,
            request=request,
            user_request_id=user_request_id,
            deadline_ms=deadline_ms,
            attempt=attempt,
            ticket=ticket,
            context=context,
            idempotency_key=idempotency_key,
        )
        self.send_event(host_id, event)
        return reply

    def disconnect_caller(self, reply: fleet_model.Reply) -> None:
        """Closes the connection of a caller that waits for its answer."""
        if reply.done:
            return
        del self._replies[reply.host_id, reply.origin_id]
        self._mark_disconnected(reply)
        self.send_event(
            reply.host_id,
            messages.CallerDisconnected(origin_id=reply.origin_id),
        )

    def runs_of(self, user_request_id: str) -> list[fleet_model.ServerRun]:
        """Returns the runs that servers started for a user request."""
        return [
            run
            for run in self.servers.runs
            if run.start.user_request_id == user_request_id
        ]

    # --- Time --------------------------------------------------------------

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action on the simulated clock."""
        entry = (self.now + delay_s, next(self._sequence), action)
        heapq.heappush(self._actions, entry)

    def run_for(self, seconds: float) -> None:
        """Advances the simulated time."""
        end = self.now + seconds
        while self._actions and self._actions[0][0] <= end:
            self._step()
        self.now = end

    def run_until(
        self, condition: Callable[[], bool], *, limit_s: float = 60.0
    ) -> None:
        """Advances the simulated time until a condition holds.

        Args:
          condition: Function that returns whether the condition holds.
          limit_s: Maximum simulated time in seconds.

        Raises:
          AssertionError: The condition did not hold within the limit.
        """
        end = self.now + limit_s
        while not condition():
            assert self._actions and self._actions[0][0] <= end, (
                "the condition did not hold in time"
            )
            self._step()

    def _step(self) -> None:
        when, _, action = heapq.heappop(self._actions)
        self.now = max(self.now, when)
        action()

    # --- Engines -----------------------------------------------------------

    def incarnation_of(self, host_id: str) -> str:
        """Returns the incarnation of the node of a host."""
        return self.nodes_by_id[host_id].member.incarnation

    def send_event_after(
        self, delay_s: float, host_id: str, event: messages.Event
    ) -> None:
        """Sends an event to a node later, unless the node restarts before."""
        incarnation = self.incarnation_of(host_id)

        def deliver() -> None:
            if self.incarnation_of(host_id) == incarnation:
                self.send_event(host_id, event)

        self.after(delay_s, deliver)

    def send_event(self, host_id: str, event: messages.Event) -> None:
        """Sends an event to a node and executes the resulting effects."""
        node = self.nodes_by_id[host_id]
        if node.engine is None:
            return
        if node.pending_events is not None:
            node.pending_events.append(event)
            return
        effects = collections.deque(node.engine.handle(event, self.now))
        while effects:
            self._execute_effect(node, effects.popleft())
        self._schedule_wakeup(node)

    def _schedule_wakeup(self, node: fleet_model.Node) -> None:
        if node.engine is None or node.pending_events is not None:
            return
        when = node.engine.next_wakeup()
        if when is None or when == node.wakeup:
            return
        node.wakeup = when
        incarnation = node.member.incarnation
        self.after(
            max(0.0, when - self.now), lambda: self._wake(node, incarnation)
        )

    def _wake(self, node: fleet_model.Node, incarnation: str) -> None:
        if node.member.incarnation != incarnation:
            return
        node.wakeup = None
        self.send_event(node.member.host_id, messages.TimePassed())

    def _execute_effect(
        self, node: fleet_model.Node, effect: messages.Effect
    ) -> None:
        host_id = node.member.host_id
        match effect:
            case messages.SendCall():
                self.calls_sent.append((host_id, effect.host_id, effect.call))
                self.links.send_call(host_id, effect.host_id, effect.call)
            case messages.SendCancel():
                self.links.send_cancel(host_id, effect)
            case messages.SendAnswer():
                self.links.send_answer(host_id, effect)
            case messages.ReplyToCaller():
                self._reply(host_id, effect)
            case messages.StartRun():
                self.servers.start_run(node, effect)
            case messages.CancelRun():
                self.servers.cancel_run(node, effect.run_id)
            case messages.ShareCrashReports():
                self._share_crash_reports(host_id, effect)
            case records.EventRecord():
                self.event_records.append((self.now, host_id, effect))

    def _reply(self, host_id: str, effect: messages.ReplyToCaller) -> None:
        reply = self._replies.pop((host_id, effect.origin_id), None)
        if reply is None:
            return
        assert reply.answer is None, "more than one answer for an exchange"
        reply.answer = effect.answer
        reply.user_request_id = effect.user_request_id
        if reply.when_done is not None:
            reply.when_done(reply)

    def _mark_disconnected(self, reply: fleet_model.Reply) -> None:
        self._replies.pop((reply.host_id, reply.origin_id), None)
        reply.disconnected = True
        if reply.when_done is not None:
            reply.when_done(reply)

    def _share_crash_reports(
        self, host_id: str, effect: messages.ShareCrashReports
    ) -> None:
        event = messages.PeerCrashesReported(reports=effect.reports)
        for other_id in self.nodes_by_id:
            if other_id != host_id:
                self.send_event_after(LATENCY_S, other_id, event)
