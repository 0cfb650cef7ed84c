"""Load of many hosts on a server that names a rate limit in its answers."""

import heapq
import itertools
import random

import msgspec
import pytest

from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import test_host_routes
from bergamotdeal.errors import core as errors
from bergamotdeal.node import server_condition
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records

HOSTS = 16
RUN_S = 0.06
LIMIT = 21.0
WINDOW_S = 4.0
SETTLE_S = 3.0
"""Time after which the users count the requests of a limited server."""

MAX_REQUESTS = 1.5 * LIMIT * WINDOW_S + 5

ANNOUNCED = messages.ServerAnnounced(
    service="kitview", slots=254, connections=300
)


class Server:
    """Node and backend server that other hosts call at a constant rate."""

    def __init__(self, *, calls_per_s):
        self.node = test_host_routes.Node()
        self.node.handle(ANNOUNCED)
        self.started_at = []
        self.errors = []
        self.records = []
        self.refusal_waits_s = []
        self.rate_limit = None
        self.is_limit_unknown = False
        self._called_at = {}
        self._interval_s = 1.0 / calls_per_s
        self._next_call_at = self.node.now
        self._numbers = itertools.count(1)
        self._ends = []

    def run(self, duration_s):
        """Calls the server for a time."""
        end = self.node.now + duration_s
        while self._next_call_at < end:
            self._pass_time(self._next_call_at)
            self._call()
            self._next_call_at += self._interval_s
        self._pass_time(end)

    def handle(self, event):
        """Passes an event to the node and plays its backend server."""
        for effect in self.node.handle(event):
            match effect:
                case messages.StartRun():
                    self.started_at.append(self.node.now)
                    end = self.node.now + RUN_S
                    heapq.heappush(self._ends, (end, effect.run_id))
                case records.EventRecord():
                    self.records.append(effect)
                case messages.SendAnswer(answer=answer) if answer.error:
                    self.errors.append(answer.error)
                    called_at = self._called_at[effect.number]
                    self.refusal_waits_s.append(self.node.now - called_at)

    def restart_node(self):
        """Starts a new node, which learns the limit from the first answer."""
        now = self.node.now
        self.node = test_host_routes.Node()
        self.node.now = now
        self._ends.clear()
        self._called_at.clear()
        self.handle(ANNOUNCED)
        self.handle(
            messages.ServerRateLimited(
                rate_limit=server_condition.PROVISIONAL_RATE_LIMIT,
                is_provisional=True,
            )
        )
        self.is_limit_unknown = True

    def freeze(self, duration_s):
        """Lets time pass in which the node does nothing."""
        self.node.now += duration_s
        self._next_call_at = self.node.now

    def _pass_time(self, until):
        while True:
            wakeup = self.node.engine.next_wakeup()
            times = [until, self._ends[0][0] if self._ends else until]
            times.append(until if wakeup is None else wakeup)
            self.node.now = max(self.node.now, min(times))
            if self._ends and self._ends[0][0] <= self.node.now:
                _, run_id = heapq.heappop(self._ends)
                if self.is_limit_unknown:
                    self.is_limit_unknown = False
                    self.handle(
                        messages.ServerRateLimited(rate_limit=self.rate_limit)
                    )
                self.handle(
                    messages.RunAnswered(
                        run_id=run_id, status=200, headers=[], body=b""
                    )
                )
            elif self.node.now < until:
                self.handle(messages.TimePassed())
            else:
                return

    def _call(self):
        number = next(self._numbers)
        self._called_at[number] = self.node.now
        call = rpc.Call(
            number=number,
            user_request_id=f"r{number}",
            call_id=f"c{number}",
            request=rpc.Request(
                service="kitview",
                method="GET",
                path="/kits/7",
                headers=[],
                body=str(number).encode(),
                authority="kits.example",
            ),
            deadline_ms=800,
            class_name="usual",
            route_name="kits",
            repeatable=True,
        )
        self.handle(messages.PeerCalled(link_id=number % HOSTS, call=call))

    def run_limited(self, rate_limit=LIMIT, duration_s=SETTLE_S):
        """Calls the server after it has named a limit; returns that time."""
        self.run(3.0)
        self.rate_limit = rate_limit
        self.handle(messages.ServerRateLimited(rate_limit=rate_limit))
        limited_at = self.node.now
        self.run(duration_s)
        return limited_at

    def count_most_in_window(self, since):
        """Returns the most runs that started in a window after a time."""
        times = [time for time in self.started_at if time >= since]
        return max(
            sum(start <= time < start + WINDOW_S for time in times)
            for start in times
        )


# Guards against a server that named a limit and got several times as much,
# because the node beside it admitted by free slots alone.
@pytest.mark.parametrize("calls_per_s", [25, 50, 400])
def test_limited_server_gets_at_most_its_rate_from_all_hosts(calls_per_s):
    server = Server(calls_per_s=calls_per_s)
    limited_at = server.run_limited(duration_s=SETTLE_S + 3 * WINDOW_S)
    most = server.count_most_in_window(limited_at + SETTLE_S)
    assert most <= MAX_REQUESTS


def test_limited_server_is_used_up_to_its_rate():
    server = Server(calls_per_s=50)
    limited_at = server.run_limited(duration_s=20.0)
    started = sum(time > limited_at for time in server.started_at)
    assert 0.95 * LIMIT * 20.0 <= started <= LIMIT * 20.0 + 1


def test_calls_beyond_the_rate_are_refused_early_and_may_go_elsewhere():
    server = Server(calls_per_s=50)
    server.run_limited()
    assert set(server.errors) == {errors.ErrorKind.SHED}
    load = server.node.engine.load()
    reasons = {
        effect.fields["reason"].rpartition(", ")[2]
        for effect in server.records
        if effect.code is catalogue.EventCode.CALL_SHED
    }
    assert reasons == {"server accepts 21 per second"}
    # By Little's law, two slots are enough for 21 runs of 60 ms a second.
    assert load.limit == 2
    assert load.queued <= 5


def test_limit_ends_when_the_server_names_none():
    server = Server(calls_per_s=50)
    server.run_limited()
    server.handle(messages.ServerRateLimited(rate_limit=None))
    server.run(1.0)
    before = len(server.started_at)
    server.run(10.0)
    assert len(server.started_at) - before >= 499


# Guards against a limit that is forgotten when a connection to the server
# fails: the server counts as stopped until its next heartbeat.
def test_limit_outlives_a_failed_connection():
    server = Server(calls_per_s=50)
    server.run_limited()
    server.handle(messages.ServerStopped())
    server.run(0.5)
    server.handle(ANNOUNCED)
    returned_at = server.node.now
    server.run(3 * WINDOW_S)
    assert server.count_most_in_window(returned_at) <= MAX_REQUESTS


def test_limit_holds_while_the_preset_switches_admission_off_and_on():
    server = Server(calls_per_s=50)
    limited_at = server.run_limited()
    preset = test_host_routes.PRESET
    for epoch, limits in ((2, False), (3, True)):
        policy = model.AdmissionPolicy(limits=limits)
        switched = msgspec.structs.replace(preset, admission=policy)
        server.handle(messages.PresetInForce(epoch=epoch, preset=switched))
        server.run(2 * WINDOW_S)
    most = server.count_most_in_window(limited_at + SETTLE_S)
    assert most <= MAX_REQUESTS


def test_server_that_names_zero_is_still_tried_now_and_then():
    server = Server(calls_per_s=50)
    limited_at = server.run_limited(rate_limit=0.0, duration_s=20.0)
    started = [time for time in server.started_at if time > limited_at]
    assert 2 <= len(started) <= 5


# Guards against calls that wait for a start at a server that accepts few, while
# other servers have room.
@pytest.mark.parametrize("rate_limit", [0.0, 1.0, 5.0, LIMIT])
def test_call_does_not_wait_long_for_a_limited_server(rate_limit):
    server = Server(calls_per_s=50)
    limited_at = server.run_limited(rate_limit=rate_limit, duration_s=20.0)
    assert max(server.refusal_waits_s) <= 0.25
    started = sum(time > limited_at for time in server.started_at)
    assert started >= 0.9 * rate_limit * 20.0


# Guards against a limit that a stop of the server, a restart or a freeze of the
# node, or a switch of the preset lets go, also in close succession.
@pytest.mark.parametrize("seed", range(40))
def test_limit_holds_through_random_faults(seed):
    rng = random.Random(seed)
    rate_limit = rng.choice((3.0, LIMIT, 100.0))
    server = Server(calls_per_s=rng.choice((25, 100, 400)))
    limited_at = server.run_limited(rate_limit=rate_limit)
    preset = test_host_routes.PRESET
    for epoch in range(2, 12):
        match rng.randrange(5):
            case 0:
                server.handle(messages.ServerStopped())
                server.run(rng.uniform(0.0, 0.5))
                server.handle(ANNOUNCED)
            case 1:
                server.handle(messages.ServerUnresponsive())
                server.handle(ANNOUNCED)
            case 2:
                policy = model.AdmissionPolicy(limits=rng.random() < 0.5)
                server.handle(
                    messages.PresetInForce(
                        epoch=epoch,
                        preset=msgspec.structs.replace(
                            preset, admission=policy
                        ),
                    )
                )
            case 3:
                server.restart_node()
            case 4:
                server.freeze(rng.uniform(0.5, 6.0))
        server.run(rng.uniform(0.5, 3.0))
    most = server.count_most_in_window(limited_at + SETTLE_S)
    assert most <= 1.5 * rate_limit * WINDOW_S + 5
