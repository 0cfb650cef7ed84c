"""Event-driven model of a fleet that enforces caps, without network."""

import bisect
import heapq
import itertools
import random

from bergamotdeal.presets import model as preset_model
from bergamotdeal.quotas import cache
from bergamotdeal.quotas import core
from bergamotdeal.quotas import hosts
from bergamotdeal.quotas import messages
from bergamotdeal.quotas import owner
from bergamotdeal.routing import rendezvous
from bergamotdeal.wire import quotas as codec

TICK_S = 0.1
DETECTION_S = 3.0
KEY = b"key"


def build_preset(caps, **policy):
    """Builds a preset with caps given as (rate, burst) by name."""
    return preset_model.Preset(
        name="p",
        organisations=tuple(
            preset_model.Organisation(name=name, rate_per_s=rate, burst=burst)
            for name, (rate, burst) in caps.items()
        ),
        quotas=preset_model.QuotaPolicy(**policy),
    )


class EstablishedHosts:
    """Counted hosts of a fleet that has long been complete."""

    version = 1
    term = 1

    def __init__(self, names):
        self.digests_by_host = {n: rendezvous.digest(n) for n in names}

    def may_grant(self, now):
        return True

    def find_fill_start(self, now):
        return now

    def is_present(self, host_id):
        return True

    def advance(self, now):
        return []


class Host:
    """One host: entry, bucket owner and membership."""

    def __init__(self, fleet, name, counted):
        self.fleet = fleet
        self.name = name
        self.counted = counted or hosts.CountedHosts(
            host_id=name, rng=fleet.rng, now=fleet.now
        )
        self.owner = owner.BucketOwner(host_id=name, counted=self.counted)
        self.cache = cache.TokenCache(
            counted=self.counted, rng=fleet.rng, send=self.send_request
        )
        self.wakeup = 0.0
        self.tick_s = 10 * TICK_S if counted else TICK_S
        self.apply(fleet.preset)
        fleet.call_later(fleet.rng.random() * TICK_S, self, self.tick)

    def apply(self, preset):
        caps = core.CapTable(preset=preset)
        self.owner.set_caps(caps, self.fleet.now)
        self.cache.set_caps(caps)

    def tick(self):
        now = self.fleet.now
        for target, message in self.counted.advance(now):
            self.fleet.send(self, target, message)
        self.owner.advance(now)
        self.fleet.call_later(self.tick_s, self, self.tick)

    def send_request(self, target, number, want):
        message = messages.TokenRequest(number=number, wants=(want,))
        self.fleet.send(self, target, message)

    def receive(self, source, message):
        now = self.fleet.now
        match message:
            case messages.TokenRequest():
                grants = tuple(self.owner.grant(w, now) for w in message.wants)
                self.fleet.send(
                    self,
                    source,
                    messages.TokenGrant(number=message.number, grants=grants),
                )
            case messages.TokenGrant():
                self.cache.handle_grant(message, now)
            case messages.Introduction():
                reply = self.counted.handle_introduction(message, now)
                self.fleet.send(self, source, reply)
            case messages.IntroductionReply():
                self.counted.handle_reply(message, now)
        self.settle()

    def request(self, organisation):
        self.fleet.last_origin += 1
        self.fleet.organisations_by_origin[self.fleet.last_origin] = (
            organisation
        )
        digest = self.fleet.digests[organisation]
        self.cache.request(self.fleet.last_origin, digest, self.fleet.now)
        self.settle()

    def wake(self):
        self.wakeup = 0.0
        self.cache.advance(self.fleet.now)
        self.settle()

    def settle(self):
        fleet = self.fleet
        for verdict in self.cache.take_verdicts():
            name = fleet.organisations_by_origin.pop(verdict.origin_id)
            if verdict.token is not None:
                assert fleet.now < verdict.token.expires_at
                fleet.runs[name].append(fleet.now)
            else:
                fleet.refusals[name].append((fleet.now, verdict))
        due = self.cache.next_wakeup()
        if due is not None and (not self.wakeup or due < self.wakeup):
            self.wakeup = due
            fleet.call_later(max(0.0, due - fleet.now), self, self.wake)


class Fleet:
    """Hosts, the network between them and its faults."""

    def __init__(self, *, names, preset, seed, established=False, loss=0.0):
        self.rng = random.Random(seed)
        self.preset = preset
        self.loss = loss
        self.now = 1000.0
        self.events = []
        self.sequence = itertools.count()
        self.last_origin = 0
        self.organisations_by_origin = {}
        caps = [o.name for o in preset.organisations]
        self.digests = {name: rendezvous.digest(name) for name in caps}
        self.runs = {name: [] for name in caps}
        self.refusals = {name: [] for name in caps}
        self.bytes_sent = 0
        self.sides = {}
        self.frozen = {}
        self.counted = EstablishedHosts(names) if established else None
        self.hosts = {}
        for name in names:
            self.start(name)

    def start(self, name):
        self.hosts[name] = Host(self, name, self.counted)
        self.spread_view()

    def kill(self, name):
        self.hosts.pop(name, None)
        self.frozen.pop(name, None)
        self.spread_view()

    def leave(self, name):
        self.hosts.pop(name)
        for host in self.reachable(name):
            host.counted.update_members(
                present=[h.name for h in self.reachable(host.name)],
                left=[name],
                now=self.now,
            )

    def freeze(self, name):
        if name in self.hosts:
            self.frozen.setdefault(name, [])
            self.spread_view()

    def thaw(self, name):
        for host, event in self.frozen.pop(name, []):
            self.call_later(0.0, host, event)
        self.spread_view()

    def partition(self, side_by_name):
        self.sides = side_by_name
        self.spread_view()

    def reachable(self, name):
        side = self.sides.get(name, 0)
        return [
            host
            for other, host in self.hosts.items()
            if self.sides.get(other, 0) == side and other not in self.frozen
        ]

    def spread_view(self):
        """Tells the membership of all hosts after the time of detection."""
        if self.counted is None:
            for host in self.hosts.values():
                delay_s = self.rng.uniform(0.1, DETECTION_S)
                self.call_later(delay_s, host, lambda h=host: self.tell(h))

    def tell(self, host):
        host.counted.update_members(
            present=[h.name for h in self.reachable(host.name)],
            left=[],
            now=self.now,
        )

    def send(self, source, target, message):
        data = codec.encode(message, KEY)
        self.bytes_sent += len(data)
        if self.rng.random() < self.loss:
            return
        if self.sides.get(source.name, 0) != self.sides.get(target, 0):
            return
        receiver = self.hosts.get(target)
        if receiver is not None:
            decoded = codec.decode(data, KEY).unwrap()
            copies = 1 + (self.rng.random() < self.loss)  # Duplicates too.
            for _ in range(copies):
                self.call_later(
                    self.rng.uniform(0.0002, 0.002),
                    receiver,
                    lambda: receiver.receive(source.name, decoded),
                )

    def call_later(self, delay_s, host, event):
        item = (self.now + delay_s, next(self.sequence), host, event)
        heapq.heappush(self.events, item)

    def run_until(self, end):
        while self.events and self.events[0][0] < end:
            self.now, _, host, event = heapq.heappop(self.events)
            if host is None:
                event()
            elif self.hosts.get(host.name) is not host:
                continue  # The process was killed.
            elif host.name in self.frozen:
                self.frozen[host.name].append((host, event))
            else:
                event()
        self.now = end

    def demand(self, name, rate, weights, end):
        """Offers Poisson arrivals of an organisation, spread by weight."""
        names = list(weights)
        totals = list(itertools.accumulate(weights.values()))

        def arrive():
            target = names[
                bisect.bisect(totals, self.rng.random() * totals[-1])
            ]
            if target in self.hosts:
                # A stopped process reads the request when it goes on.
                host = self.hosts[target]
                self.call_later(0.0, host, lambda: host.request(name))
            if self.now < end:
                self.call_later(self.rng.expovariate(rate), None, arrive)

        self.call_later(self.rng.expovariate(rate), None, arrive)


def skew(names, rng):
    """Returns weights by which a tenth of the hosts get nine tenths."""
    hot = set(rng.sample(names, max(1, len(names) // 10)))
    cold_count = max(1, len(names) - len(hot))
    return {n: 0.9 / len(hot) if n in hot else 0.1 / cold_count for n in names}


def count_between(times, start, end):
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)


def find_fullest_window(times, window_s=5.0):
    """Returns the largest number of runs in any sliding window."""
    return max(
        (count_between(times, t, t + window_s) for t in times), default=0
    )
