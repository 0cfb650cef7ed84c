"""Discrete-event simulation of callers, nodes and servers of one chain."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from bergamotdeal.admission import controller
from bergamotdeal.admission import core
from bergamotdeal.admission import feedback
from bergamotdeal.presets import model as presets
from bergamotdeal.utils import hashing
from standins.study import model

_PREFIX = "/"
_ERLANG_STAGES = 4
_CLASSES = (presets.CRITICAL, presets.BROWSE)
_CONNECTIONS_PER_SLOT = 8
_COLD_START_FACTOR = 4.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Usage:
    """Server time that calls consumed.

    Attributes:
      work_s: Service time without waits for downstream calls, in seconds.
      held_s: Time for which slots were held, in seconds.
    """

    work_s: float = 0.0
    held_s: float = 0.0

    def transfer_from(self, other: "Usage") -> None:
        """Moves the times of another record into this one."""
        self.work_s += other.work_s
        self.held_s += other.held_s
        other.work_s = 0.0
        other.held_s = 0.0


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Call:
    """One attempt of a call to one tier of the chain.

    Attributes:
      user_request: User request that caused the call.
      deadline: Time by which the caller needs the answer, in seconds.
      answer: Callback for the reply; takes whether the call succeeded and the
        callee's admission threshold.
      depth: Index of the tier.
      attempts_left: Remaining attempts of the caller, this one included.
      usage: Server time consumed by this call and its successful child.
      started_at: Time at which the server began, in seconds.
      own_work_s: Service time without the child, in seconds.
      threshold: Lowest admission threshold reported by the child.
      child: Latest call to the next tier.
      node: Node that received the call.
      job_id: Id of the call in the node's admission controller.
      is_running: Whether the call holds a worker of the server.
      closed: Whether the call was answered, cancelled or never sent.
    """

    user_request: model.UserRequest
    deadline: float
    answer: Callable[[bool, float], None]
    depth: int
    attempts_left: int
    usage: Usage = dataclasses.field(default_factory=Usage)
    started_at: float = 0.0
    own_work_s: float = 0.0
    threshold: float = 1.0
    child: "_Call | None" = None
    node: "Node | None" = None
    job_id: int = 0
    is_running: bool = False
    closed: bool = False


class SimulatedClock:
    """Simulated clock that runs scheduled actions in the order of time.

    Attributes:
      now: Current time, in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._sequence_numbers = itertools.count()

    def at(self, time: float, action: Callable, *args) -> None:
        """Schedules an action.

        Args:
          time: Time of the action in seconds; a past time means now.
          action: Function to call.
          *args: Its arguments.
        """
        entry = (
            max(time, self.now),
            next(self._sequence_numbers),
            action,
            args,
        )
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Runs all actions that are due up to a time.

        Args:
          until: Time of the last actions, in seconds.
        """
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)


class Node:
    """Node with its backend server in one tier of the chain.

    Args:
      chain: Simulation that the node belongs to.
      depth: Index of the tier.
      name: Name of the node.
    """

    def __init__(self, *, chain: "ChainSimulation", depth: int, name: str):
        scenario = chain.scenario
        self._chain = chain
        self._clock = chain.clock
        self._depth = depth
        self.name = name
        self._tier = scenario.tiers[depth]
        self.controller = controller.AdmissionController(
            policy=scenario.policy,
            service_policy=presets.ServicePolicy(
                accepts_cancellation=scenario.propagates_cancellation,
                cold_start_ms=1000,
            ),
            class_count=len(_CLASSES),
            slots=self._tier.slots,
            now=0.0,
        )
        self.in_flight = 0
        self._calls_by_job: dict[int, _Call] = {}
        self._job_ids = itertools.count(1)
        self._busy_count = 0
        self._backlog: list[_Call] = []
        self._wakeup: float | None = None

    def receive(self, call: _Call) -> None:
        """Submits a call from another node to the admission controller."""
        if call.closed:
            return
        call.node = self
        call.job_id = next(self._job_ids)
        share = self._chain.share(call)
        rank = 0 if call.user_request.is_critical else 1
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
        """Cancels a call whose caller no longer waits for the answer."""
        if call.closed:
            return
        call.closed = True
        self._abort(call)
        decisions = self.controller.cancel_job(call.job_id, self._clock.now)
        self._apply(decisions)

    def _compute_threshold(self, call: _Call) -> float:
        own_threshold = self.controller.threshold(
            0 if call.user_request.is_critical else 1
        )
        return min(own_threshold, call.threshold)

    def _apply(self, decisions: list[core.Decision]) -> None:
        for decision in decisions:
            call = self._calls_by_job.get(decision.job_id)
            if call is None:
                continue
            match decision:
                case core.Start():
                    self._dispatch(call)
                case core.Refuse():
                    self._reply(call, succeeded=False)
                case core.Preempt():
                    self._abort(call)
                    self._reply(call, succeeded=False)
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
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

    def _dispatch(self, call: _Call) -> None:
        if self._busy_count < self._tier.slots:
            self._run(call)
        elif len(self._backlog) < self._tier.slots * _CONNECTIONS_PER_SLOT:
            self._backlog.append(call)
        else:
            self._finish(call, succeeded=False)

    def _run(self, call: _Call) -> None:
        self._busy_count += 1
        call.is_running = True
        call.started_at = self._clock.now
        call.own_work_s = self._chain.draw_service_time_s(
            self._depth, self._busy_count
        )
        self._clock.at(
            self._clock.now + call.own_work_s, self._finish_own_work, call
        )

    def _finish_own_work(self, call: _Call) -> None:
        if not call.is_running:
            return
        if self._depth + 1 == len(self._chain.scenario.tiers):
            self._finish(call, succeeded=True)
            return
        self._call_next_tier(call)

    def _call_next_tier(self, call: _Call) -> None:
        child = _Call(
            user_request=call.user_request,
            deadline=call.deadline,
            answer=lambda succeeded, threshold: self._handle_child_reply(
                call, succeeded, threshold
            ),
            depth=self._depth + 1,
            attempts_left=self._chain.scenario.max_attempts,
        )
        call.child = child
        self._chain.send_call(child)

    def _handle_child_reply(
        self, call: _Call, succeeded: bool, threshold: float
    ) -> None:
        call.threshold = min(call.threshold, threshold)
        if not call.is_running:
            return
        if succeeded:
            call.usage.transfer_from(call.child.usage)
            self._finish(call, succeeded=True)
            return
        child = call.child
        self._chain.wasted_usage.transfer_from(child.usage)
        if child.attempts_left > 1 and self._clock.now < call.deadline:
            attempts_left = child.attempts_left - 1
            self._call_next_tier(call)
            call.child.attempts_left = attempts_left
            return
        self._finish(call, succeeded=False)

    def _finish(self, call: _Call, *, succeeded: bool) -> None:
        self._free_worker(call)
        now = self._clock.now
        decisions = self.controller.release_slot(
            call.job_id, now, completed=succeeded
        )
        self._reply(call, succeeded=succeeded)
        self._apply(decisions)

    def _abort(self, call: _Call) -> None:
        """Frees the worker of a call and cancels its downstream call."""
        if call in self._backlog:
            self._backlog.remove(call)
        was_running = call.is_running
        self._free_worker(call)
        if was_running and call.child is not None:
            self._chain.cancel(call.child)
        self._chain.wasted_usage.transfer_from(call.usage)

    def _free_worker(self, call: _Call) -> None:
        if not call.is_running:
            return
        call.is_running = False
        held_s = self._clock.now - call.started_at
        call.usage.held_s += held_s
        call.usage.work_s += min(held_s, call.own_work_s)
        self._busy_count -= 1
        if self._backlog:
            self._run(self._backlog.pop(0))

    def _reply(self, call: _Call, *, succeeded: bool) -> None:
        self._calls_by_job.pop(call.job_id, None)
        if call.closed:
            self._chain.wasted_usage.transfer_from(call.usage)
            return
        call.closed = True
        threshold = self._compute_threshold(call)
        delay_s = self._chain.scenario.link_delay_s
        self._clock.at(
            self._clock.now + delay_s, call.answer, succeeded, threshold
        )


class ChainSimulation:
    """Simulation of callers, entry nodes and a chain of services.

    Args:
      scenario: Scenario to simulate.

    Attributes:
      user_requests: User requests in the order of arrival.
      wasted_usage: Server time of calls whose answers were of no use.
      useful_usage: Server time of user requests that completed.
      entries: Admission thresholds known to each entry node.
    """

    def __init__(self, scenario: model.Scenario):
        self.scenario = scenario
        self.clock = SimulatedClock()
        self.user_requests: list[model.UserRequest] = []
        self.wasted_usage = Usage()
        self.useful_usage = Usage()
        self._rng = random.Random(scenario.seed)
        self._nodes_by_depth = [
            [
                Node(chain=self, depth=depth, name=f"{depth}-{number}")
                for number in range(scenario.servers_per_tier)
            ]
            for depth in range(len(scenario.tiers))
        ]
        self.entries = [
            feedback.ThresholdTable(policy=scenario.policy)
            for _ in range(scenario.entries)
        ]

    def run(self) -> None:
        """Runs the scenario to its end."""
        scenario = self.scenario
        end = scenario.trigger_end_s() + scenario.after_s
        self.clock.at(0.0, self._generate_request)
        self.clock.at(scenario.warm_up_s, self._reset_usage)
        self.clock.run(end + scenario.deadline_s * (scenario.max_retries + 1))

    def is_trigger_active(self) -> bool:
        """Returns whether the trigger is active now."""
        scenario = self.scenario
        return scenario.steady_s <= self.clock.now < scenario.trigger_end_s()

    def draw_service_time_s(self, depth: int, busy: int) -> float:
        """Draws the service time of a request, in seconds.

        Args:
          depth: Index of the tier.
          busy: Number of requests that the server runs, this one included.
        """
        scenario = self.scenario
        mean_s = scenario.tiers[depth].service_s
        if self.clock.now < scenario.cold_start_s:
            mean_s *= 1.0 + _COLD_START_FACTOR * (
                1.0 - self.clock.now / scenario.cold_start_s
            )
        if depth + 1 == len(scenario.tiers):
            if self.is_trigger_active():
                mean_s *= scenario.slowdown_factor
            if scenario.knee_concurrency is not None:
                mean_s *= max(1.0, busy / scenario.knee_concurrency) ** 2
        return self._rng.gammavariate(_ERLANG_STAGES, mean_s / _ERLANG_STAGES)

    def share(self, call: _Call) -> float:
        """Returns a call's place in the shedding order at one node.

        With consistent hashing the place is the same at all nodes, else it is
        drawn anew at each.
        """
        if self.scenario.policy.consistent_hash:
            return call.user_request.share
        return self._rng.random()

    def send_call(self, call: _Call) -> None:
        """Sends a call to the less loaded of two random servers of its tier."""
        nodes = self._nodes_by_depth[call.depth]
        first = self._rng.choice(nodes)
        second = self._rng.choice(nodes)
        node = min(
            first,
            second,
            key=lambda candidate: candidate.controller.load().running,
        )
        self.clock.at(
            self.clock.now + self.scenario.link_delay_s, node.receive, call
        )

    def cancel(self, call: _Call) -> None:
        """Cancels a call if the scenario propagates cancellation."""
        if not self.scenario.propagates_cancellation:
            return
        if call.node is None:
            call.closed = True
            return
        call.node.cancel(call)

    def _reset_usage(self) -> None:
        self.wasted_usage = Usage()
        self.useful_usage = Usage()

    def _generate_request(self) -> None:
        now = self.clock.now
        scenario = self.scenario
        if now >= scenario.trigger_end_s() + scenario.after_s:
            return
        number = len(self.user_requests)
        user = model.UserRequest(
            number=number,
            share=hashing.hash_share(f"{scenario.seed}-{number}"),
            is_critical=self._rng.random() < scenario.critical_share,
            arrived_at=now,
        )
        self.user_requests.append(user)
        self._send_attempt(user)
        rate = scenario.arrival_rate_per_s
        if self.is_trigger_active():
            rate *= scenario.surge_factor
        self.clock.at(now + self._rng.expovariate(rate), self._generate_request)

    def _send_attempt(self, user: model.UserRequest) -> None:
        now = self.clock.now
        user.sendings += 1
        entry = self._rng.choice(self.entries)
        call = _Call(
            user_request=user,
            deadline=now + self.scenario.deadline_s,
            answer=lambda succeeded, threshold: self._handle_reply(
                call, entry, succeeded, threshold
            ),
            depth=0,
            attempts_left=1,
        )
        name = _class_name(call)
        admits = entry.admits("0", _PREFIX, name, self.share(call), now)
        if not admits:
            call.closed = True
            self._schedule_retry(user)
            return
        self.send_call(call)
        self.clock.at(call.deadline, self._expire_attempt, call, user.sendings)

    def _handle_reply(
        self,
        call: _Call,
        entry: feedback.ThresholdTable,
        succeeded: bool,
        threshold: float,
    ) -> None:
        user = call.user_request
        entry.observe(
            "0", _PREFIX, _class_name(call), threshold, self.clock.now
        )
        is_late = self.clock.now > call.deadline or user.completed is not None
        if succeeded and not is_late:
            user.completed = self.clock.now
            self.useful_usage.transfer_from(call.usage)
            return
        self.wasted_usage.transfer_from(call.usage)
        if not is_late:
            self._schedule_retry(user)

    def _expire_attempt(self, call: _Call, attempt: int) -> None:
        user = call.user_request
        if user.completed is not None or user.sendings != attempt:
            return
        if call.closed:
            return
        self.cancel(call)
        self._schedule_retry(user)

    def _schedule_retry(self, user: model.UserRequest) -> None:
        if user.sendings > self.scenario.max_retries:
            return
        backoff_s = self.scenario.mean_backoff_s * self._rng.uniform(0.5, 1.5)
        self.clock.at(self.clock.now + backoff_s, self._send_attempt, user)


def _class_name(call: _Call) -> str:
    return _CLASSES[0] if call.user_request.is_critical else _CLASSES[1]
