"""Model of one service in three data centres with uneven demand.

Demand oscillates in each data centre, callers move to another one, and servers
fail. Calls between data centres are counted and compared with the least that a
fluid of the same demand would need.
"""

import collections
from collections.abc import Callable
import heapq
import math
import random

from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.routing import router
from bergamotdeal.rpc import core as rpc
from standins import uneven_servers

DATA_CENTRES = ("prai", "kulim", "bayan")
SERVERS = 4
NODES = 3
AMPLITUDE = 0.55
WAVE_S = 15.0
CALL_BYTES = 2_000
_STEP_S = 0.05
_MAX_SENDINGS = 2

SERVER_CAPACITY = uneven_servers.SLOTS / uneven_servers.RUN_S

DemandChange = Callable[[list[float], float], None]


class Model:
    """Callers of three data centres.

    Args:
      mean_demand: Mean demand as a share of the capacity.
      change_demand: Changes the demands by data centre at a time, in place.
      fails_at: Time at which half of the servers of the last data centre fail.
      refusal_bytes: Bytes that cost as much as a refusal, see
        ``model.RoutingPolicy``.
      seed: Seed of the random source.

    Attributes:
      calls: Calls that arrived, by data centre.
      served: Calls that were served, by data centre of the caller.
      flows: Calls that were sent to another data centre, by both names.
      mutual_flows: Number of intervals in which two data centres sent a
        noticeable share of their calls to each other.
      least_spilled: Calls that a fluid of the same demand would send to other
        data centres.
    """

    def __init__(
        self,
        *,
        mean_demand: float,
        change_demand: DemandChange | None = None,
        fails_at: float = math.inf,
        refusal_bytes: int = 100_000,
        seed: int = 1,
    ) -> None:
        self._rng = random.Random(seed)
        self._mean_demand = mean_demand
        self._change_demand = change_demand
        self._fails_at = fails_at
        self._servers_by_id: dict[str, uneven_servers.Server] = {}
        self._members_by_id: dict[str, membership.Member] = {}
        for name in DATA_CENTRES:
            for number in range(SERVERS):
                self._add_server(name, number)
        self._policy = model.RoutingPolicy(
            weigh_speed=True, spill_share=0.75, refusal_bytes=refusal_bytes
        )
        self._routers = {
            name: [self._build_router(name, n) for n in range(NODES)]
            for name in DATA_CENTRES
        }
        self._ends: list[tuple] = []
        self._numbers = 0
        self.calls = collections.Counter()
        self.served = collections.Counter()
        self.flows = collections.Counter()
        self.mutual_flows = 0
        self.least_spilled = 0.0

    def served_share(self, name: str) -> float:
        """Returns the share of a data centre's calls that were served."""
        return self.served[name] / self.calls[name]

    def run(self, duration_s: float) -> None:
        """Runs the model."""
        steps = round(duration_s / _STEP_S)
        recent = collections.Counter()
        for step in range(steps):
            now = step * _STEP_S
            if now >= self._fails_at:
                self._fail_servers()
            rates = self._compute_rates(now)
            self._count_least_spilled(rates)
            arrivals = sorted(
                (now + self._rng.random() * _STEP_S, name)
                for name, rate in zip(DATA_CENTRES, rates, strict=True)
                for _ in range(self._draw_count(rate * _STEP_S))
            )
            before = self.flows.copy()
            for at, name in arrivals:
                self._end_calls(at)
                self._call(name, at)
            recent.update(self.flows - before)
            if step % 10 == 9:
                self._count_mutual_flows(recent, rates)
                recent.clear()

    def _count_mutual_flows(
        self, recent: collections.Counter, rates: list[float]
    ) -> None:
        noticeable = 0.02 * 10 * _STEP_S * sum(rates) / len(rates)
        self.mutual_flows += any(
            min(recent[a, b], recent[b, a]) > noticeable
            for a in DATA_CENTRES
            for b in DATA_CENTRES
            if a < b
        )

    def _draw_count(self, mean: float) -> int:
        return max(0, round(self._rng.gauss(mean, math.sqrt(mean))))

    def _compute_rates(self, now: float) -> list[float]:
        base = self._mean_demand * SERVERS * SERVER_CAPACITY
        rates = [
            base
            * (1 + AMPLITUDE * math.sin(2 * math.pi * (now / WAVE_S + i / 3)))
            for i in range(len(DATA_CENTRES))
        ]
        if self._change_demand is not None:
            self._change_demand(rates, now)
        return rates

    def _count_least_spilled(self, rates: list[float]) -> None:
        counts = collections.Counter(
            each.data_centre for each in self._members_by_id.values()
        )
        excess = [
            rate - counts[name] * SERVER_CAPACITY
            for name, rate in zip(DATA_CENTRES, rates, strict=True)
        ]
        over = sum(each for each in excess if each > 0)
        spare = -sum(each for each in excess if each < 0)
        self.least_spilled += min(over, spare) * _STEP_S

    def _add_server(self, data_centre: str, number: int) -> None:
        server = uneven_servers.Server(
            number=len(self._servers_by_id),
            server_speed=1.0,
            duration_s=-1.0,  # No slow phases.
            rng=self._rng,
        )
        self._servers_by_id[server.host_id] = server
        self._members_by_id[server.host_id] = membership.Member(
            host_id=server.host_id,
            incarnation="00" * 16,
            data_centre=data_centre,
            region="penang",
            address="127.0.0.1",
            peer_port=1 + number,
            server=membership.Server(
                service=uneven_servers.SERVICE,
                slots=uneven_servers.SLOTS,
                connections=uneven_servers.SLOTS,
            ),
        )

    def _fail_servers(self) -> None:
        self._fails_at = math.inf
        failed = [
            host_id
            for host_id, each in self._members_by_id.items()
            if each.data_centre == DATA_CENTRES[-1]
        ][: SERVERS // 2]
        for host_id in failed:
            del self._members_by_id[host_id]
        for routers in self._routers.values():
            for each in routers:
                each.update_members(dict(self._members_by_id))

    def _build_router(self, name: str, number: int) -> router.Router:
        built = router.Router(
            policy=self._policy,
            host_id=f"{name}-{number}",
            data_centre=name,
            region="penang",
            rng=random.Random(self._rng.random()),
        )
        built.update_members(dict(self._members_by_id))
        return built

    def _call(self, name: str, now: float) -> None:
        sender = self._rng.choice(self._routers[name])
        self.calls[name] += 1
        excluded: set[str] = set()
        for _ in range(_MAX_SENDINGS):
            host_id = sender.select_server(
                uneven_servers.SERVICE, exclude=frozenset(excluded), now=now
            )
            server = self._servers_by_id[host_id]
            target_name = self._members_by_id[host_id].data_centre
            sender.record_call_start(host_id, now)
            if target_name != name:
                self.flows[name, target_name] += 1
            if server.has_room(now):
                self._start(sender, server, name, now)
                return
            self._record_end(sender, host_id, None, server.load(now), now)
            excluded.add(host_id)

    def _start(
        self,
        sender: router.Router,
        server: uneven_servers.Server,
        name: str,
        now: float,
    ) -> None:
        work_s = uneven_servers.RUN_S * self._rng.uniform(0.5, 1.5)
        start, end = server.run(work_s, now)
        self._numbers += 1
        self.served[name] += 1
        entry = (end, self._numbers, sender, server, start, now)
        heapq.heappush(self._ends, entry)

    def _end_calls(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            end, _, sender, server, start, sent_at = heapq.heappop(self._ends)
            load = server.end_run(end - start, end)
            sender.record_call_size(uneven_servers.SERVICE, CALL_BYTES)
            self._record_end(sender, server.host_id, end - sent_at, load, end)

    def _record_end(
        self,
        sender: router.Router,
        host_id: str,
        latency_s: float | None,
        load: rpc.Load,
        now: float,
    ) -> None:
        sender.record_call_end(
            host_id, latency_s=latency_s, succeeded=True, load=load, now=now
        )
