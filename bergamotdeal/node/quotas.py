"""Quota task: enforces the caps of organisations over the gossip socket."""

import collections
from collections.abc import Callable
from collections.abc import Collection
import random

import result
from twisted.internet import task

from bergamotdeal.calls import messages as calls
from bergamotdeal.membership import core as membership
from bergamotdeal.node import status as node_status
from bergamotdeal.presets import model as preset_model
from bergamotdeal.quotas import cache
from bergamotdeal.quotas import core
from bergamotdeal.quotas import hosts
from bergamotdeal.quotas import messages
from bergamotdeal.quotas import owner
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import recorder as event_recorder
from bergamotdeal.telemetry import records
from bergamotdeal.utils import clocks
from bergamotdeal.wire import quotas as codec

TICK_S = 0.1
WAKEUP_GRANULARITY_S = 0.005
MAX_LABELLED_ORGANISATIONS = 32
"""Organisations with gauges of their own, the busiest ones."""

_TICKS_PER_REPORT = 100
_MAX_OPEN_BATCHES = 4096


class QuotaTask:
    """Task that owns the token buckets and tokens of a node.

    Args:
      host_id: Name of this host.
      key: Secret key shared by all nodes.
      reactor: The reactor.
      post: Called with each event for the call engine.
      rng: Random number generator.
      send_datagram: Called with a datagram, an address and a port.
      record: Called with each event for the event log.
      node_metrics: Metrics of the node.
      may_be_alone: Whether this host may be the whole fleet.
      clock: Returns seconds, including suspended time.
    """

    def __init__(
        self,
        *,
        host_id: str,
        key: bytes,
        reactor,
        post: Callable[[calls.Event], None],
        rng: random.Random,
        send_datagram: Callable[[bytes, str, int], None],
        record: Callable[[records.EventRecord], None],
        node_metrics: metrics.Metrics,
        may_be_alone: bool = False,
        clock: Callable[[], float] = clocks.read_suspend_clock,
    ) -> None:
        self._host_id = host_id
        self._key = key
        self._reactor = reactor
        self._post = post
        self._rng = rng
        self._send_datagram = send_datagram
        self._record = record
        self._metrics = node_metrics
        self._clock = clock
        self._counted = hosts.CountedHosts(
            host_id=host_id,
            rng=rng,
            now=clock(),
            may_be_alone=may_be_alone,
        )
        self._owner = owner.BucketOwner(host_id=host_id, counted=self._counted)
        self._cache = cache.TokenCache(
            counted=self._counted, rng=rng, send=self._add_want
        )
        self._caps: core.CapTable | None = None
        self._digests_by_name: dict[str, int] = {}
        self._endpoints_by_host: dict[str, tuple[str, int]] = {}
        self._wants_by_owner: dict[str, list[tuple[int, messages.Want]]] = {}
        self._batches_by_number: collections.OrderedDict[int, list[int]] = (
            collections.OrderedDict()
        )
        self._last_number = rng.getrandbits(31)
        self._flush_timer = None
        self._wakeup_timer = None
        self._tick = task.LoopingCall(self._handle_tick)
        self._tick.clock = reactor
        self._tick_count = 0
        self._is_running = True
        self._was_active = False
        self._reported_by_digest: dict[int, tuple[int, int]] = {}
        self._expired_reported = 0

    def stop(self) -> None:
        """Stops the timers."""
        self._is_running = False
        if self._tick.running:
            self._tick.stop()
        for timer in (self._flush_timer, self._wakeup_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def start_drain(self) -> None:
        """Stops granting; the parts of this host go to other hosts."""
        self._counted.resign()

    def apply_listing(self, host_ids: Collection[str]) -> None:
        """Applies the store's list of the fleet's hosts."""
        self._counted.apply_listing(host_ids)

    def apply_preset(self, preset: preset_model.Preset) -> None:
        """Applies the caps of a preset."""
        self._caps = core.CapTable(preset=preset)
        self._digests_by_name = {
            organisation.name: digest
            for digest, organisation in self._caps.caps_by_digest.items()
        }
        self._owner.set_caps(self._caps, self._clock())
        self._cache.set_caps(self._caps)
        if self._caps.caps_by_digest:
            self.introduce()

    @property
    def can_serve(self) -> bool:
        """Whether tokens can be had, as far as the preset has caps."""
        if self._caps is None or not self._caps.caps_by_digest:
            return True
        return self._counted.has_granting_hosts(self._clock())

    def introduce(self) -> None:
        """Starts introducing this host to the others.

        A fleet without caps sends nothing. A host may introduce itself before
        it has a preset, so that it can grant tokens as soon as it has one.
        """
        if not self._tick.running and self._is_running:
            self._tick.start(TICK_S, now=False)

    def update_members(
        self, members_by_id: dict[str, membership.Member]
    ) -> None:
        """Applies the membership's view."""
        present, left = [], []
        for host_id, member in members_by_id.items():
            self._endpoints_by_host[host_id] = (
                member.address,
                member.peer_port,
            )
            if member.state is membership.MemberState.ALIVE:
                present.append(host_id)
            elif member.state is membership.MemberState.DRAINING:
                left.append(host_id)
        for host_id in self._endpoints_by_host.keys() - members_by_id.keys():
            del self._endpoints_by_host[host_id]
        self._counted.update_members(
            present=present, left=left, now=self._clock()
        )

    def deliver(
        self,
        effect: calls.RequestQuota | calls.CancelQuota | calls.ReturnQuota,
    ) -> None:
        """Executes an effect of the call engine."""
        now = self._clock()
        match effect:
            case calls.RequestQuota():
                self._metrics.increment(metrics.Counter.QUOTA_REQUESTS)
                digest = self._digests_by_name.get(effect.organisation, 0)
                self._cache.request(effect.origin_id, digest, now)
            case calls.CancelQuota():
                self._cache.cancel(effect.origin_id)
            case calls.ReturnQuota():
                self._metrics.increment(metrics.Counter.QUOTA_TOKENS_RETURNED)
                token = cache.Token(
                    digest=self._digests_by_name.get(effect.organisation, 0),
                    expires_at=effect.expires_at,
                )
                self._cache.refund(token, now)
        self._settle()

    def handle_datagram(self, data: bytes, source: tuple[str, int]) -> bool:
        """Handles a datagram of the gossip socket.

        Args:
          data: The datagram.
          source: Address and port of the sender.

        Returns:
          Whether it was an authentic datagram of this task.
        """
        if not codec.is_quota_datagram(data):
            return False
        match codec.decode(data, self._key):
            case result.Ok(message):
                self._handle_message(message, source)
                return True
            case _:
                self._metrics.increment(metrics.Counter.QUOTA_DATAGRAMS_DROPPED)
                return False

    def build_status(self) -> node_status.QuotaStatus | None:
        """Returns the task's status, or None without caps."""
        if self._caps is None or not self._caps.caps_by_digest:
            return None
        return node_status.QuotaStatus(
            organisations=len(self._caps.caps_by_digest),
            is_granting=self._counted.may_grant(self._clock()),
            counted_hosts=len(self._counted.digests_by_host),
            reachable_hosts=self._counted.present_count,
            buckets=self._owner.bucket_count,
            tokens_held=self._cache.held_count(),
        )

    # Messages.

    def _handle_message(
        self, message: messages.Message, source: tuple[str, int]
    ) -> None:
        now = self._clock()
        match message:
            case messages.TokenRequest():
                self._send(self._grant(message, now), source)
            case messages.TokenGrant():
                self._handle_grants(message, now)
            case messages.Introduction():
                self.introduce()
                self._send(
                    self._counted.handle_introduction(message, now), source
                )
            case messages.IntroductionReply():
                self._counted.handle_reply(message, now)

    def _grant(
        self, request: messages.TokenRequest, now: float
    ) -> messages.TokenGrant:
        grants = tuple(self._owner.grant(want, now) for want in request.wants)
        self._metrics.increment(
            metrics.Counter.QUOTA_TOKENS_GRANTED,
            sum(grant.tokens for grant in grants),
        )
        return messages.TokenGrant(number=request.number, grants=grants)

    def _handle_grants(self, message: messages.TokenGrant, now: float) -> None:
        numbers = self._batches_by_number.pop(message.number, ())
        for number, grant in zip(numbers, message.grants, strict=False):
            self._cache.handle_grant(
                messages.TokenGrant(number=number, grants=(grant,)), now
            )
        self._settle()

    def _add_want(
        self, owner_id: str, number: int, want: messages.Want
    ) -> None:
        """Adds tokens to the next datagram to a bucket owner."""
        self._wants_by_owner.setdefault(owner_id, []).append((number, want))
        if self._flush_timer is None:
            self._flush_timer = self._reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        """Sends the requests of this turn of the event loop."""
        self._flush_timer = None
        wants_by_owner, self._wants_by_owner = self._wants_by_owner, {}
        for owner_id, wants in wants_by_owner.items():
            for start in range(0, len(wants), messages.MAX_ITEMS):
                self._request(
                    owner_id, wants[start : start + messages.MAX_ITEMS]
                )

    def _request(
        self, owner_id: str, wants: list[tuple[int, messages.Want]]
    ) -> None:
        self._last_number = (self._last_number + 1) % 2**32
        number = self._last_number
        self._batches_by_number[number] = [item for item, _ in wants]
        if len(self._batches_by_number) > _MAX_OPEN_BATCHES:
            self._batches_by_number.popitem(last=False)
        request = messages.TokenRequest(
            number=number, wants=tuple(want for _, want in wants)
        )
        if owner_id == self._host_id:
            now = self._clock()
            self._handle_grants(self._grant(request, now), now)
            return
        endpoint = self._endpoints_by_host.get(owner_id)
        if endpoint is not None:
            self._send(request, endpoint)

    def _send(self, message: messages.Message, target: tuple[str, int]) -> None:
        data = codec.encode(message, self._key)
        self._metrics.increment(metrics.Counter.QUOTA_DATAGRAMS_SENT)
        self._metrics.increment(metrics.Counter.QUOTA_BYTES_SENT, len(data))
        self._send_datagram(data, *target[:2])

    # Results and timers.

    def _settle(self) -> None:
        """Posts the results of requests and schedules the next time-out."""
        for verdict in self._cache.take_verdicts():
            if verdict.token is not None:
                event = calls.QuotaGranted(
                    origin_id=verdict.origin_id,
                    expires_at=verdict.token.expires_at,
                )
            else:
                event = self._build_refusal(verdict)
            self._post(event)
        due_at = self._cache.next_wakeup()
        if due_at is not None and self._wakeup_timer is None:
            delay_s = max(WAKEUP_GRANULARITY_S, due_at - self._clock())
            self._wakeup_timer = self._reactor.callLater(
                delay_s, self._handle_wakeup
            )

    def _build_refusal(self, verdict: cache.Verdict) -> calls.QuotaRefused:
        is_exceeded = verdict.refusal is cache.Refusal.EXCEEDED
        self._metrics.increment(
            metrics.Counter.QUOTA_REFUSED_EXCEEDED
            if is_exceeded
            else metrics.Counter.QUOTA_REFUSED_UNREACHABLE
        )
        return calls.QuotaRefused(
            origin_id=verdict.origin_id,
            is_exceeded=is_exceeded,
            retry_after_s=verdict.retry_after_s,
            reason=verdict.reason,
        )

    def _handle_wakeup(self) -> None:
        self._wakeup_timer = None
        self._cache.advance(self._clock())
        self._settle()

    def _handle_tick(self) -> None:
        now = self._clock()
        for host_id, introduction in self._counted.advance(now):
            endpoint = self._endpoints_by_host.get(host_id)
            if endpoint is not None:
                self._send(introduction, endpoint)
        self._owner.advance(now)
        self._record_activity(self._counted.may_grant(now))
        self._tick_count += 1
        if self._tick_count % _TICKS_PER_REPORT == 0:
            self._set_gauges()

    def _record_activity(self, is_active: bool) -> None:
        if is_active == self._was_active:
            return
        self._was_active = is_active
        code = catalogue.EventCode.QUOTA_OWNER_INACTIVE
        if is_active:
            code = catalogue.EventCode.QUOTA_OWNER_ACTIVE
        self._record(
            records.EventRecord(
                code=code,
                fields={
                    "hosts": len(self._counted.digests_by_host),
                    "present": self._counted.present_count,
                },
            )
        )

    def _set_gauges(self) -> None:
        set_gauge = self._metrics.set_gauge
        set_gauge(
            metrics.Gauge.QUOTA_COUNTED_HOSTS,
            len(self._counted.digests_by_host),
        )
        set_gauge(metrics.Gauge.QUOTA_TOKENS_HELD, self._cache.held_count())
        expired = self._cache.expired_count
        self._metrics.increment(
            metrics.Counter.QUOTA_TOKENS_EXPIRED,
            expired - self._expired_reported,
        )
        self._expired_reported = expired
        usage = sorted(
            self._cache.list_usage(), key=lambda item: item[1], reverse=True
        )
        for digest, requests, refusals in usage[:MAX_LABELLED_ORGANISATIONS]:
            self._set_share(digest, requests, refusals)
        self._reported_by_digest = {
            digest: (requests, refusals) for digest, requests, refusals in usage
        }

    def _set_share(self, digest: int, requests: int, refusals: int) -> None:
        """Sets this host's share of the use of a cap and its refusals."""
        cap = self._caps.caps_by_digest.get(digest)
        if cap is None:
            return
        old_requests, old_refusals = self._reported_by_digest.get(
            digest, (0, 0)
        )
        interval_s = _TICKS_PER_REPORT * TICK_S
        refused = refusals - old_refusals
        granted = requests - old_requests - refused
        use = granted / interval_s / cap.rate_per_s
        set_gauge = self._metrics.set_gauge
        set_gauge(metrics.Gauge.QUOTA_USE, use, label=cap.name)
        set_gauge(
            metrics.Gauge.QUOTA_REFUSED, refused / interval_s, label=cap.name
        )


def build_task(
    *,
    settings: settings_model.Settings,
    reactor,
    post: Callable[[calls.Event], None],
    rng: random.Random,
    send_datagram: Callable[[bytes, str, int], None],
    recorder: event_recorder.EventRecorder,
    has_store: bool,
) -> QuotaTask:
    """Builds the quota task of a node.

    Args:
      settings: The node's settings.
      reactor: The reactor.
      post: Called with each event for the call engine.
      rng: Random number generator.
      send_datagram: Called with a datagram, an address and a port.
      recorder: Recorder of events, with the node's metrics.
      has_store: Whether the node has a store, which lists the other nodes.
    """
    return QuotaTask(
        host_id=settings.node.host_id,
        key=settings.peer.key.encode(),
        reactor=reactor,
        post=post,
        rng=rng,
        send_datagram=send_datagram,
        record=recorder.record,
        node_metrics=recorder.metrics,
        # With seeds or a store, other nodes may just be unreachable.
        may_be_alone=not has_store and not settings.peer.seeds,
    )
