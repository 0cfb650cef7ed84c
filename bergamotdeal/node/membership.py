"""Membership task: runs the gossip core over a UDP socket."""

from collections.abc import Callable
import random
import time
import traceback

import result
from twisted.internet import defer
from twisted.internet import protocol

from bergamotdeal.calls import messages as calls
from bergamotdeal.membership import core
from bergamotdeal.membership import gossip
from bergamotdeal.membership import messages
from bergamotdeal.membership import timing as timings
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import records
from bergamotdeal.wire import gossip as codec

PUBLISH_DELAY_S = 0.02
PUBLISH_DELAY_PER_MEMBER_S = 0.0005
"""Each event copies all members and rebuilds tables over them. With this delay
a change of the whole fleet takes a hundredth of a core at any fleet size."""

_MS_PER_S = 1000
_MAX_UINT32 = 2**32 - 1

SendBulkRequest = Callable[..., defer.Deferred]


class _DatagramProtocol(protocol.DatagramProtocol):
    """UDP protocol that passes datagrams to the task."""

    def __init__(self, *, handle_datagram: Callable) -> None:
        self._handle_datagram = handle_datagram

    def datagramReceived(self, datagram, addr):
        """Passes on one datagram with its source address."""
        self._handle_datagram(datagram, addr)


class MembershipTask:
    """Task that maintains this node's view of the fleet's members.

    Args:
      settings: The node's settings.
      incarnation: Random id of this process start, 128 bits in hexadecimal.
      reactor: The reactor.
      post: Called with each event for the call engine.
      rng: Random number generator.
      send_bulk_request: ``PeerTask.send_bulk_request``; None disables
        anti-entropy.
      on_epoch_heard: Called with each ``EpochAdvertised`` and
        ``NoEpochAdvertised``.
      on_store_era_heard: Called with each era of the store that another node
        told.
      on_crashes_heard: Called after each change of the known crash reports.
      record: Called with each event for the event log.
      count: Called with a counter and its increment.
      handle_other_datagram: Called with each datagram and its source before
        it is decoded; returns whether the datagram was not one of gossip.
      timing: Intervals and timeouts of the protocol.
      clock: Returns monotonic seconds.
      wall_clock: Returns Unix seconds.
    """

    def __init__(
        self,
        *,
        settings: settings_model.Settings,
        incarnation: str,
        reactor,
        post: Callable[[calls.Event], None],
        rng: random.Random,
        send_bulk_request: SendBulkRequest | None = None,
        on_epoch_heard: Callable[[messages.EpochNotice], None] | None = None,
        on_store_era_heard: Callable[[int], None] | None = None,
        on_crashes_heard: Callable[[], None] | None = None,
        record: Callable[[records.EventRecord], None] | None = None,
        count: Callable[[metrics.Counter, int], None] | None = None,
        handle_other_datagram: Callable[[bytes, tuple[str, int]], bool]
        | None = None,
        timing: timings.Timing = timings.DEFAULT_TIMING,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._reactor = reactor
        self._post = post
        self._rng = rng
        self._send_bulk_request = send_bulk_request
        self._on_epoch_heard = on_epoch_heard or _ignore
        self._on_store_era_heard = on_store_era_heard or _ignore
        self._on_crashes_heard = on_crashes_heard or _ignore
        self._record = record or _ignore
        self._count = count or _ignore
        self._handle_other_datagram = handle_other_datagram or _ignore
        self._timing = timing
        self._clock = clock
        self._wall_clock = wall_clock
        self._key = settings.peer.key.encode()
        self._gossip: gossip.Gossip | None = None
        self._port = None
        self._wakeup_timer = None
        self._publish_timer = None
        self._published_by_id: dict[str, core.Member] = {}

    def start(self, *, peer_port: int, admin_port: int = 0) -> int:
        """Binds the socket and contacts the seeds.

        Args:
          peer_port: TCP port on which the peer task listens; the UDP socket
            is bound to the same number. Zero lets the kernel choose one.
          admin_port: TCP port of the admin listener, announced to the fleet.

        Returns:
          The bound UDP port.

        Raises:
          twisted.internet.error.CannotListenError: The port is in use.
        """
        peer = self._settings.peer
        self._port = self._reactor.listenUDP(
            peer_port,
            _DatagramProtocol(handle_datagram=self._handle_datagram),
            interface=peer.address,
        )
        port = self._port.getHost().port
        node = self._settings.node
        own = core.Member(
            host_id=node.host_id,
            incarnation=self._incarnation,
            state_number=int(self._wall_clock() * _MS_PER_S),
            data_centre=node.data_centre,
            region=node.region,
            address=peer.address,
            peer_port=port,
            admin_port=admin_port,
        )
        self._gossip = gossip.Gossip(
            own_record=own,
            rng=self._rng,
            now=self._clock(),
            timing=self._timing,
        )
        self._publish()
        self.add_seeds(parse_seeds(peer.seeds))
        return port

    def stop(self) -> defer.Deferred:
        """Announces that this node leaves, and closes the socket.

        Returns:
          A deferred that fires when the socket is closed.
        """
        if self._port is None:
            return defer.succeed(None)
        self._handle(messages.LeaveRequested())
        for timer in (self._wakeup_timer, self._publish_timer):
            if timer is not None and timer.active():
                timer.cancel()
        port, self._port = self._port, None
        return defer.maybeDeferred(port.stopListening)

    def deliver(self, message) -> None:
        """Handles a message of another task.

        Args:
          message: ``ServerAnnounced``, ``ServerStopped``,
            ``ServerUnresponsive``, ``ServerLeaving``, ``DrainStarted`` or
            ``ShareCrashReports`` of ``calls.messages``, or an event of the
            gossip core. Others are ignored.
        """
        match message:
            case calls.ServerAnnounced():
                server = core.Server(
                    service=message.service,
                    slots=min(message.slots, _MAX_UINT32),
                    connections=min(message.connections, _MAX_UINT32),
                )
                self._handle(messages.ServerChanged(server=server))
            case (
                calls.ServerStopped()
                | calls.ServerUnresponsive()
                | calls.ServerLeaving()
            ):
                self._handle(messages.ServerChanged(server=None))
            case calls.DrainStarted():
                self._handle(messages.NodeDraining())
            case calls.ShareCrashReports(reports=reports):
                event = messages.CrashReportsCreated(reports=tuple(reports))
                self._handle(event)
                self._on_crashes_heard()
            case messages.EpochChanged() | messages.StoreEraChanged():
                self._handle(message)

    def add_seeds(self, seeds: tuple[messages.Endpoint, ...]) -> None:
        """Adds addresses to contact while this node knows no other node.

        Args:
          seeds: Addresses from the settings or the registry.
        """
        self._handle(messages.SeedsFound(seeds=seeds))

    def add_crash_reports(self, reports: tuple[core.CrashReport, ...]) -> None:
        """Adds crash reports from the registry.

        Args:
          reports: The reports; known ones are ignored.
        """
        self._handle(messages.CrashReportsFound(reports=reports))

    def list_confirmed_crashes(self) -> tuple[core.CrashReport, ...]:
        """Returns this node's crash reports that another crash confirms."""
        if self._gossip is None:
            return ()
        return self._gossip.list_confirmed_crashes(self._clock())

    @property
    def state_number(self) -> int:
        """Number of this node's own record, zero before the start."""
        return self._gossip.own_record.state_number if self._gossip else 0

    def members_by_id(self) -> dict[str, core.Member]:
        """Returns the known members with their state in this node's view."""
        if self._gossip is None:
            return {}
        return self._gossip.members_by_id()

    def routed_by_id(self) -> dict[str, core.Member]:
        """Returns the members by which the call engine routes.

        They are the ones that were published to it last, and lag behind
        ``members_by_id`` by the publication delay.
        """
        return self._published_by_id

    def joined(self) -> bool:
        """Returns whether this node knows another live member."""
        return self._gossip is not None and self._gossip.joined()

    def is_eviction_frozen(self) -> bool:
        """Returns whether mass suspicion suspends evictions."""
        return self._gossip is not None and self._gossip.is_eviction_frozen

    def answer_sync(self, request: messages.SyncMessage) -> messages.Bulk:
        """Answers an anti-entropy request of another node.

        Args:
          request: The request.

        Returns:
          The response to send.
        """
        answer, effects = self._gossip.answer_sync(request, self._clock())
        self._execute_effects(effects)
        return answer

    # Sockets and timers.

    def _handle_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        if self._port is None or self._handle_other_datagram(data, source):
            return
        match codec.decode_datagram(data, self._key):
            case result.Err(_):
                self._count(metrics.Counter.GOSSIP_DATAGRAMS_DROPPED, 1)
            case result.Ok(datagram):
                address, port = source[:2]
                endpoint = messages.Endpoint(address=address, port=port)
                self._handle(
                    messages.DatagramArrived(datagram=datagram, source=endpoint)
                )

    def _handle_wakeup(self) -> None:
        self._handle(messages.TimePassed())

    def _handle(self, event: messages.Event) -> None:
        if self._port is None:
            return
        try:
            self._execute_effects(self._gossip.handle(event, self._clock()))
        except Exception:  # A fault in one event must not stop the task.
            self._record_failure(traceback.format_exc())
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        if self._port is None:
            return
        delay_s = max(0.0, self._gossip.next_wakeup() - self._clock())
        if self._wakeup_timer is not None and self._wakeup_timer.active():
            self._wakeup_timer.reset(delay_s)
        else:
            self._wakeup_timer = self._reactor.callLater(
                delay_s, self._handle_wakeup
            )

    def _record_failure(self, trace: str) -> None:
        self._record(
            records.EventRecord(
                code=catalogue.EventCode.TASK_FAILED,
                fields={"task": "membership", "trace": trace},
            )
        )

    # Effects.

    def _execute_effects(self, effects: list[messages.Effect]) -> None:
        has_changed = False
        for effect in effects:
            match effect:
                case messages.SendDatagram():
                    self._send_datagram(effect)
                case messages.SendBulk():
                    self._send_bulk(effect)
                case messages.ViewChanged():
                    has_changed = True
                case messages.EpochAdvertised() | messages.NoEpochAdvertised():
                    self._on_epoch_heard(effect)
                case messages.StoreEraAdvertised(era=era):
                    self._on_store_era_heard(era)
                case messages.CrashReportsReceived(reports=reports):
                    self._post(calls.PeerCrashesReported(reports=list(reports)))
                    self._on_crashes_heard()
                case messages.EmitEvent(code=code, fields=fields):
                    self._record(records.EventRecord(code=code, fields=fields))
        if has_changed and self._publish_timer is None:
            # Each event copies all members, so changes close together are
            # published as one.
            delay_s = PUBLISH_DELAY_S + (
                PUBLISH_DELAY_PER_MEMBER_S * self._gossip.member_count
            )
            self._publish_timer = self._reactor.callLater(
                delay_s, self._publish
            )

    def _publish(self) -> None:
        self._publish_timer = None
        members_by_id = self._gossip.members_by_id()
        self._published_by_id = members_by_id
        self._post(calls.MembersChanged(members_by_id=members_by_id))

    def send_other_datagram(self, data: bytes, address: str, port: int) -> None:
        """Sends a datagram of another task on the socket of gossip.

        Args:
          data: The datagram.
          address: IP address of the receiver.
          port: UDP port of the receiver.
        """
        if self._port is None:
            return
        try:
            self._port.write(data, (address, port))
        except (OSError, ValueError):
            return  # As if the datagram was lost.

    def _send_datagram(self, effect: messages.SendDatagram) -> None:
        data = codec.encode_datagram(effect.datagram, self._key)
        endpoint = effect.endpoint
        try:
            self._port.write(data, (endpoint.address, endpoint.port))
        except (OSError, ValueError):
            return  # Gossip tolerates datagram loss.
        self._count(metrics.Counter.GOSSIP_DATAGRAMS_SENT, 1)
        self._count(metrics.Counter.GOSSIP_BYTES_SENT, len(data))

    def _send_bulk(self, effect: messages.SendBulk) -> None:
        if self._send_bulk_request is None:
            return
        payload = codec.encode_bulk(effect.bulk)
        self._count(metrics.Counter.GOSSIP_BYTES_SENT, len(payload))
        pending_answer = self._send_bulk_request(
            address=effect.endpoint.address,
            port=effect.endpoint.port,
            payload=payload,
        )
        pending_answer.addCallbacks(
            self._handle_sync_answer,
            self._handle_sync_failure,
            callbackArgs=(effect.endpoint,),
            errbackArgs=(effect.endpoint,),
        )

    def _handle_sync_answer(
        self, payload: bytes, endpoint: messages.Endpoint
    ) -> None:
        match codec.decode_bulk(payload):
            case result.Ok(messages.SyncResponse() | messages.SyncDone() as a):
                event = messages.SyncAnswered(endpoint=endpoint, answer=a)
                self._handle(event)
            case _:
                self._handle(messages.SyncFailed(endpoint=endpoint))

    def _handle_sync_failure(self, _, endpoint: messages.Endpoint) -> None:
        self._handle(messages.SyncFailed(endpoint=endpoint))


def parse_seeds(seeds: tuple[str, ...]) -> tuple[messages.Endpoint, ...]:
    """Parses the seeds of the settings.

    Args:
      seeds: Seeds as ``address:port``, validated with the settings.

    Returns:
      The endpoints, in the same order.
    """
    endpoints = []
    for seed in seeds:
        address, _, port = seed.rpartition(":")
        endpoints.append(messages.Endpoint(address=address, port=int(port)))
    return tuple(endpoints)


def _ignore(*_) -> None:
    """Does nothing; default of the optional callbacks."""
