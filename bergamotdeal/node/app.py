"""Assembly and life cycle of a node."""

import itertools
import random
import secrets

import result

from bergamotdeal.calls import messages
from bergamotdeal.membership import messages as gossip
from bergamotdeal.node import admin
from bergamotdeal.node import announcements
from bergamotdeal.node import body_admission
from bergamotdeal.node import bulk_server
from bergamotdeal.node import environment
from bergamotdeal.node import faces
from bergamotdeal.node import failure_observer
from bergamotdeal.node import gauges
from bergamotdeal.node import hub
from bergamotdeal.node import membership as membership_task
from bergamotdeal.node import observation
from bergamotdeal.node import peer
from bergamotdeal.node import presets as presets_task
from bergamotdeal.node import quotas as quota_task
from bergamotdeal.node import registry as registry_task
from bergamotdeal.node import server_inquiry
from bergamotdeal.node import server_life
from bergamotdeal.node import server_link
from bergamotdeal.node import server_publisher
from bergamotdeal.node import server_report
from bergamotdeal.node import settings_watch
from bergamotdeal.node import shutdown
from bergamotdeal.node import startup_hold
from bergamotdeal.node import status as node_status
from bergamotdeal.node import status_report
from bergamotdeal.node import store_setup
from bergamotdeal.node import timed_engine
from bergamotdeal.presets import files as preset_files
from bergamotdeal.presets import messages as preset_messages
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import core as store_core
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import records

INCARNATION_BYTES = 16


class InvalidPresetError(Exception):
    """The preset file that the settings name is missing or invalid."""


class Application:
    """Node process: its tasks, connected to the call engine.

    Args:
      settings: The node's settings.
      reactor: The reactor.
      platform_hooks: Integration points of the platform.

    Attributes:
      instance_tracker: Tracker of the backend server's current instance.
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
        self._telemetry = observation.NodeTelemetry(
            settings=settings, reactor=reactor
        )
        self._recorder = self._telemetry.recorder
        self._record = self._recorder.record
        self._has_preset = False
        self._engine = timed_engine.build_engine(
            settings=settings,
            incarnation=self._incarnation,
            rng=self._rng,
            started_at=self._started_at,
        )
        self._bodies = body_admission.build(
            settings=settings,
            engine=self._engine,
            reactor=reactor,
            record=self._record,
        )
        self._dispatcher = hub.EventDispatcher(
            reactor=reactor,
            engine=timed_engine.TimedEngine(
                engine=self._engine, node_metrics=self._recorder.metrics
            ),
            record=self._record,
            share_crash_reports=lambda effect: self._membership.deliver(effect),
        )
        self._server = server_link.ServerConnectionPool(
            reactor=reactor,
            post=lambda event: self._publisher.handle_event(event),
            dialect=platform_hooks.server_dialect,
            announcement_timeout_s=platform_hooks.server_timeout_s,
            buffers=self._bodies.buffers,
        )
        self._inquiry = server_inquiry.ServerInquiry(
            platform_hooks=platform_hooks,
            reactor=reactor,
            service=settings.node.service,
            instance_tracker=self.instance_tracker,
            on_finished=self._handle_first_health_report,
            on_confirmed=self._server.handle_announcement,
            is_server_available=lambda: self._publisher.has_server,
            emit=self._emit,
        )
        self._publisher = server_publisher.ServerPublisher(
            service=settings.node.service,
            inquiry=self._inquiry,
            post=self._dispatcher.post,
            tell_fleet=lambda event: self._membership.deliver(event),
            emit=self._emit,
        )
        self._peer = self._build_peer()
        self._membership = self._build_membership()
        self._store = self._build_store()
        self._quotas = self._build_quotas()
        self._presets = self._build_presets()
        self._registry = self._build_registry()
        self._bulk_handler = bulk_server.BulkRequestHandler(
            membership=self._membership, presets=self._presets
        )
        self._entry, self._egress = self._build_faces()
        for face in (self._entry, self._egress):
            self._bodies.memory.add_holder(lambda face=face: face.held_bytes)
        self._admin = admin.AdminListener(
            node=self,
            host_id=settings.node.host_id,
            events=self._recorder.ring,
            token=settings.admin.token,
            record=self._record,
        )
        self._settings_watch = settings_watch.SettingsWatch(
            platform_hooks=platform_hooks,
            reactor=reactor,
            host_id=settings.node.host_id,
            emit=self._emit,
        )
        self.reload_settings = self._settings_watch.reload
        self.poll_settings = self._settings_watch.poll
        self._platform_listeners: list[environment.PlatformListener] = []
        if platform_hooks.build_listeners is not None:
            self._platform_listeners = platform_hooks.build_listeners(self)
        self._shutdown = shutdown.Shutdown(
            reactor=reactor,
            settings=settings.drain,
            engine=self._engine,
            post=self._dispatcher.post,
            record=self._record,
            entry=self._entry,
            egress=self._egress,
            on_started=self._handle_drain_started,
            list_tasks=self._list_tasks,
            has_unsent_data=self._bodies.buffers.has_unsent_data,
        )
        self._dispatcher.attach_tasks(
            face_tasks=[self._entry, self._egress],
            peer_task=self._peer,
            server_task=self._server,
            quota_task=self._quotas,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node has an active preset."""
        return self._has_preset

    @property
    def is_accepting(self) -> bool:
        """Whether the node is ready to take calls and is not draining."""
        return self._has_preset and not self._shutdown.is_draining

    def _can_serve(self) -> bool:
        """Returns whether requests of callers can reach all services."""
        preset = self._presets.preset
        if preset is None or not self._quotas.can_serve:
            return False
        members_by_id = self._membership.routed_by_id()
        return startup_hold.has_servers_for_all_routes(preset, members_by_id)

    def start(self) -> None:
        """Opens the listeners and joins the fleet."""
        settings = self._settings
        self._telemetry.start(read_status=self.status)
        self._emit(
            catalogue.EventCode.NODE_STARTED,
            host=settings.node.host_id,
            incarnation=self._incarnation,
        )
        self._peer.start(address=settings.peer.address, port=settings.peer.port)
        self._server.start()
        ports = [(self._entry, settings.entry), (self._admin, settings.admin)]
        if self._platform_hooks.has_egress:
            ports.insert(0, (self._egress, settings.egress))
        for face, section in ports:
            face.start(
                reactor=self._reactor,
                address=section.address,
                port=section.port,
            )
        self._membership.start(
            peer_port=self._peer.port,
            admin_port=status_report.find_reachable_admin_port(settings),
        )
        self._publisher.start()
        for listener in self._platform_listeners:
            listener.start(self._reactor)
        self._settings_watch.start()
        self._presets.start()
        if self._registry is not None:
            self._registry.start()

    def observe_failures(self) -> None:
        """Starts recording errors that no task caught."""
        failure_observer.FailureObserver(record=self._record).start()

    # Called by the admin listener.

    def start_drain(self) -> None:
        """Starts a graceful shutdown; later calls have no effect."""
        self._shutdown.start()

    # Called by the platform's listeners.

    def register_server(self, announcement: server_report.Announcement) -> None:
        """Records that the local backend server is available."""
        self._inquiry.handle_announcement(announcement)

    def deregister_server(self, instance: str) -> None:
        """Records that the local backend server is shutting down."""
        self._inquiry.handle_server_leaving(instance)
        self._server.handle_server_leaving(instance)

    def record_rejected_announcement(self, reason: str) -> None:
        """Records an invalid announcement in the event log."""
        self._emit(catalogue.EventCode.ANNOUNCEMENT_REJECTED, reason=reason)

    def metrics_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        gauges.set_gauges(
            self._recorder.metrics, self.status(with_members=True)
        )
        return self._recorder.metrics.render_exposition()

    def status(self, *, with_members: bool) -> node_status.NodeStatus:
        """Returns the node's status.

        Args:
          with_members: Whether to include the members of the fleet.
        """
        return status_report.build_node_status(
            node=self._settings.node,
            incarnation=self._incarnation,
            uptime_s=self._reactor.seconds() - self._started_at,
            is_ready=self.is_ready,
            is_draining=self._shutdown.is_draining,
            presets=self._presets,
            server=self._publisher.announcement,
            engine=self._engine,
            body_memory=self._bodies.memory,
            quotas=self._quotas.build_status(),
            members=self._membership.routed_by_id() if with_members else {},
            state_number=self._membership.state_number,
            node_metrics=self._recorder.metrics,
        )

    def offer_in_force(self, data: bytes) -> result.Result[int, str]:
        """Applies the in-force object that an operator passes on.

        Args:
          data: Encoded content of the object, as the store accepted it.

        Returns:
          This node's epoch afterwards, or why the content was rejected.
        """
        return self._presets.apply_document(data)

    # Assembly.

    def _build_peer(self) -> peer.PeerTask:
        return peer.PeerTask(
            reactor=self._reactor,
            host_id=self._settings.node.host_id,
            data_centre=self._settings.node.data_centre,
            incarnation=self._incarnation,
            key=self._settings.peer.key.encode(),
            rng=self._rng,
            post=self._dispatcher.post,
            on_peer_epoch=self._handle_peer_epoch,
            record=self._record,
            on_bulk_request=lambda payload: self._bulk_handler.answer(payload),
            hybrid_clock=self._recorder.clock,
            has_room=self._bodies.has_room_for_call,
            buffers=self._bodies.buffers,
        )

    def _build_membership(self) -> membership_task.MembershipTask:
        return membership_task.MembershipTask(
            settings=self._settings,
            incarnation=self._incarnation,
            reactor=self._reactor,
            post=self._post_membership_event,
            rng=random.Random(self._rng.getrandbits(64)),
            send_bulk_request=self._peer.send_bulk_request,
            on_epoch_heard=lambda heard: self._presets.deliver(heard),
            on_store_era_heard=self._handle_store_era,
            on_crashes_heard=self._handle_crash_reports,
            record=self._record,
            count=self._recorder.metrics.increment,
            handle_other_datagram=lambda *datagram: (
                self._quotas.handle_datagram(*datagram)
            ),
        )

    def _build_quotas(self) -> quota_task.QuotaTask:
        return quota_task.build_task(
            settings=self._settings,
            reactor=self._reactor,
            post=self._dispatcher.post,
            rng=random.Random(self._rng.getrandbits(64)),
            send_datagram=self._membership.send_other_datagram,
            recorder=self._recorder,
            has_store=self._store is not None,
        )

    def _build_presets(self) -> presets_task.PresetTask:
        return presets_task.PresetTask(
            settings=self._settings,
            reactor=self._reactor,
            post=self._post_preset,
            rng=random.Random(self._rng.getrandbits(64)),
            send_bulk_request=self._peer.send_bulk_request,
            membership=self._membership,
            store=self._store,
            initial_preset=preset_files.read_optional(
                self._settings.preset.file
            ).unwrap_or_raise(InvalidPresetError),
            record=self._record,
            post_news=self._dispatcher.post,
            on_organisations_expected=self._quotas.introduce,
        )

    def _build_registry(self) -> registry_task.RegistryTask | None:
        if self._store is None:
            return None
        self._store.eras.listeners.append(self._handle_store_restored)
        return registry_task.RegistryTask(
            settings=self._settings,
            reactor=self._reactor,
            rng=random.Random(self._rng.getrandbits(64)),
            store=self._store,
            membership=self._membership,
            record=self._record,
            on_listed=self._quotas.apply_listing,
        )

    def _build_store(self) -> store_core.Store | None:
        return store_setup.open_store(
            settings=self._settings,
            platform_hooks=self._platform_hooks,
            reactor=self._reactor,
            on_call=self._count_store_call,
            on_object_rejected=lambda reason: self._emit(
                catalogue.EventCode.STORE_OBJECT_REJECTED, reason=reason
            ),
        )

    def _count_store_call(self) -> None:
        self._recorder.metrics.increment(metrics.Counter.STORE_CALLS)

    def _build_faces(self) -> tuple[faces.CallListener, faces.CallListener]:
        origin_ids = itertools.count(1)
        entry_hold = startup_hold.StartupHold(
            reactor=self._reactor,
            can_serve=self._can_serve,
            record=self._record,
        )
        handler = announcements.AnnouncementHandler(
            on_announced=self._server.handle_announcement,
            on_drain=self.start_drain,
        )
        entry, egress = (
            faces.CallListener(
                face=face,
                post=self._dispatcher.post,
                is_ready=lambda: self.is_ready,
                rng=random.Random(self._rng.getrandbits(64)),
                origin_ids=origin_ids,
                handle_node_request=handle_node_request,
                dialect=self._platform_hooks.caller_dialect,
                hold=hold,
                admission=self._bodies,
                buffers=self._bodies.buffers,
            )
            for face, handle_node_request, hold in (
                (messages.Face.ENTRY, None, entry_hold),
                (messages.Face.EGRESS, handler.handle_request, None),
            )
        )
        return entry, egress

    # Events that the tasks post.

    def _post_membership_event(self, event: messages.Event) -> None:
        if isinstance(event, messages.MembersChanged):
            self._peer.outgoing.update_members(event.members_by_id)
            self._presets.deliver(event)
            self._quotas.update_members(event.members_by_id)
        self._dispatcher.post(event)

    def _handle_peer_epoch(self, epoch: int, host_id: str) -> None:
        if epoch > self._presets.epoch:
            self._presets.deliver(
                preset_messages.EpochAdvertised(epoch=epoch, host_id=host_id)
            )

    def _handle_store_era(self, era: int) -> None:
        if self._store is not None:
            self._store.eras.observe(era)

    def _handle_crash_reports(self) -> None:
        if self._registry is not None:
            self._registry.handle_crash_reports()

    def _handle_store_restored(self, era: int) -> None:
        self._emit(catalogue.EventCode.STORE_RESTORED, era=era)
        self._membership.deliver(gossip.StoreEraChanged(era=era))
        self._presets.handle_store_restored()
        self._registry.handle_store_restored()

    # Presets.

    def _post_preset(self, event: messages.PresetInForce) -> None:
        was_ready = self._has_preset
        self._has_preset = True
        self._quotas.apply_preset(event.preset)
        self._dispatcher.post(event)
        self._entry.apply_preset(event.preset)
        self._egress.apply_preset(event.preset)
        if not was_ready:
            self._emit(catalogue.EventCode.NODE_READY)
        self._inquiry.apply_preset(event.preset)

    def _handle_first_health_report(
        self, report: server_report.HealthReport | None
    ) -> None:
        self._server.handle_health_report(report)
        self._publisher.finish_inquiry()

    # Drain and stop.

    def _handle_drain_started(self, started: messages.DrainStarted) -> None:
        self._membership.deliver(started)
        self._quotas.start_drain()

    def _list_tasks(self) -> list[shutdown.Task]:
        """Returns the tasks in the order in which they stop."""
        optional = [] if self._registry is None else [self._registry]
        return [
            self._admin,
            self._server,
            *optional,
            *self._platform_listeners,
            self._presets,
            self._quotas,
            self._membership,
            self._peer,
            self._settings_watch,
        ]

    def _emit(self, code: catalogue.EventCode, **fields) -> None:
        self._record(records.EventRecord(code=code, fields=fields))
