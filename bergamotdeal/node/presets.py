"""Preset task: keeps the node on the active preset.

It runs the follower, the watch of the store and the pulls from other nodes.
"""

from collections.abc import Callable
import random
import time
import traceback

import result
from twisted.internet import defer

from bergamotdeal.calls import messages as calls
from bergamotdeal.membership import messages as gossip
from bergamotdeal.node import membership as membership_task
from bergamotdeal.node import preset_news
from bergamotdeal.node import store_check
from bergamotdeal.node import store_watch
from bergamotdeal.presets import epoch_wait
from bergamotdeal.presets import follower
from bergamotdeal.presets import in_force
from bergamotdeal.presets import messages as preset_messages
from bergamotdeal.presets import model
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import core as store_core
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records
from bergamotdeal.wire import gossip as codec

PresetPushed = preset_messages.PresetPushed

_MS_PER_S = 1000


class PresetTask:
    """Task that applies the active preset to this node.

    Args:
      settings: The node's settings.
      reactor: The reactor.
      post: Called with each event for the call engine.
      rng: Random number generator.
      send_bulk_request: ``PeerTask.send_bulk_request``.
      membership: The membership task, which disseminates the epoch.
      store: The platform's object store, or None to run without.
      initial_preset: Preset of the settings, active until the first switch.
      record: Called with each event for the event log.
      post_news: Called with each event that confirms the active preset.
      on_organisations_expected: Called when a preset with organisations waits
        for the epochs of other nodes.
      clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        settings: settings_model.Settings,
        reactor,
        post: Callable[[calls.Event], None],
        rng: random.Random,
        send_bulk_request: membership_task.SendBulkRequest,
        membership: membership_task.MembershipTask,
        store: store_core.Store | None = None,
        initial_preset: model.Preset | None = None,
        record: Callable[[records.EventRecord], None] | None = None,
        post_news: Callable[[calls.Event], None] | None = None,
        on_organisations_expected: Callable[[], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._reactor = reactor
        self._post = post
        self._send_bulk_request = send_bulk_request
        self._membership = membership
        self._store = store
        self._record = record or _ignore
        self._clock = clock
        self._wakeup_timer = None
        self._on_organisations_expected = on_organisations_expected
        self._epoch_wait = epoch_wait.EpochWait(now=clock())
        self._held_event: preset_messages.StoreRead | None = None
        self._held_event_timer = None
        self._running = False
        self._follower = follower.Follower(
            host_id=settings.node.host_id,
            data_centre=settings.node.data_centre,
            has_store=store is not None,
            has_seeds=bool(settings.peer.seeds),
            initial=initial_preset,
            watcher_count=settings.store.watchers,
            checker_count=settings.store.checkers,
            read_retry_max_s=settings.store.longest_wait_ms / _MS_PER_S,
            rng=rng,
            now=clock(),
        )
        self._news = preset_news.PresetNews(
            policy=settings.revocation,
            reactor=reactor,
            post=post_news or _ignore,
            read_store=None if store is None else self._read_store,
        )
        self._watch = None
        self._check = None
        if store is not None:
            self._check = store_check.StoreCheck(
                store=store,
                reactor=reactor,
                rng=rng,
                interval_s=settings.store.check_ms / _MS_PER_S,
                is_due=lambda: self._follower.is_checking,
                on_recovery=self.handle_store_restored,
                emit=self._emit,
            )
            self._watch = store_watch.StoreWatch(
                store=store,
                key=in_force.IN_FORCE_KEY,
                reactor=reactor,
                rng=rng,
                on_change=self._handle_stored,
                on_availability_change=self._record_store_availability,
                on_answer=self._news.record,
                max_backoff_s=settings.store.longest_wait_ms / _MS_PER_S,
            )

    @property
    def epoch(self) -> int:
        """Epoch of this node's active preset, or -1 if there is none."""
        return self._follower.epoch

    @property
    def preset(self) -> model.Preset | None:
        """Active preset of this node, or None."""
        return self._follower.preset

    @property
    def behind_s(self) -> float:
        """Seconds for which a newer preset is known but not applied."""
        since = self._follower.behind_since
        return 0.0 if since is None else self._clock() - since

    @property
    def is_watching(self) -> bool:
        """Whether this node watches the store on behalf of its data centre."""
        return self._follower.is_watching

    def not_ready_reason(self) -> str | None:
        """Returns why there is no active preset, or None if there is one."""
        return self._follower.explain_missing_preset()

    def start(self) -> None:
        """Starts to look for the active preset."""
        self._running = True
        self._epoch_wait = epoch_wait.EpochWait(now=self._clock())
        self._news.start()
        if self._check is not None:
            self._check.start()
        self._handle(preset_messages.TimePassed())

    def stop(self) -> None:
        """Stops the watch and the timer."""
        self._running = False
        self._news.stop()
        if self._watch is not None:
            self._watch.stop()
            self._check.stop()
        for timer in (self._wakeup_timer, self._held_event_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def handle_store_restored(self) -> None:
        """Watches the store anew if this node watches it."""
        if self._watch is not None:
            self._watch.restart()

    def deliver(self, message) -> None:
        """Handles a message of another task.

        Args:
          message: ``EpochAdvertised`` of the follower, an ``EpochNotice`` of
            the gossip core, ``PresetPushed`` or
            ``calls.messages.MembersChanged``. Others are ignored.
        """
        match message:
            case gossip.EpochAdvertised(epoch=epoch, host_id=host_id):
                if epoch == self.epoch:
                    self._news.record()
                    return
                self._handle(
                    preset_messages.EpochAdvertised(
                        epoch=epoch, host_id=host_id
                    )
                )
                self._epoch_wait.finish()
                self._schedule_held_event()
            case gossip.NoEpochAdvertised() if self.epoch > follower.NO_EPOCH:
                return  # The wait for other epochs concerns a start only.
            case gossip.NoEpochAdvertised(host_id=host_id):
                self._epoch_wait.record_host_without_preset(
                    host_id,
                    host_count=len(self._membership.routed_by_id()),
                    now=self._clock(),
                )
                self._schedule_held_event()
            case calls.MembersChanged(members_by_id=members_by_id):
                self._handle(
                    preset_messages.MembershipUpdated(
                        members_by_id=members_by_id
                    )
                )
            case (
                preset_messages.EpochAdvertised()
                | preset_messages.PresetPushed()
            ):
                self._handle(message)

    def apply_document(self, document: bytes) -> result.Result[int, str]:
        """Applies the in-force object that an operator's command passes on.

        Args:
          document: The object's content, as the store accepted it.

        Returns:
          This node's epoch afterwards, or why the object was rejected.
        """
        decoded = in_force.decode(document)
        if isinstance(decoded, result.Err):
            return decoded
        self._handle(preset_messages.PresetPushed(document=document))
        return result.Ok(self.epoch)

    def answer_pull(
        self, request: gossip.PresetRequest
    ) -> gossip.PresetResponse:
        """Answers a preset request of another node.

        Args:
          request: The request, with the digests that the other node has.

        Returns:
          The response to send.
        """
        return self._follower.answer_pull(request)

    # Events and timers.

    def _handle(self, event: preset_messages.Event) -> None:
        if not self._running:
            return
        try:
            for effect in self._follower.handle(event, self._clock()):
                self._execute_effect(effect)
        except Exception:  # A fault in one event must not stop the task.
            self._emit(
                catalogue.EventCode.TASK_FAILED,
                task="presets",
                trace=traceback.format_exc(),
            )
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        if self._wakeup_timer is not None and self._wakeup_timer.active():
            self._wakeup_timer.cancel()
        wakeup = self._follower.next_wakeup()
        if wakeup is not None and self._running:
            delay_s = max(0.0, wakeup - self._clock())
            self._wakeup_timer = self._reactor.callLater(
                delay_s, self._handle, preset_messages.TimePassed()
            )

    # Effects.

    def _execute_effect(self, effect: preset_messages.Effect) -> None:
        match effect:
            case preset_messages.Apply(epoch=epoch, preset=preset):
                self._apply_preset(epoch, preset)
            case preset_messages.Pull():
                self._send_pull(effect)
            case preset_messages.ReadStore():
                self._read_store()
            case preset_messages.WatchStore(watch=True):
                self._watch.start()
            case preset_messages.WatchStore():
                self._watch.stop()
            case preset_messages.Reject(epoch=epoch, reason=reason):
                self._emit(
                    catalogue.EventCode.PRESET_REJECTED,
                    epoch=epoch,
                    reason=reason,
                )

    def _apply_preset(self, epoch: int, preset: model.Preset) -> None:
        self._post(calls.PresetInForce(epoch=epoch, preset=preset))
        self._membership.deliver(gossip.EpochChanged(epoch=epoch))
        self._emit(
            catalogue.EventCode.PRESET_IN_FORCE, name=preset.name, epoch=epoch
        )

    def _send_pull(self, effect: preset_messages.Pull) -> None:
        member = self._membership.members_by_id().get(effect.host_id)
        if member is None:
            failed = preset_messages.PullFailed(host_id=effect.host_id)
            self._reactor.callLater(0, self._handle, failed)
            return
        request = gossip.PresetRequest(known_digests=effect.known_digests)
        pending_answer: defer.Deferred[bytes] = self._send_bulk_request(
            address=member.address,
            port=member.peer_port,
            payload=codec.encode_bulk(request),
        )
        pending_answer.addCallback(self._handle_pull_answer, effect.host_id)
        pending_answer.addErrback(
            lambda _: self._handle(
                preset_messages.PullFailed(host_id=effect.host_id)
            )
        )

    def _handle_pull_answer(self, payload: bytes, host_id: str) -> None:
        match codec.decode_bulk(payload):
            case result.Ok(gossip.PresetResponse() as response):
                event = preset_messages.PullAnswered(
                    host_id=host_id, response=response
                )
            case _:
                event = preset_messages.PullFailed(host_id=host_id)
        self._handle(event)

    # The store.

    def _read_store(self) -> None:
        self._store.get(in_force.IN_FORCE_KEY).addCallback(
            self._handle_store_read
        )

    def _handle_store_read(
        self,
        outcome: result.Result[store_core.StoredObject, store_core.Failure],
    ) -> None:
        match outcome:
            case result.Ok(stored):
                event = preset_messages.StoreRead(document=stored.value)
            case result.Err(failure) if (
                failure.kind is store_core.FailureKind.NOT_FOUND
            ):
                event = preset_messages.StoreRead(document=None)
            case result.Err(failure):
                event = preset_messages.StoreFailed(reason=failure.detail)
        if self._is_held_back(event):
            self._held_event = event
            self._schedule_held_event()
            if self._on_organisations_expected is not None:
                self._on_organisations_expected()
            return
        self._handle(event)
        if not isinstance(event, preset_messages.StoreFailed):
            self._news.record()

    def _is_held_back(self, event: preset_messages.Event) -> bool:
        """Returns whether an event waits for the epochs of other nodes."""
        is_waiting = self._epoch_wait.remaining_s(self._clock()) > 0.0
        return is_waiting and _has_organisations(event)

    def _schedule_held_event(self) -> None:
        """Handles the held event when the wait is over."""
        if self._held_event is None or not self._running:
            return
        timer = self._held_event_timer
        if timer is not None and timer.active():
            timer.cancel()
        remaining_s = self._epoch_wait.remaining_s(self._clock())
        if remaining_s > 0.0:
            self._held_event_timer = self._reactor.callLater(
                remaining_s, self._schedule_held_event
            )
            return
        event, self._held_event = self._held_event, None
        self._handle(event)

    def _handle_stored(self, stored: store_core.StoredObject) -> None:
        # A large preset takes the event loop for tens of milliseconds; other
        # events are handled between its translation and its application.
        event = preset_messages.StoreRead(document=stored.value)
        self._reactor.callLater(0, self._handle, event)

    def _record_store_availability(self, problem: str | None) -> None:
        if problem is None:
            self._emit(catalogue.EventCode.STORE_AVAILABLE)
        else:
            self._emit(catalogue.EventCode.STORE_UNAVAILABLE, reason=problem)

    def _emit(self, code: catalogue.EventCode, **fields: str | int) -> None:
        self._record(records.EventRecord(code=code, fields=fields))


def _has_organisations(event: preset_messages.Event) -> bool:
    match event:
        case preset_messages.StoreRead(document=bytes() as document):
            decoded = in_force.decode(document)
            return decoded.is_ok() and bool(
                decoded.ok_value.preset.organisations
            )
    return False


def _ignore(_) -> None:
    """Does nothing; default of the optional callback."""
