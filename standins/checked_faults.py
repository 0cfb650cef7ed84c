"""Fault injection into the simulated fleet.

Each fault appears to the nodes as the kernel and the membership protocol would
report it: closed links, missing answers and state changes after a delay.
"""

import enum

from bergamotdeal.calls import messages
from bergamotdeal.membership import core as membership
from standins import checked_callers
from standins import checked_fleet
from standins import ledger

_DRAIN_POLL_S = 0.02
_FLUSH_S = 0.005
_HEARTBEAT_LOSS_S = 2.0
_SUSPICION_S = 1.5
_DEATH_DETECTION_S = 1.0
_SLOW_FACTOR = 60.0
_SLOW_S = 3.0
_SURGE_CALLERS = 60
_SURGE_S = 0.05
_IMMEDIATE_RESENDS = 3
_RATE_LIMIT = 5.0
_RATE_LIMIT_S = 3.0


class Fault(enum.Enum):
    """Kind of fault; the values are the names in the fault matrix."""

    SLOW_SERVICE = "slow deep service"
    SURGE = "surge"
    HARD_RETRIES = "hard-retrying callers"
    PAUSED_NODE = "paused process"
    RACING_SWITCHES = "racing operators"
    CRASHING_REQUEST = "crashing request"
    SILENT_CONNECTION = "silent connection"
    NODE_KILLED = "node killed"
    SERVER_KILLED = "server killed"
    CENTRE_CUT_OFF = "data centre cut off"
    DRAIN = "drain"
    JOIN = "join"
    RATE_LIMIT = "rate-limited server"


class FaultInjector:
    """An injector of faults into the simulated fleet.

    Args:
      checked: Fleet under test.
    """

    def __init__(self, *, checked: "checked_fleet.CheckedFleet"):
        self._checked = checked
        self._fleet = checked.fleet
        self._extra_hosts = 10
        self._extra_callers = 0
        checked.on_crash = self.kill_server

    def inject(
        self,
        fault: Fault,
        host_id: str,
        caller: "checked_callers.Caller",
    ) -> None:
        """Injects one fault.

        Args:
          fault: Kind of fault.
          host_id: Host at which the fault is injected.
          caller: Caller that retries or whose request crashes servers, for
            the faults that concern a request.
        """
        match fault:
            case Fault.SLOW_SERVICE:
                self.slow_service(self._checked.service_of(host_id))
            case Fault.SURGE:
                self.send_surge()
            case Fault.HARD_RETRIES:
                for _ in range(_IMMEDIATE_RESENDS):
                    caller.resend_immediately()
            case Fault.RACING_SWITCHES:
                self.switch()
                self.switch(reverse=True)
            case Fault.CRASHING_REQUEST:
                self._checked.crashing.add(caller.key)
                self.kill_server(host_id)
            case _:
                self._inject_host_fault(fault, host_id)

    def _inject_host_fault(self, fault: Fault, host_id: str) -> None:
        match fault:
            case Fault.PAUSED_NODE:
                self.pause_node(host_id)
            case Fault.SILENT_CONNECTION:
                self.silence_links(host_id)
            case Fault.NODE_KILLED:
                self.kill_node(host_id)
            case Fault.SERVER_KILLED:
                self.kill_server(host_id)
            case Fault.CENTRE_CUT_OFF:
                node = self._fleet.nodes_by_id[host_id]
                self.partition_data_centre(node.member.data_centre)
            case Fault.DRAIN:
                self.drain(host_id)
            case Fault.JOIN:
                self.join_host(self._checked.service_of(host_id))
            case Fault.RATE_LIMIT:
                self.limit_rate(host_id)

    def limit_rate(self, host_id: str) -> None:
        """Makes a backend server name a rate limit for some seconds."""
        self._fleet.send_event(
            host_id, messages.ServerRateLimited(rate_limit=_RATE_LIMIT)
        )
        self._checked.after(
            _RATE_LIMIT_S,
            lambda: self._fleet.send_event(
                host_id, messages.ServerRateLimited(rate_limit=None)
            ),
        )

    def slow_service(self, service: str) -> None:
        """Multiplies the service time of a service for some seconds."""
        self._checked.slow_by_service[service] = _SLOW_FACTOR
        self._checked.after(
            _SLOW_S,
            lambda: self._checked.slow_by_service.pop(service, None),
        )

    def send_surge(self) -> None:
        """Starts many additional callers within a few milliseconds."""
        checked = self._checked
        for _ in range(_SURGE_CALLERS):
            self._extra_callers += 1
            number = self._extra_callers
            caller = checked_callers.Caller(
                checked=checked,
                key=f"surge-{number}",
                path=checked_fleet.BROWSE_PATH
                if number % 4
                else checked_fleet.BOOK_PATH,
                repeatable=bool(number % 4),
            )
            checked.after(checked.rng.uniform(0, _SURGE_S), caller.send)

    def join_host(self, service: str) -> None:
        """Adds a host with a new server of a service."""
        self._extra_hosts += 1
        self._checked.add_host(service, self._extra_hosts)

    def kill_server(self, host_id: str, *, restart_after_s: float = 1) -> None:
        """Kills a backend server and restarts it later."""
        node = self._fleet.nodes_by_id[host_id]
        if not node.server_up:
            return
        self._record_disturbance(host_id)
        self._fleet.kill_server(host_id)
        self._checked.after(
            restart_after_s, lambda: self._fleet.start_server(host_id)
        )

    def kill_node(self, host_id: str, *, restart_after_s: float = 3) -> None:
        """Kills a node, but not its backend server, and restarts it later."""
        if not self._checked.is_up(host_id):
            return
        self._checked.record_host_down(host_id)
        self._fleet.kill_node(host_id, detected=False)
        self._checked.after(
            _DEATH_DETECTION_S,
            lambda: self._set_state(host_id, membership.MemberState.DEAD),
        )
        self._checked.after(restart_after_s, lambda: self._restart(host_id))

    def pause_node(self, host_id: str, *, seconds: float = 5) -> None:
        """Pauses a node's process; missed heartbeats close its links."""
        node = self._fleet.nodes_by_id[host_id]
        if node.engine is None or node.pending_events is not None:
            return
        self._checked.record_host_down(host_id)
        self._fleet.pause_node(host_id)
        self._checked.after(
            _HEARTBEAT_LOSS_S, lambda: self._fleet.links.close_all(host_id)
        )
        self._checked.after(
            _SUSPICION_S,
            lambda: self._set_state(host_id, membership.MemberState.SUSPECT),
        )
        self._checked.after(seconds, lambda: self._resume(host_id))

    def silence_links(self, host_id: str) -> None:
        """Drops all frames on the open links of a host.

        Missed heartbeats close these links; links opened afterwards work.
        """
        pairs = {
            frozenset({host_id, other})
            for other in self._fleet.nodes_by_id
            if other != host_id
        }
        self._checked.silenced_host_pairs |= pairs
        for other in self._fleet.nodes_by_id:
            self._record_disturbance(other)
        self._checked.after(
            _HEARTBEAT_LOSS_S, lambda: self._replace_links(host_id, pairs)
        )

    def partition_data_centre(
        self, data_centre: str, *, seconds: float = 5
    ) -> None:
        """Partitions a data centre from the others for some seconds."""
        inside = self._hosts_in(data_centre)
        outside = set(self._fleet.nodes_by_id) - inside
        pairs = [(one, other) for one in inside for other in outside]
        for host_id in inside:
            self._checked.record_host_down(host_id)
        for host_id in outside:
            self._record_disturbance(host_id)
        self._checked.silenced_host_pairs |= {frozenset(pair) for pair in pairs}
        self._checked.after(_HEARTBEAT_LOSS_S, lambda: self._partition(pairs))
        self._checked.after(
            seconds, lambda: self._heal_partition(pairs, inside)
        )

    def drain(self, host_id: str) -> None:
        """Starts the graceful shutdown of a node."""
        node = self._fleet.nodes_by_id[host_id]
        if node.engine is None or node.pending_events is not None:
            return
        self._checked.entries.append(
            ledger.DrainAsked(at=self._checked.now, host_id=host_id)
        )
        self._fleet.drain(host_id)
        incarnation = node.member.incarnation
        self._checked.after(
            _DRAIN_POLL_S, lambda: self._end_drain(host_id, incarnation)
        )

    def switch(self, *, reverse: bool = False) -> None:
        """Puts the next preset in force, with a different delay at each node.

        Args:
          reverse: Whether the nodes learn of it in the opposite order.
        """
        self._fleet.epoch += 1
        epoch = self._fleet.epoch
        preset = checked_fleet.make_preset(f"epoch-{epoch}")
        self._fleet.preset = preset
        self._checked.entries.append(
            ledger.SwitchAccepted(
                at=self._checked.now,
                operation_id=f"operation-{epoch}",
                epoch=epoch,
                preset_name=preset.name,
            )
        )
        event = messages.PresetInForce(epoch=epoch, preset=preset)
        for number, host_id in enumerate(sorted(self._fleet.nodes_by_id)):
            delay_s = 0.1 * (number % 5 if not reverse else 4 - number % 5)
            self._fleet.send_event_after(delay_s, host_id, event)

    def _record_disturbance(self, host_id: str) -> None:
        """Records that requests in flight at a host may be lost."""
        self._checked.entries.append(
            ledger.HostDisturbed(at=self._checked.now, host_id=host_id)
        )

    def _set_state(self, host_id: str, state: membership.MemberState) -> None:
        node = self._fleet.nodes_by_id[host_id]
        is_unavailable = node.engine is None or node.pending_events is not None
        if is_unavailable or state is membership.MemberState.ALIVE:
            self._fleet.set_state(host_id, state)

    def _restart(self, host_id: str) -> None:
        if not self._checked.is_up(host_id):
            self._fleet.start_node(host_id)
            self._checked.record_host_up(host_id, fresh=True)

    def _resume(self, host_id: str) -> None:
        if self._checked.is_up(host_id):
            self._fleet.resume_node(host_id)
            self._fleet.set_state(host_id, membership.MemberState.ALIVE)
            self._checked.record_host_up(host_id)

    def _replace_links(self, host_id: str, pairs: set[frozenset[str]]) -> None:
        self._checked.silenced_host_pairs -= pairs
        self._fleet.links.close_all(host_id)

    def _hosts_in(self, data_centre: str) -> set[str]:
        return {
            host_id
            for host_id, node in self._fleet.nodes_by_id.items()
            if node.member.data_centre == data_centre
        }

    def _partition(self, pairs: list[tuple[str, str]]) -> None:
        for one, other in pairs:
            self._fleet.links.partition(one, other)

    def _heal_partition(
        self, pairs: list[tuple[str, str]], inside: set[str]
    ) -> None:
        for one, other in pairs:
            self._checked.silenced_host_pairs.discard(frozenset({one, other}))
            self._fleet.links.heal(one, other)
        for host_id in inside:
            self._checked.record_host_up(host_id)

    def _end_drain(self, host_id: str, incarnation: str) -> None:
        node = self._fleet.nodes_by_id[host_id]
        if node.engine is None or node.member.incarnation != incarnation:
            return
        if node.pending_events is not None or not node.engine.is_idle():
            self._checked.after(
                _DRAIN_POLL_S, lambda: self._end_drain(host_id, incarnation)
            )
            return
        self._checked.entries.append(
            ledger.DrainEnded(
                at=self._checked.now, host_id=host_id, exit_code=0
            )
        )
        # Data written before the exit is still delivered.
        self._checked.after(_FLUSH_S, lambda: self._fleet.kill_node(host_id))
