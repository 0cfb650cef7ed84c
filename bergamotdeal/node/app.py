"""Assembles the node from its tasks and runs it."""

import itertools
import os
import random
import secrets
import signal

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages
from bergamotdeal.membership import core as membership
from bergamotdeal.node import announcements
from bergamotdeal.node import drain
from bergamotdeal.node import faces
from bergamotdeal.node import hub
from bergamotdeal.node import peer
from bergamotdeal.node import server_link
from bergamotdeal.presets import model as preset_model
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import catalogue

INCARNATION_BYTES = 16
FLUSH_TIMEOUT_S = 2.0
FLUSH_POLL_S = 0.01
NO_EPOCH = -1


class Application:
    """A node: its tasks, wired to the call engine.

    Args:
      settings: The node's settings.
      reactor: The reactor.
    """

    def __init__(self, *, settings: settings_model.Settings, reactor) -> None:
        self._settings = settings
        self._reactor = reactor
        self._rng = random.SystemRandom()
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.epoch = NO_EPOCH
        self.preset = preset_model.Preset(name="none")
        self._identity = membership.Member(
            host_id=settings.node.host_id,
            incarnation=self.incarnation,
            data_centre=settings.node.data_centre,
            region=settings.node.region,
            address=settings.peer.address,
            peer_port=settings.peer.port,
            admin_port=settings.admin.port,
        )
        self._engine = call_engine.Engine(
            identity=self._identity,
            preset=self.preset,
            epoch=NO_EPOCH,
            # Routing and identifiers need speed here, not secrecy.
            rng=random.Random(self._rng.getrandbits(64)),
        )
        self.hub = hub.Hub(
            reactor=reactor,
            engine=self._engine,
            record=self._record,
            share_crash_reports=self._share_crash_reports,
        )
        self._server = server_link.ServerLinkTask(
            reactor=reactor, post=self._post_from_server
        )
        self._peer = peer.PeerTask(
            reactor=reactor,
            host_id=settings.node.host_id,
            incarnation=self.incarnation,
            key=settings.peer.key.encode(),
            rng=self._rng,
            post=self.hub.post,
            record=self._record,
            serve_bulk=self._serve_bulk,
        )
        self._entry, self._egress = self._build_faces()
        self._drain = drain.Drain(
            reactor=reactor,
            is_idle=self._engine.idle,
            on_started=self._drain_started,
            on_finished=self._drain_finished,
        )
        self.hub.connect(
            face_tasks=[self._entry, self._egress],
            peer_task=self._peer,
            server_task=self._server,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the node knows the preset in force."""
        return self.epoch > NO_EPOCH

    def start(self) -> None:
        """Opens the faces."""
        settings = self._settings
        self._peer.start(address=settings.peer.address, port=settings.peer.port)
        self._server.start()
        for face, section in (
            (self._egress, settings.egress),
            (self._entry, settings.entry),
        ):
            face.start(
                reactor=self._reactor,
                address=section.address,
                port=section.port,
            )

    def begin_drain(self) -> None:
        """Starts the graceful shutdown."""
        self._drain.start()

    def _build_faces(self) -> tuple[faces.FaceTask, faces.FaceTask]:
        origin_ids = itertools.count(1)
        handler = announcements.AnnouncementHandler(
            on_announced=self._server.announced, on_drain=self.begin_drain
        )
        entry = faces.FaceTask(
            face=messages.Face.ENTRY,
            post=self.hub.post,
            is_ready=lambda: self.is_ready,
            rng=self._rng,
            origin_ids=origin_ids,
        )
        egress = faces.FaceTask(
            face=messages.Face.EGRESS,
            post=self.hub.post,
            is_ready=lambda: self.is_ready,
            rng=self._rng,
            origin_ids=origin_ids,
            handle_own=handler.handle,
        )
        return entry, egress

    def _drain_started(self) -> None:
        self._record(messages.Record(code=catalogue.EventCode.DRAIN_STARTED))
        self.hub.post(messages.DrainStarted())
        self._entry.start_closing()

    def _drain_finished(self) -> None:
        self._record(messages.Record(code=catalogue.EventCode.DRAIN_FINISHED))
        self._entry.stop()
        self._egress.stop()
        self._egress.start_closing()
        self._peer.stop()
        self._server.stop()
        self._stop_when_flushed(self._reactor.seconds() + FLUSH_TIMEOUT_S)

    def _stop_when_flushed(self, deadline: float) -> None:
        flushed = not self._entry.open_connections
        if flushed or self._reactor.seconds() >= deadline:
            self._reactor.stop()
            return
        self._reactor.callLater(FLUSH_POLL_S, self._stop_when_flushed, deadline)
