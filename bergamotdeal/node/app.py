"""Assembles the node from its tasks."""

import itertools
import random
import secrets

import result
from twisted.internet import task

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages
from bergamotdeal.membership import core as membership
from bergamotdeal.node import admin
from bergamotdeal.node import announcements
from bergamotdeal.node import bulk_server
from bergamotdeal.node import drain
from bergamotdeal.node import environment
from bergamotdeal.node import faces
from bergamotdeal.node import failure_observer
from bergamotdeal.node import hub
from bergamotdeal.node import membership as membership_task
from bergamotdeal.node import observation
from bergamotdeal.node import peer
from bergamotdeal.node import presets as presets_task
from bergamotdeal.node import registry as registry_task
from bergamotdeal.node import server_inquiry
from bergamotdeal.node import server_life
from bergamotdeal.node import server_link
from bergamotdeal.node import status as node_status
from bergamotdeal.node import status_report
from bergamotdeal.node import timed_engine
from bergamotdeal.presets import files as preset_files
from bergamotdeal.presets import follower
from bergamotdeal.presets import model as preset_model
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import core as store_core
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import metrics

INCARNATION_BYTES = 16
FLUSH_POLL_S = 0.01
CLOSE_IDLE_SHARE = 0.25
"""Part of the flush after which idle connections are closed."""

SETTINGS_CHECK_S = 2.0
"""Time between looks at the settings file, which may change unannounced."""

NO_EPOCH = -1
MS_PER_S = 1000


class InvalidPresetError(Exception):
    """The preset file named in the settings can't be used."""


class Application:
    """A node: its tasks, wired to the call engine.

    Args:
      settings: The node's settings.
      reactor: The reactor.
      platform_hooks: Integration points of the platform.

    Attributes:
      instance_tracker: Which start of the backend server the node has heard of.
    """

    def __init__(
        self,
        *,
        settings: settings_model.Settings,
        reactor,
        platform_hooks: environment.PlatformHooks = environment.DEFAULT_HOOKS,
    ) -> None:
        self._settings = settings
        self._platform_hooks = platform_hooks
        self.instance_tracker = server_life.ServerInstanceTracker()
        self._reactor = reactor
        self._rng = random.SystemRandom()
        self._started_at = reactor.seconds()
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._observation = observation.Observation(
            settings=settings, reactor=reactor
        )
        self._recorder = self._observation.recorder
        self._record = self._recorder.record
        self._served = False
        self._announced: messages.ServerAnnounced | None = None
        self._engine = self._build_engine()
        self._hub = hub.Hub(
            reactor=reactor,
            engine=timed_engine.TimedEngine(
                engine=self._engine, counts=self._recorder.metrics
            ),
            record=self._record,
            share_crash_reports=lambda effect: self._membership.deliver(effect),
        )
        self._server = server_link.ServerConnectionPool(
            reactor=reactor,
            post=self._server_posted,
            dialect=platform_hooks.server_dialect,
            announcement_timeout_s=platform_hooks.server_timeout_s,
        )
        self._peer = self._build_peer()
        self._membership = self._build_membership()
        self._store = self._build_store()
        self._presets = self._build_presets()
        self._registry = self._build_registry()
        self._bulk_server = bulk_server.BulkServer(
            membership=self._membership, presets=self._presets
        )
        self._entry, self._egress = self._build_faces()
        self._admin = admin.AdminListener(
            node=self,
            host_id=settings.node.host_id,
            events=self._recorder.ring,
            token=settings.admin.token,
            record=self._record,
        )
        self._flush_s = settings.drain.flush_ms / MS_PER_S
        self._settings_checks = task.LoopingCall(self._check_settings)
        self._settings_checks.clock = reactor
        self._platform_listeners: list[environment.PlatformListener] = []
        if platform_hooks.build_listeners is not None:
            self._platform_listeners = platform_hooks.build_listeners(self)
        self._drain = drain.Drain(
            reactor=reactor,
            is_idle=self._engine.is_idle,
            on_started=self._drain_started,
            on_finished=self._drain_finished,
            on_entry_closed=self._entry_closed,
            settle_s=settings.drain.settle_ms / MS_PER_S,
            entry_open_s=settings.drain.entry_open_ms / MS_PER_S,
            max_drain_s=settings.drain.longest_ms / MS_PER_S,
        )
        self._hub.connect(
            face_tasks=[self._entry, self._egress],
            peer_task=self._peer,
            server_task=self._server,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node knows the preset in force."""
        return self._served

    @property
    def is_accepting(self) -> bool:
        """Whether callers may be sent to this node."""
        return self._served and not self._drain.is_draining

    def start(self) -> None:
        """Opens the faces and makes contact with the fleet."""
        settings = self._settings
        self._observation.start(read_status=self.status)
        self._note(
            catalogue.EventCode.NODE_STARTED,
            host=settings.node.host_id,
            incarnation=self._incarnation,
        )
        self._peer.start(address=settings.peer.address, port=settings.peer.port)
        self._server.start()
        pairs = [(self._entry, settings.entry), (self._admin, settings.admin)]
        if self._platform_hooks.has_egress:
            pairs.insert(0, (self._egress, settings.egress))
        for face, section in pairs:
            face.start(
                reactor=self._reactor,
                address=section.address,
                port=section.port,
            )
        self._membership.start(
            peer_port=self._peer.port,
            admin_port=status_report.find_reachable_admin_port(settings),
        )
        for listener in self._platform_listeners:
            listener.start(self._reactor)
        if self._platform_hooks.has_settings_changed is not None:
            self._settings_checks.start(SETTINGS_CHECK_S, now=False)
        self._presets.start()
        if self._registry is not None:
            self._registry.start()

    def report_failures(self) -> None:
        """Puts errors that no task caught on the time line."""
        failure_observer.FailureObserver(record=self._record).start()

    # What the admin face asks.

    def start_drain(self) -> None:
        """Starts a graceful shutdown; a second call changes nothing."""
        self._drain.start()

    def reload_settings(self) -> None:
        """Reads the settings again; unusable ones leave the old in force."""
        reload = self._platform_hooks.reload_settings
        if reload is None:
            return
        source = self._settings.node.host_id
        problem = reload()
        if problem is None:
            code, fields = catalogue.EventCode.SETTINGS_RELOADED, {}
        else:
            code = catalogue.EventCode.SETTINGS_REJECTED
            fields = {"reason": problem}
        self._note(code, source=source, **fields)

    def _check_settings(self) -> None:
        if self._platform_hooks.has_settings_changed():
            self.reload_settings()

    # What the side faces ask and tell.

    def register_server(self, announcement: server_link.Announcement) -> None:
        """Takes an announcement of the local backend server."""
        self._server.handle_announcement(announcement)

    def deregister_server(self, instance: str) -> None:
        """Takes the local backend server's word that it leaves."""
        self._server.handle_server_leaving(instance)

    def record_rejected_announcement(self, reason: str) -> None:
        """Takes an announcement that names no server to use."""
        self._note(catalogue.EventCode.ANNOUNCEMENT_REJECTED, reason=reason)

    def metrics_text(self) -> bytes:
        """Returns counters and timings as text."""
        return self._recorder.metrics.exposition()

    def status(self, *, with_members: bool) -> node_status.NodeStatus:
        """Returns the node's status.

        Args:
          with_members: Whether the fleet's members are wanted, too.
        """
        node = self._settings.node
        members_by_id = self._membership.members_by_id() if with_members else {}
        preset = self._presets.preset
        return node_status.NodeStatus(
            host_id=node.host_id,
            incarnation=self._incarnation,
            data_centre=node.data_centre,
            region=node.region,
            ready=self.is_ready,
            not_ready_reason=self._presets.problem() or "",
            draining=self._drain.is_draining,
            epoch=max(0, self._presets.epoch),
            preset_name=preset.name if preset else "",
            uptime_s=self._reactor.seconds() - self._started_at,
            resident_bytes=status_report.measure_resident_bytes(),
            server=status_report.build_server_status(
                self._engine, server=self._announced, preset=preset
            ),
            members=[
                status_report.build_member_status(member)
                for member in members_by_id.values()
            ],
            counters_by_name=self._recorder.metrics.totals(),
        )

    def offer_in_force(self, data: bytes) -> result.Result[int, str]:
        """Takes the accepted in-force object that an operator hands over.

        Args:
          data: The object's encoded content.

        Returns:
          The epoch in force here now, or why the content can't be accepted.
        """
        return self._presets.offer(data)

    # Assembly.

    def _build_engine(self) -> call_engine.Engine:
        settings = self._settings
        identity = membership.Member(
            host_id=settings.node.host_id,
            incarnation=self._incarnation,
            data_centre=settings.node.data_centre,
            region=settings.node.region,
            address=settings.peer.address,
            peer_port=settings.peer.port,
        )
        return call_engine.Engine(
            identity=identity,
            preset=preset_model.Preset(name="none"),
            epoch=NO_EPOCH,
            # Routing needs speed here, not secrecy.
            rng=random.Random(self._rng.getrandbits(64)),
            caller_service=self._settings.node.service,
        )

    def _build_peer(self) -> peer.PeerTask:
        return peer.PeerTask(
            reactor=self._reactor,
            host_id=self._settings.node.host_id,
            incarnation=self._incarnation,
            key=self._settings.peer.key.encode(),
            rng=self._rng,
            post=self._hub.post,
            on_epoch=self._epoch_heard,
            record=self._record,
            serve_bulk=lambda payload: self._bulk_server.serve(payload),
            hybrid_clock=self._recorder.clock,
        )

    def _build_membership(self) -> membership_task.MembershipTask:
        return membership_task.MembershipTask(
            settings=self._settings,
            incarnation=self._incarnation,
            reactor=self._reactor,
            post=self._membership_posted,
            rng=random.Random(self._rng.getrandbits(64)),
            request_bulk=self._peer.request_bulk,
            on_epoch=lambda heard: self._presets.deliver(heard),
            record=self._record,
            count=self._recorder.metrics.count,
        )

    def _build_presets(self) -> presets_task.PresetTask:
        return presets_task.PresetTask(
            settings=self._settings,
            reactor=self._reactor,
            post=self._preset_posted,
            rng=random.Random(self._rng.getrandbits(64)),
            request_bulk=self._peer.request_bulk,
            membership=self._membership,
            store=self._store,
            initial=preset_files.read_optional(
                self._settings.preset.file
            ).unwrap_or_raise(InvalidPresetError),
            record=self._record,
        )

    def _build_registry(self) -> registry_task.RegistryTask | None:
        if self._store is None:
            return None
        return registry_task.RegistryTask(
            settings=self._settings,
            reactor=self._reactor,
            rng=random.Random(self._rng.getrandbits(64)),
            store=self._store,
            membership=self._membership,
            record=self._record,
        )

    def _build_store(self) -> store_core.Store | None:
        if self._platform_hooks.open_store is not None:
            return self._platform_hooks.open_store(
                self._reactor,
                self._count_store_call,
                lambda reason: self._note(
                    catalogue.EventCode.STORE_OBJECT_REJECTED, reason=reason
                ),
            )
        if not self._settings.store.address:
            return None
        # Nodes without a store save the memory of an HTTP client.
        from bergamotdeal.store import http as store_http

        return store_http.HttpStore(
            settings=self._settings.store,
            reactor=self._reactor,
            count=self._count_store_call,
        )

    def _count_store_call(self) -> None:
        self._recorder.metrics.count(metrics.Counter.STORE_CALLS)

    def _build_faces(self) -> tuple[faces.CallListener, faces.CallListener]:
        origin_ids = itertools.count(1)
        handler = announcements.AnnouncementHandler(
            on_announced=self._server.handle_announcement,
            on_drain=self.start_drain,
        )
        entry, egress = (
            faces.CallListener(
                face=face,
                post=self._hub.post,
                is_ready=lambda: self.is_ready,
                rng=random.Random(self._rng.getrandbits(64)),
                origin_ids=origin_ids,
                handle_node_request=handle_node_request,
                dialect=self._platform_hooks.caller_dialect,
            )
            for face, handle_node_request in (
                (messages.Face.ENTRY, None),
                (messages.Face.EGRESS, handler.handle),
            )
        )
        return entry, egress

    # What the tasks post.

    def _membership_posted(self, event: messages.Event) -> None:
        if isinstance(event, messages.MembersChanged):
            self._peer.outgoing.members_changed(event.members_by_id)
            self._presets.deliver(event)
        self._hub.post(event)

    def _epoch_heard(self, epoch: int, host_id: str) -> None:
        if epoch > self._presets.epoch:
            self._presets.deliver(
                follower.EpochAdvertised(epoch=epoch, host_id=host_id)
            )

    def _server_posted(self, event: messages.Event) -> None:
        match event:
            case messages.ServerAnnounced():
                if event != self._announced:
                    self._note(
                        catalogue.EventCode.SERVER_ANNOUNCED,
                        service=event.service,
                        slots=event.slots,
                    )
                self._announced = event
                # Without a preset no call can be judged, so none may come.
                if self.is_ready:
                    self._publish_server(event)
            case messages.ServerStopped() | messages.ServerUnresponsive():
                self._announced = None
                self._note(catalogue.EventCode.SERVER_STOPPED)
                self._publish_server(event)
            case messages.ServerLeaving(instance=instance):
                self._announced = None
                self._note(catalogue.EventCode.SERVER_LEAVING, server=instance)
                self._publish_server(event)
            case _:
                self._hub.post(event)

    def _publish_server(self, event: messages.Event) -> None:
        self._hub.post(event)
        self._membership.deliver(event)

    # Presets.

    def _preset_posted(self, event: messages.PresetInForce) -> None:
        was_ready = self._served
        self._served = True
        self._hub.post(event)
        self._entry.apply_request_limits(event.preset.limits)
        if was_ready:
            return
        self._note(catalogue.EventCode.NODE_READY)
        if self._announced is not None:
            self._publish_server(self._announced)
        else:
            server_inquiry.query_server(
                platform_hooks=self._platform_hooks,
                reactor=self._reactor,
                service=self._settings.node.service,
                preset=event.preset,
                instance_tracker=self.instance_tracker,
                on_announcement=self._server.handle_announcement,
            )

    # Drain and stop.

    def _drain_started(self) -> None:
        self._note(catalogue.EventCode.DRAIN_STARTED)
        started = messages.DrainStarted(
            entry_open=self._settings.drain.entry_open_ms > 0
        )
        self._hub.post(started)
        self._membership.deliver(started)
        self._entry.start_draining()

    def _entry_closed(self) -> None:
        self._hub.post(messages.DrainStarted(entry_open=False))

    def _drain_finished(self) -> None:
        self._note(catalogue.EventCode.DRAIN_FINISHED)
        self._entry.stop(self._reactor)
        self._egress.stop(self._reactor)
        self._admin.stop()
        self._server.stop()
        if self._registry is not None:
            self._registry.stop()
        for listener in self._platform_listeners:
            listener.stop()
        self._presets.stop()
        self._membership.stop()
        self._peer.stop()
        if self._settings_checks.running:
            self._settings_checks.stop()
        deadline = self._reactor.seconds() + self._flush_s
        self._reactor.callLater(FLUSH_POLL_S, self._stop_when_flushed, deadline)

    def _stop_when_flushed(self, deadline: float) -> None:
        flushed = not self._entry.open_connections
        close_idle_at = deadline - (1.0 - CLOSE_IDLE_SHARE) * self._flush_s
        if self._reactor.seconds() >= close_idle_at:
            self._entry.close_idle_connections()
        if flushed or self._reactor.seconds() >= deadline:
            self._reactor.stop()
            return
        self._reactor.callLater(FLUSH_POLL_S, self._stop_when_flushed, deadline)

    def _note(self, code: catalogue.EventCode, **fields) -> None:
        self._record(messages.EventRecord(code=code, fields=fields))
