"""The membership task: owns the UDP socket and drives the gossip core."""

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
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import metrics
from bergamotdeal.wire import gossip as codec

PUBLISH_DELAY_S = 0.02
_MS_PER_S = 1000
_MAX_ANNOUNCED = 2**32 - 1

RequestBulk = Callable[..., defer.Deferred]


class _DatagramProtocol(protocol.DatagramProtocol):
    """Hands datagrams to the task."""

    def __init__(self, *, received: Callable) -> None:
        self._received = received

    def datagramReceived(self, datagram, addr):
        """Passes on one datagram with its source."""
        self._received(datagram, addr)


class MembershipTask:
    """Membership of this node.

    Args:
      settings: The node's settings.
      incarnation: 128 random bits of this process start, in hex.
      reactor: Twisted's reactor.
      post: Called with each event for the call engine.
      rng: Random source.
      request_bulk: ``PeerTask.request_bulk``; without it there is no
        anti-entropy.
      on_epoch: Called with each ``EpochAdvertised``.
      record: Called with each ``calls.messages.EventRecord`` for the time line.
      count: Called with a counter and an increment.
      timing: Intervals and bounds of the protocol.
      clock: Returns monotonic seconds.
      wall_clock: Returns seconds since the epoch.
    """

    def __init__(
        self,
        *,
        settings: settings_model.Settings,
        incarnation: str,
        reactor,
        post: Callable[[calls.Event], None],
        rng: random.Random,
        request_bulk: RequestBulk | None = None,
        on_epoch: Callable[[messages.EpochAdvertised], None] | None = None,
        record: Callable[[calls.EventRecord], None] | None = None,
        count: Callable[[metrics.Counter, int], None] | None = None,
        timing: gossip.Timing = gossip.DEFAULT_TIMING,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._reactor = reactor
        self._post = post
        self._rng = rng
        self._request_bulk = request_bulk
        self._on_epoch = on_epoch or _ignore
        self._record = record or _ignore
        self._count = count or _ignore
        self._timing = timing
        self._clock = clock
        self._wall_clock = wall_clock
        self._key = settings.peer.key.encode()
        self._gossip: gossip.Gossip | None = None
        self._port = None
        self._timer = None
        self._publishing = None

    def start(self, *, peer_port: int, admin_port: int = 0) -> int:
        """Binds the socket and makes first contact.

        Args:
          peer_port: TCP port on which the peer task listens; the UDP socket
            takes the same number. Zero lets the kernel choose one.
          admin_port: TCP port of the admin face, for other nodes' operators.

        Returns:
          The port that was bound.

        Raises:
          twisted.internet.error.CannotListenError: The port is taken.
        """
        peer = self._settings.peer
        self._port = self._reactor.listenUDP(
            peer_port,
            _DatagramProtocol(received=self._received),
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
        """Tells other nodes that this one leaves, and closes the socket.

        Returns:
          A deferred that fires when the socket is closed.
        """
        if self._port is None:
            return defer.succeed(None)
        self._handle(messages.LeaveRequested())
        for timer in (self._timer, self._publishing):
            if timer is not None and timer.active():
                timer.cancel()
        port, self._port = self._port, None
        return defer.maybeDeferred(port.stopListening)

    def deliver(self, message) -> None:
        """Takes a message of another task.

        Args:
          message: ``ServerAnnounced``, ``ServerStopped``,
            ``ServerUnresponsive``, ``ServerLeaving``, ``DrainStarted`` or
            ``ShareCrashReports`` of ``calls.messages``, or an event of the
            gossip core. Others are
            ignored.
        """
        match message:
            case calls.ServerAnnounced():
                server = core.Server(
                    service=message.service,
                    slots=min(message.slots, _MAX_ANNOUNCED),
                    connections=min(message.connections, _MAX_ANNOUNCED),
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
            case messages.EpochChanged():
                self._handle(message)

    def add_seeds(self, seeds: tuple[messages.Endpoint, ...]) -> None:
        """Adds addresses to contact while this node knows no other.

        Args:
          seeds: Addresses from settings or the registry.
        """
        self._handle(messages.SeedsFound(seeds=seeds))

    def members_by_id(self) -> dict[str, core.Member]:
        """Returns every known member with its state in this node's view."""
        if self._gossip is None:
            return {}
        return self._gossip.members_by_id()

    def joined(self) -> bool:
        """Returns whether this node knows any other live member."""
        return self._gossip is not None and self._gossip.joined()

    def frozen(self) -> bool:
        """Returns whether mass suspicion keeps this node from evicting."""
        return self._gossip is not None and self._gossip.is_eviction_frozen

    def serve(
        self, request: messages.SyncRequest | messages.SyncPush
    ) -> messages.Bulk:
        """Answers an anti-entropy message of another node.

        Args:
          request: The message.
        """
        answer, effects = self._gossip.answer_sync(request, self._clock())
        self._carry_out(effects)
        return answer

    # --- Sockets and timers ------------------------------------------------

    def _received(self, data: bytes, source: tuple[str, int]) -> None:
        if self._port is None:
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

    def _wake(self) -> None:
        self._handle(messages.TimePassed())

    def _handle(self, event: messages.Event) -> None:
        if self._port is None:
            return
        try:
            self._carry_out(self._gossip.handle(event, self._clock()))
        except Exception:  # A fault in one event must not end the task.
            self._fail(traceback.format_exc())
        self._set_timer()

    def _set_timer(self) -> None:
        if self._port is None:
            return
        delay = max(0.0, self._gossip.next_wakeup() - self._clock())
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay)
        else:
            self._timer = self._reactor.callLater(delay, self._wake)

    def _fail(self, trace: str) -> None:
        self._record(
            calls.EventRecord(
                code=catalogue.EventCode.TASK_FAILED,
                fields={"task": "membership", "trace": trace},
            )
        )

    # --- Effects -----------------------------------------------------------

    def _carry_out(self, effects: list[messages.Effect]) -> None:
        changed = False
        for effect in effects:
            match effect:
                case messages.SendDatagram():
                    self._send(effect)
                case messages.SendBulk():
                    self._exchange(effect)
                case messages.ViewChanged():
                    changed = True
                case messages.EpochAdvertised():
                    self._on_epoch(effect)
                case messages.CrashReportsReceived(reports=reports):
                    self._post(calls.PeerCrashesReported(reports=list(reports)))
                case messages.EmitEvent(code=code, fields=fields):
                    self._record(calls.EventRecord(code=code, fields=fields))
        if changed and self._publishing is None:
            # Many members may change at once, and each copy holds them all.
            self._publishing = self._reactor.callLater(
                PUBLISH_DELAY_S, self._publish
            )

    def _publish(self) -> None:
        self._publishing = None
        members_by_id = self._gossip.members_by_id()
        self._post(calls.MembersChanged(members_by_id=members_by_id))

    def _send(self, effect: messages.SendDatagram) -> None:
        data = codec.encode_datagram(effect.datagram, self._key)
        endpoint = effect.endpoint
        try:
            self._port.write(data, (endpoint.address, endpoint.port))
        except (OSError, ValueError):
            return  # Like a datagram that the network lost.
        self._count(metrics.Counter.GOSSIP_DATAGRAMS_SENT, 1)
        self._count(metrics.Counter.GOSSIP_BYTES_SENT, len(data))

    def _exchange(self, effect: messages.SendBulk) -> None:
        if self._request_bulk is None:
            return
        payload = codec.encode_bulk(effect.bulk)
        self._count(metrics.Counter.GOSSIP_BYTES_SENT, len(payload))
        answered = self._request_bulk(
            address=effect.endpoint.address,
            port=effect.endpoint.port,
            payload=payload,
        )
        answered.addCallbacks(
            self._answered,
            self._exchange_failed,
            callbackArgs=(effect.endpoint,),
            errbackArgs=(effect.endpoint,),
        )

    def _answered(self, payload: bytes, endpoint: messages.Endpoint) -> None:
        match codec.decode_bulk(payload):
            case result.Ok(messages.SyncResponse() | messages.SyncDone() as a):
                event = messages.SyncAnswered(endpoint=endpoint, answer=a)
                self._handle(event)
            case _:
                self._handle(messages.SyncFailed(endpoint=endpoint))

    def _exchange_failed(self, _, endpoint: messages.Endpoint) -> None:
        self._handle(messages.SyncFailed(endpoint=endpoint))


def parse_seeds(seeds: tuple[str, ...]) -> tuple[messages.Endpoint, ...]:
    """Reads the seeds of the settings.

    Args:
      seeds: ``address:port`` of each; the settings' check made sure of it.
    """
    endpoints = []
    for seed in seeds:
        address, _, port = seed.rpartition(":")
        endpoints.append(messages.Endpoint(address=address, port=int(port)))
    return tuple(endpoints)


def _ignore(*_) -> None:
    """Stands in for a callable that was not given."""
