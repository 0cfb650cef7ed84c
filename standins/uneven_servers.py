"""Model of one service whose servers differ in speed, without a network.

Each server starts its jobs in the order of their arrival, so the completion of
a job is known when it is queued. Routers learn about the servers only from the
answers to their own calls.
"""

import bisect
import dataclasses
import heapq
import math
import random

from bergamotdeal.admission import speed
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.routing import router
from bergamotdeal.rpc import core as rpc

SERVICE = "kitview"
SLOTS = 32
RUN_S = 0.08
SLOWEST, FASTEST = 0.5, 1.6
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
SLOW_PHASE_S = 0.6
_QUEUE_JOBS = SLOTS
_MAX_SENDINGS = 3
_RUN_TIME_WEIGHT = 0.05
_SAMPLE_INTERVAL_S = 0.01
_MS_PER_S = 1000.0

MEAN_SLOWNESS = 1.0 - SLOW_SHARE + SLOW_SHARE * SLOW_FACTOR


@dataclasses.dataclass(kw_only=True)
class Result:
    """What the callers and the servers of one run of the model saw.

    Attributes:
      latencies_s: Time from arrival to completion of each completed call.
      refused: Number of calls that no server accepted.
      idle_shares: For each server, the share of its capacity that was idle
        while another server had jobs queued.
      wasted_shares: The same while a job queued at another server would have
        ended earlier on this one.
    """

    latencies_s: list[float]
    refused: int
    idle_shares: list[float]
    wasted_shares: list[float]

    def latency_s(self, quantile: float) -> float:
        """Returns a quantile of the latencies."""
        ordered = sorted(self.latencies_s)
        return ordered[int(quantile * (len(ordered) - 1))]


class Server:
    """Backend server with the queue of its node.

    Args:
      number: Number of the server.
      server_speed: Permanent speed; 1.0 is usual.
      duration_s: Time for which the slow phases are planned.
      rng: Random source.
    """

    def __init__(
        self,
        *,
        number: int,
        server_speed: float,
        duration_s: float,
        rng: random.Random,
    ) -> None:
        self.host_id = f"s{number:02}"
        self._speed = server_speed
        self._slot_free_at = [0.0] * SLOTS
        self._starts: list[float] = []
        self._ends: list[float] = []
        self._run_s = 0.0
        self._node_speed = speed.ServerSpeed()
        self._slow_from: list[float] = []
        usual_phase_s = SLOW_PHASE_S * (1.0 - SLOW_SHARE) / SLOW_SHARE
        at = rng.uniform(-SLOW_PHASE_S, usual_phase_s)
        while at < duration_s:
            self._slow_from.append(at)
            at += SLOW_PHASE_S + rng.expovariate(1.0 / usual_phase_s)

    def work_factor(self, now: float) -> float:
        """Returns how long work takes now as a multiple of the usual time."""
        index = bisect.bisect_right(self._slow_from, now) - 1
        is_slow = index >= 0 and now < self._slow_from[index] + SLOW_PHASE_S
        return (SLOW_FACTOR if is_slow else 1.0) / self._speed

    def queued(self, now: float) -> int:
        """Returns the number of jobs that wait for a slot."""
        return len(self._starts) - bisect.bisect_right(self._starts, now)

    def running(self, now: float) -> int:
        """Returns the number of jobs that run."""
        started = bisect.bisect_right(self._starts, now)
        return started - bisect.bisect_right(self._ends, now)

    def last_start(self) -> float:
        """Returns when the last job starts."""
        return self._starts[-1]

    def has_room(self, now: float) -> bool:
        """Returns whether the queue accepts one more job."""
        factor = max(1.0, self.work_factor(now))
        return self.queued(now) < math.ceil(_QUEUE_JOBS / factor)

    def predict_end(self, work_s: float, now: float) -> tuple[float, float]:
        """Returns when a job that arrives now would start and end."""
        start = max(now, self._slot_free_at[0])
        at, work_left_s = start, work_s
        index = max(0, bisect.bisect_right(self._slow_from, at) - 1)
        while True:
            if index < len(self._slow_from) and at >= (
                self._slow_from[index] + SLOW_PHASE_S
            ):
                index += 1
                continue
            slow_from = (
                self._slow_from[index]
                if index < len(self._slow_from)
                else math.inf
            )
            is_slow = at >= slow_from
            phase_end = slow_from + SLOW_PHASE_S if is_slow else slow_from
            factor = (SLOW_FACTOR if is_slow else 1.0) / self._speed
            if at + work_left_s * factor <= phase_end:
                return start, at + work_left_s * factor
            work_left_s -= (phase_end - at) / factor
            at = phase_end

    def expected_end(self, work_s: float, now: float) -> float:
        """Returns when a job would end if the server's speed stayed the same.

        Args:
          work_s: Run time of the job at the usual speed.
          now: Time of its arrival.
        """
        start = max(now, self._slot_free_at[0])
        return start + work_s * self.work_factor(now)

    def run(self, work_s: float, now: float) -> tuple[float, float]:
        """Queues a job and returns when it starts and ends."""
        start, end = self.predict_end(work_s, now)
        heapq.heapreplace(self._slot_free_at, end)
        self._starts.append(start)  # In order, as jobs are not reordered.
        bisect.insort(self._ends, end)
        return start, end

    def end_run(self, run_s: float, now: float) -> rpc.Load:
        """Records the end of a run and returns the node's load report."""
        self._node_speed.record(self.work_factor(now), now)
        usual_s = run_s / self._node_speed.smoothed(now)
        if self._run_s == 0.0:
            self._run_s = usual_s
        self._run_s += _RUN_TIME_WEIGHT * (usual_s - self._run_s)
        return self.load(now)

    def load(self, now: float) -> rpc.Load:
        """Returns the load report of the node beside the server."""
        return rpc.Load(
            running=self.running(now),
            queued=self.queued(now),
            limit=SLOTS,
            run_ms=self._run_s * self._node_speed.usual * _MS_PER_S,
            work_factor=self._node_speed.relative(now),
        )


class Omniscient:
    """Scheduler that knows the state of all servers, but not their future."""

    def __init__(self, *, servers: list[Server]) -> None:
        self._servers = servers

    def select(self, work_s: float, now: float) -> Server | None:
        """Returns the server on which a job is expected to end first."""
        return min(
            (each for each in self._servers if each.has_room(now)),
            key=lambda each: each.expected_end(work_s, now),
            default=None,
        )


def build_servers(
    *, count: int, duration_s: float, rng: random.Random
) -> list[Server]:
    """Builds servers whose speeds are spread evenly over the range."""
    step = (FASTEST - SLOWEST) / (count - 1)
    return [
        Server(
            number=number,
            server_speed=SLOWEST + number * step,
            duration_s=duration_s + 60.0,
            rng=rng,
        )
        for number in range(count)
    ]


def compute_capacity(count: int) -> float:
    """Returns how many jobs per second servers of this model can run."""
    mean_speed = (SLOWEST + FASTEST) / 2
    return count * SLOTS * mean_speed / RUN_S / MEAN_SLOWNESS


class Model:
    """Callers that send calls through several nodes.

    Args:
      demand: Calls per second as a share of the capacity.
      is_omniscient: Whether an omniscient scheduler chooses the server.
      seed: Seed of the random sources.
      count: Number of servers and of nodes that accept calls.
      duration_s: Time for which calls arrive.
      warmup_s: Time at the start that the result leaves out.
    """

    def __init__(
        self,
        *,
        demand: float,
        is_omniscient: bool,
        seed: int,
        count: int = 28,
        duration_s: float = 10.0,
        warmup_s: float = 3.0,
    ) -> None:
        self._rng = random.Random(seed)
        self._duration_s = duration_s
        self._warmup_s = warmup_s
        self._rate = demand * compute_capacity(count)
        self._servers = build_servers(
            count=count, duration_s=duration_s, rng=random.Random(seed)
        )
        self._servers_by_id = {each.host_id: each for each in self._servers}
        self._omniscient = (
            Omniscient(servers=self._servers) if is_omniscient else None
        )
        self._routers = [self._build_router(n) for n in range(count)]
        # End of each call with its router, server, start of the run, and
        # arrival.
        self._ends: list[tuple[float, int, int, str, float, float]] = []
        self._calls = 0
        self._latencies_s: list[float] = []
        self._refused = 0

    def run(self) -> Result:
        """Runs the model and returns what callers and servers saw."""
        idle = [0.0] * len(self._servers)
        wasted = [0.0] * len(self._servers)
        samples = 0
        now, next_sample = 0.0, self._warmup_s
        while True:
            now += self._rng.expovariate(self._rate)
            if now > self._duration_s:
                break
            while next_sample < now:
                self._sample_idle(next_sample, idle, wasted)
                samples += 1
                next_sample += _SAMPLE_INTERVAL_S
            self._end_calls(now)
            self._call(now)
        return Result(
            latencies_s=self._latencies_s,
            refused=self._refused,
            idle_shares=[each / samples for each in idle],
            wasted_shares=[each / samples for each in wasted],
        )

    def _sample_idle(
        self, now: float, idle: list[float], wasted: list[float]
    ) -> None:
        factors = [each.work_factor(now) for each in self._servers]
        queued_ends = [
            server.last_start() + RUN_S * factor if server.queued(now) else 0.0
            for server, factor in zip(self._servers, factors, strict=True)
        ]
        # A server that has jobs queued has no idle slot.
        latest_end = max(queued_ends)
        for index, server in enumerate(self._servers):
            idle_share = 1.0 - server.running(now) / SLOTS
            if latest_end > 0.0:
                idle[index] += idle_share
            if latest_end > now + RUN_S * factors[index]:
                wasted[index] += idle_share

    def _build_router(self, number: int) -> router.Router:
        built = router.Router(
            policy=model.RoutingPolicy(weigh_speed=True),
            host_id=f"e{number:02}",
            data_centre="prai",
            region="penang",
            rng=random.Random(self._rng.random()),
        )
        built.update_members(
            {
                each.host_id: membership.Member(
                    host_id=each.host_id,
                    incarnation="00" * 16,
                    data_centre="prai",
                    region="penang",
                    address="127.0.0.1",
                    peer_port=1,
                    server=membership.Server(
                        service=SERVICE, slots=SLOTS, connections=SLOTS
                    ),
                )
                for each in self._servers
            }
        )
        return built

    def _call(self, now: float) -> None:
        work_s = RUN_S * self._rng.uniform(0.5, 1.5)
        number = self._rng.randrange(len(self._routers))
        if self._omniscient is not None:
            server = self._omniscient.select(work_s, now)
        else:
            server = self._route(self._routers[number], now)
        if server is None:
            self._refused += now >= self._warmup_s
            return
        start, end = server.run(work_s, now)
        self._calls += 1
        entry = (end, self._calls, number, server.host_id, start, now)
        heapq.heappush(self._ends, entry)
        if now >= self._warmup_s:
            self._latencies_s.append(end - now)

    def _route(self, sender: router.Router, now: float) -> Server | None:
        excluded: set[str] = set()
        for _ in range(_MAX_SENDINGS):
            host_id = sender.select_server(
                SERVICE, exclude=frozenset(excluded), now=now
            )
            server = self._servers_by_id[host_id]
            sender.record_call_start(host_id, now)
            if server.has_room(now):
                return server
            sender.record_call_end(
                host_id,
                latency_s=None,
                succeeded=True,
                load=server.load(now),
                now=now,
            )
            excluded.add(host_id)
        return None

    def _end_calls(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            end, _, number, host_id, start, arrived = heapq.heappop(self._ends)
            load = self._servers_by_id[host_id].end_run(end - start, end)
            if self._omniscient is None:
                self._routers[number].record_call_end(
                    host_id,
                    latency_s=end - arrived,
                    succeeded=True,
                    load=load,
                    now=end,
                )
