"""The events of the study: callers, nodes and servers of one chain."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from bergamotdeal.admission import controller
from bergamotdeal.admission import core
from bergamotdeal.admission import feedback
from bergamotdeal.admission import hashing
from bergamotdeal.presets import model as presets
from standins.study import model

_PREFIX = "/"
_ERLANG_STAGES = 4
_CLASSES = (presets.CRITICAL, presets.BROWSE)
_CONNECTIONS_PER_SLOT = 8
_COLD_FACTOR = 4.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Usage:
    """Time that calls took from servers.

    Attributes:
      work_s: Own work, seconds.
      held_s: Time for which slots were held, seconds.
    """

    work_s: float = 0.0
    held_s: float = 0.0

    def take(self, other: "Usage") -> None:
        """Adds another's times and sets them to zero there."""
        self.work_s += other.work_s
        self.held_s += other.held_s
        other.work_s = 0.0
        other.held_s = 0.0


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Call:
    user: model.UserRequest
    deadline: float
    answer: Callable[[bool, float], None]
    depth: int
    tries_left: int
    usage: Usage = dataclasses.field(default_factory=Usage)
    started: float = 0.0
    own_work_s: float = 0.0
    threshold: float = 1.0
    child: "_Call | None" = None
    node: "Node | None" = None
    job_id: int = 0
    working: bool = False
    closed: bool = False


class Clock:
    """The event queue."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()

    def at(self, time: float, action: Callable, *args) -> None:
        """Plans an action."""
        entry = (max(time, self.now), next(self._numbers), action, args)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Carries out all actions up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)


class Node:
    """A node with its backend server, at one level of the chain."""

    def __init__(self, *, chain: "Chain", depth: int, name: str):
        scenario = chain.scenario
        self._chain = chain
        self._clock = chain.clock
        self._depth = depth
        self.name = name
        self._level = scenario.levels[depth]
        self.controller = controller.AdmissionController(
            policy=scenario.policy,
            service_policy=presets.ServicePolicy(
                accepts_cancellation=scenario.cancels, cold_start_ms=1000
            ),
            class_count=len(_CLASSES),
            slots=self._level.slots,
            now=0.0,
        )
        self.in_flight = 0
        self._calls_by_job: dict[int, _Call] = {}
        self._job_ids = itertools.count(1)
        self._busy = 0
        self._backlog: list[_Call] = []
        self._wakeup: float | None = None

    def arrive(self, call: _Call) -> None:
        """Takes a call from another node."""
        if call.closed:
            return
        call.node = self
        call.job_id = next(self._job_ids)
        share = self._chain.share(call)
        rank = 0 if call.user.critical else 1
        self._calls_by_job[call.job_id] = call
        job = core.Job(
            job_id=call.job_id,
            class_rank=rank,
            hash_share=share,
            deadline=call.deadline,
            arrived=self._clock.now,
        )
        self._apply(self.controller.submit(job, self._clock.now))

    def cancel(self, call: _Call) -> None:
        """Stops a call whose caller no longer waits."""
        if call.closed:
            return
        call.closed = True
        self._stop(call)
        decisions = self.controller.cancel_job(call.job_id, self._clock.now)
        self._apply(decisions)

    def _threshold(self, call: _Call) -> float:
        own = self.controller.threshold(0 if call.user.critical else 1)
        return min(own, call.threshold)

    def _apply(self, decisions: list[core.Decision]) -> None:
        for decision in decisions:
            call = self._calls_by_job.get(decision.job_id)
            if call is None:
                continue
            match decision:
                case core.Start():
                    self._start(call)
                case core.Refuse():
                    self._reply(call, succeeded=False)
                case core.Preempt():
                    self._stop(call)
                    self._reply(call, succeeded=False)
        self._plan_wakeup()

    def _plan_wakeup(self) -> None:
        due = self.controller.next_wakeup()
        if due is None:
            return
        due = max(due, self._clock.now + 1e-4)
        if self._wakeup is not None and self._wakeup <= due:
            return
        self._wakeup = due
        self._clock.at(due, self._wake, due)

    def _wake(self, due: float) -> None:
        if self._wakeup == due:
            self._wakeup = None
            self._apply(self.controller.advance(self._clock.now))

    def _start(self, call: _Call) -> None:
        if self._busy < self._level.slots:
            self._work(call)
        elif len(self._backlog) < self._level.slots * _CONNECTIONS_PER_SLOT:
            self._backlog.append(call)
        else:
            self._end(call, succeeded=False)

    def _work(self, call: _Call) -> None:
        self._busy += 1
        call.working = True
        call.started = self._clock.now
        call.own_work_s = self._chain.duration(self._depth, self._busy)
        self._clock.at(self._clock.now + call.own_work_s, self._worked, call)

    def _worked(self, call: _Call) -> None:
        if not call.working:
            return
        if self._depth + 1 == len(self._chain.scenario.levels):
            self._end(call, succeeded=True)
            return
        self._call_child(call)

    def _call_child(self, call: _Call) -> None:
        child = _Call(
            user=call.user,
            deadline=call.deadline,
            answer=lambda succeeded, threshold: self._answered(
                call, succeeded, threshold
            ),
            depth=self._depth + 1,
            tries_left=self._chain.scenario.tries,
        )
        call.child = child
        self._chain.send(child)

    def _answered(self, call: _Call, succeeded: bool, threshold: float) -> None:
        call.threshold = min(call.threshold, threshold)
        if not call.working:
            return
        if succeeded:
            call.usage.take(call.child.usage)
            self._end(call, succeeded=True)
            return
        child = call.child
        self._chain.wasted.take(child.usage)
        if child.tries_left > 1 and self._clock.now < call.deadline:
            tries_left = child.tries_left - 1
            self._call_child(call)
            call.child.tries_left = tries_left
            return
        self._end(call, succeeded=False)

    def _end(self, call: _Call, *, succeeded: bool) -> None:
        self._release(call)
        now = self._clock.now
        decisions = self.controller.release_slot(
            call.job_id, now, completed=succeeded
        )
        self._reply(call, succeeded=succeeded)
        self._apply(decisions)

    def _stop(self, call: _Call) -> None:
        """Frees the server of a call and cancels what it waits for."""
        if call in self._backlog:
            self._backlog.remove(call)
        was_working = call.working
        self._release(call)
        if was_working and call.child is not None:
            self._chain.cancel(call.child)
        self._chain.wasted.take(call.usage)

    def _release(self, call: _Call) -> None:
        if not call.working:
            return
        call.working = False
        held_s = self._clock.now - call.started
        call.usage.held_s += held_s
        call.usage.work_s += min(held_s, call.own_work_s)
        self._busy -= 1
        if self._backlog:
            self._work(self._backlog.pop(0))

    def _reply(self, call: _Call, *, succeeded: bool) -> None:
        self._calls_by_job.pop(call.job_id, None)
        if call.closed:
            self._chain.wasted.take(call.usage)
            return
        call.closed = True
        threshold = self._threshold(call)
        delay = self._chain.scenario.link_s
        self._clock.at(
            self._clock.now + delay, call.answer, succeeded, threshold
        )


class Chain:
    """The whole study: callers, entries and a chain of services."""

    def __init__(self, scenario: model.Scenario):
        self.scenario = scenario
        self.clock = Clock()
        self.users: list[model.UserRequest] = []
        self.wasted = Usage()
        self.useful = Usage()
        self._rng = random.Random(scenario.seed)
        self._nodes_by_depth = [
            [
                Node(chain=self, depth=depth, name=f"{depth}-{number}")
                for number in range(scenario.servers)
            ]
            for depth in range(len(scenario.levels))
        ]
        self.entries = [
            feedback.ThresholdTable(policy=scenario.policy)
            for _ in range(scenario.entries)
        ]

    def run(self) -> None:
        """Runs the scenario to its end."""
        scenario = self.scenario
        end = scenario.trigger_end() + scenario.after_s
        self.clock.at(0.0, self._next_user)
        self.clock.at(scenario.warm_s, self._forget_usage)
        self.clock.run(end + scenario.deadline_s * (scenario.resends + 1))

    def in_trigger(self) -> bool:
        """Tells whether the trigger acts now."""
        scenario = self.scenario
        return scenario.calm_s <= self.clock.now < scenario.trigger_end()

    def duration(self, depth: int, busy: int) -> float:
        """Draws the own work of a request, seconds.

        Args:
          depth: Level of its service.
          busy: Requests that the server runs, this one included.
        """
        scenario = self.scenario
        mean = scenario.levels[depth].service_s
        if self.clock.now < scenario.cold_s:
            mean *= 1.0 + _COLD_FACTOR * (
                1.0 - self.clock.now / scenario.cold_s
            )
        if depth + 1 == len(scenario.levels):
            if self.in_trigger():
                mean *= scenario.slowdown
            if scenario.knee is not None:
                mean *= max(1.0, busy / scenario.knee) ** 2
        return self._rng.gammavariate(_ERLANG_STAGES, mean / _ERLANG_STAGES)

    def share(self, call: _Call) -> float:
        """Returns a call's place in the shedding order at one node."""
        if self.scenario.policy.consistent_hash:
            return call.user.share
        return self._rng.random()

    def send(self, call: _Call) -> None:
        """Sends a call to a server of its service."""
        nodes = self._nodes_by_depth[call.depth]
        one = self._rng.choice(nodes)
        other = self._rng.choice(nodes)
        node = min(one, other, key=lambda each: each.controller.load().running)
        self.clock.at(self.clock.now + self.scenario.link_s, node.arrive, call)

    def cancel(self, call: _Call) -> None:
        """Cancels a call, when the scenario carries cancellation."""
        if not self.scenario.cancels:
            return
        if call.node is None:
            call.closed = True
            return
        call.node.cancel(call)

    def _forget_usage(self) -> None:
        self.wasted = Usage()
        self.useful = Usage()

    def _next_user(self) -> None:
        now = self.clock.now
        scenario = self.scenario
        if now >= scenario.trigger_end() + scenario.after_s:
            return
        number = len(self.users)
        user = model.UserRequest(
            number=number,
            share=hashing.hash_share(f"{scenario.seed}-{number}"),
            critical=self._rng.random() < scenario.critical_share,
            arrived=now,
        )
        self.users.append(user)
        self._send_user(user)
        rate = scenario.demand
        if self.in_trigger():
            rate *= scenario.surge
        self.clock.at(now + self._rng.expovariate(rate), self._next_user)

    def _send_user(self, user: model.UserRequest) -> None:
        now = self.clock.now
        user.sendings += 1
        entry = self._rng.choice(self.entries)
        call = _Call(
            user=user,
            deadline=now + self.scenario.deadline_s,
            answer=lambda succeeded, threshold: self._user_answered(
                call, entry, succeeded, threshold
            ),
            depth=0,
            tries_left=1,
        )
        name = _class(call)
        admits = entry.admits("0", _PREFIX, name, self.share(call), now)
        if not admits:
            call.closed = True
            self._resend(user)
            return
        self.send(call)
        self.clock.at(call.deadline, self._expire, call, user.sendings)

    def _user_answered(
        self,
        call: _Call,
        entry: feedback.ThresholdTable,
        succeeded: bool,
        threshold: float,
    ) -> None:
        user = call.user
        entry.observe("0", _PREFIX, _class(call), threshold, self.clock.now)
        late = self.clock.now > call.deadline or user.completed is not None
        if succeeded and not late:
            user.completed = self.clock.now
            self.useful.take(call.usage)
            return
        self.wasted.take(call.usage)
        if not late:
            self._resend(user)

    def _expire(self, call: _Call, sending: int) -> None:
        user = call.user
        if user.completed is not None or user.sendings != sending:
            return
        if call.closed:
            return
        self.cancel(call)
        self._resend(user)

    def _resend(self, user: model.UserRequest) -> None:
        if user.sendings > self.scenario.resends:
            return
        wait = self.scenario.resend_wait_s * self._rng.uniform(0.5, 1.5)
        self.clock.at(self.clock.now + wait, self._send_user, user)


def _class(call: _Call) -> str:
    return _CLASSES[0] if call.user.critical else _CLASSES[1]
