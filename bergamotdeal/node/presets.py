"""The preset task: drives the follower, the store watch and the pulls."""

from collections.abc import Callable
import random
import time
import traceback

import result
from twisted.internet import defer

from bergamotdeal.calls import messages as calls
from bergamotdeal.membership import messages as gossip
from bergamotdeal.node import membership as membership_task
from bergamotdeal.node import store_watch
from bergamotdeal.presets import follower
from bergamotdeal.presets import in_force
from bergamotdeal.presets import model
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import core as store_core
from bergamotdeal.telemetry import catalogue
from bergamotdeal.wire import gossip as codec

PresetPushed = follower.PresetPushed

_MS_PER_S = 1000


class PresetTask:
    """Keeps this node on the preset in force.

    Args:
      settings: The node's settings.
      reactor: Twisted's reactor.
      post: Called with each event for the call engine.
      rng: Random source.
      request_bulk: ``PeerTask.request_bulk``.
      membership: The membership task, which tells others of the epoch.
      store: The platform's object API, or None to run without.
      initial: Preset of the settings, used while no switch was ever made.
      record: Called with each ``calls.messages.EventRecord`` for the time line.
      clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        settings: settings_model.Settings,
        reactor,
        post: Callable[[calls.Event], None],
        rng: random.Random,
        request_bulk: membership_task.RequestBulk,
        membership: membership_task.MembershipTask,
        store: store_core.Store | None = None,
        initial: model.Preset | None = None,
        record: Callable[[calls.EventRecord], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._reactor = reactor
        self._post = post
        self._request_bulk = request_bulk
        self._membership = membership
        self._store = store
        self._record = record or _ignore
        self._clock = clock
        self._timer = None
        self._running = False
        self._follower = follower.Follower(
            host_id=settings.node.host_id,
            data_centre=settings.node.data_centre,
            has_store=store is not None,
            has_seeds=bool(settings.peer.seeds),
            initial=initial,
            watcher_count=settings.store.watchers,
            read_retry_max_s=settings.store.longest_wait_ms / _MS_PER_S,
            rng=rng,
            now=clock(),
        )
        self._watch = None
        if store is not None:
            self._watch = store_watch.StoreWatch(
                store=store,
                key=in_force.IN_FORCE_KEY,
                reactor=reactor,
                rng=rng,
                changed=self._stored,
                available=self._store_available,
                longest_wait_s=settings.store.longest_wait_ms / _MS_PER_S,
            )

    @property
    def epoch(self) -> int:
        """Epoch in force at this node, -1 when there is none yet."""
        return self._follower.epoch

    @property
    def preset(self) -> model.Preset | None:
        """Preset in force at this node."""
        return self._follower.preset

    @property
    def watching(self) -> bool:
        """Whether this node watches the store for its data centre."""
        return self._follower.is_watching

    def problem(self) -> str | None:
        """Returns why there is no preset in force, or None if there is."""
        return self._follower.explain_missing_preset()

    def start(self) -> None:
        """Looks for the preset in force."""
        self._running = True
        self._handle(follower.TimePassed())

    def stop(self) -> None:
        """Ends the watch and the timer."""
        self._running = False
        if self._watch is not None:
            self._watch.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def deliver(self, message) -> None:
        """Takes a message of another task.

        Args:
          message: ``EpochAdvertised`` of the follower or of the gossip core,
            ``PresetPushed`` or ``calls.messages.MembersChanged``. Others are
            ignored.
        """
        match message:
            case gossip.EpochAdvertised(epoch=epoch, host_id=host_id):
                self._handle(
                    follower.EpochAdvertised(epoch=epoch, host_id=host_id)
                )
            case calls.MembersChanged(members_by_id=members_by_id):
                self._handle(
                    follower.MembershipUpdated(members_by_id=members_by_id)
                )
            case follower.EpochAdvertised() | follower.PresetPushed():
                self._handle(message)

    def offer(self, document: bytes) -> result.Result[int, str]:
        """Takes the object in force that an operator's command hands over.

        Args:
          document: The object as the store accepted it.

        Returns:
          The epoch in force here now, or why the object can't be accepted.
        """
        decoded = in_force.decode(document)
        if isinstance(decoded, result.Err):
            return decoded
        self._handle(follower.PresetPushed(document=document))
        return result.Ok(self.epoch)

    def serve(self, request: gossip.PresetRequest) -> gossip.PresetResponse:
        """Answers another node's pull.

        Args:
          request: What the other node has.
        """
        return self._follower.answer_pull(request)

    # --- Events and timers -------------------------------------------------

    def _handle(self, event: follower.Event) -> None:
        if not self._running:
            return
        try:
            for effect in self._follower.handle(event, self._clock()):
                self._carry_out(effect)
        except Exception:  # A fault in one event must not end the task.
            fields = {"task": "presets", "trace": traceback.format_exc()}
            code = catalogue.EventCode.TASK_FAILED
            self._record(calls.EventRecord(code=code, fields=fields))
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        wakeup = self._follower.next_wakeup()
        if wakeup is not None and self._running:
            delay = max(0.0, wakeup - self._clock())
            self._timer = self._reactor.callLater(
                delay, self._handle, follower.TimePassed()
            )

    # --- Effects -----------------------------------------------------------

    def _carry_out(self, effect: follower.Effect) -> None:
        match effect:
            case follower.Apply(epoch=epoch, preset=preset):
                self._apply(epoch, preset)
            case follower.Pull():
                self._pull(effect)
            case follower.ReadStore():
                self._store.get(in_force.IN_FORCE_KEY).addCallback(self._read)
            case follower.WatchStore(watch=True):
                self._watch.start()
            case follower.WatchStore():
                self._watch.stop()
            case follower.Reject(epoch=epoch, reason=reason):
                fields = {"epoch": epoch, "reason": reason}
                code = catalogue.EventCode.PRESET_REJECTED
                self._record(calls.EventRecord(code=code, fields=fields))

    def _apply(self, epoch: int, preset: model.Preset) -> None:
        self._post(calls.PresetInForce(epoch=epoch, preset=preset))
        self._membership.deliver(gossip.EpochChanged(epoch=epoch))
        fields = {"name": preset.name, "epoch": epoch}
        code = catalogue.EventCode.PRESET_IN_FORCE
        self._record(calls.EventRecord(code=code, fields=fields))

    def _pull(self, effect: follower.Pull) -> None:
        member = self._membership.members_by_id().get(effect.host_id)
        if member is None:
            failed = follower.PullFailed(host_id=effect.host_id)
            self._reactor.callLater(0, self._handle, failed)
            return
        request = gossip.PresetRequest(known_digests=effect.known_digests)
        answered: defer.Deferred[bytes] = self._request_bulk(
            address=member.address,
            port=member.peer_port,
            payload=codec.encode_bulk(request),
        )
        answered.addCallback(self._pulled, effect.host_id)
        answered.addErrback(
            lambda _: self._handle(follower.PullFailed(host_id=effect.host_id))
        )

    def _pulled(self, payload: bytes, host_id: str) -> None:
        match codec.decode_bulk(payload):
            case result.Ok(gossip.PresetResponse() as response):
                event = follower.PullAnswered(
                    host_id=host_id, response=response
                )
            case _:
                event = follower.PullFailed(host_id=host_id)
        self._handle(event)

    # --- The store ---------------------------------------------------------

    def _read(
        self,
        outcome: result.Result[store_core.StoredObject, store_core.Failure],
    ) -> None:
        match outcome:
            case result.Ok(stored):
                event = follower.StoreRead(document=stored.value)
            case result.Err(failure) if (
                failure.kind is store_core.FailureKind.NOT_FOUND
            ):
                event = follower.StoreRead(document=None)
            case result.Err(failure):
                event = follower.StoreFailed(reason=failure.detail)
        self._handle(event)

    def _stored(self, stored: store_core.StoredObject) -> None:
        self._handle(follower.StoreRead(document=stored.value))

    def _store_available(self, problem: str | None) -> None:
        if problem is None:
            code, fields = catalogue.EventCode.STORE_AVAILABLE, {}
        else:
            code = catalogue.EventCode.STORE_UNAVAILABLE
            fields = {"reason": problem}
        self._record(calls.EventRecord(code=code, fields=fields))


def _ignore(_) -> None:
    """Stands in for a callable that was not given."""
