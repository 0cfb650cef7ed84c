"""A simulated fleet whose servers and callers write the ledger.

The fleet is a chain of services behind two entry hosts. Hooks run when a given
request reaches a given step at a service and can inject a fault there.
"""

from collections.abc import Callable
import dataclasses
import enum

from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from standins import fleet as fleets
from standins import fleet_link
from standins import fleet_model
from standins import ledger

ENTRIES = ("gate-0", "gate-1")
DATA_CENTRES = ("odori", "kotoni")
SERVICES = ("front", "middle", "deep")
SLOTS = 4
SERVICE_S = 0.02
BODY_BYTES = 50
SHED_STATUS = 503
_SHED_S = 0.001
_QUEUE_CHECK_DELAY_S = 2 * fleet_link.LATENCY_S

BROWSE_PATH = "/kits"
BOOK_PATH = "/book"
MIXED_PATH = "/mixed"


class Step(enum.Enum):
    """Processing step of a call at its target."""

    BEFORE_ADMISSION = "before admission"
    QUEUED = "queued"
    HANDED_OVER = "handed over"
    RUNNING = "running"
    ANSWERING = "answering"
    ANSWER_IN_FLIGHT = "answer in flight"


class FaultLocation(enum.Enum):
    """Host on the path of a request at which a fault is injected."""

    TARGET = "target"
    PARENT = "parent"
    ENTRY = "entry"


InjectFault = Callable[[str], None]
"""Injects a fault at the host whose id it is given."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Hook:
    """A fault to inject when a request reaches a step at a service."""

    step: Step
    key: str
    service: str
    inject: InjectFault


def make_preset(
    name: str = "ordinary",
    *,
    services: tuple[str, ...] = SERVICES,
    **options,
) -> model.Preset:
    """Builds a preset for the chain of services.

    Args:
      name: Name of the preset.
      services: Services of the chain.
      **options: Other fields of the preset.
    """
    routes = []
    for service in services:
        routes.append(
            model.Route(
                service=service,
                method="GET",
                prefix="/",
                class_name=model.BROWSE,
                repeatable=True,
                deadline_ms=2000,
            )
        )
        routes.append(
            model.Route(
                service=service, method="POST", prefix="/", deadline_ms=2000
            )
        )
    policy = model.ServicePolicy(shed_status=SHED_STATUS)
    return model.Preset(
        name=name,
        routes=tuple(routes),
        services_by_name=dict.fromkeys(services, policy),
        **options,
    )


class CheckedFleet:
    """A simulated chain of services with a ledger and fault injection hooks.

    Args:
      seed: Seed of every random choice.
      preset: Preset in force at the start.
      services: Names of the services; each calls the next.
      hosts_per_service: Number of hosts of each service.

    Attributes:
      entries: Ledger entries in the order in which they were recorded.
      fleet: Simulated fleet of call engines.
      rng: Source of every random choice.
      now: Time in monotonic seconds.
      slow_by_service: Multiplier of the service time, by service.
      shed_share: Fraction of requests that servers reject without a run.
      crashing: Keys and effects of requests that crash the server that runs
        them.
      silenced_host_pairs: Pairs of hosts whose open links drop all frames.
      reached_steps: Steps whose hook has run, with the host.
      on_crash: Called with the host whose server crashes on a request.
    """

    def __init__(
        self,
        *,
        seed: int,
        preset: model.Preset | None = None,
        services: tuple[str, ...] = SERVICES,
        hosts_per_service: int = 2,
    ):
        self.entries: list[ledger.Entry] = []
        self.slow_by_service: dict[str, float] = {}
        self.crashing: set[str] = set()
        self.shed_share = 0.0
        self.silenced_host_pairs: set[frozenset[str]] = set()
        self.reached_steps: list[tuple[Step, str]] = []
        self.on_crash: InjectFault = _ignore
        self._services = services
        self._hooks: list[_Hook] = []
        self._queue_checks: set[str] = set()
        self._started_keys: set[tuple[str, str]] = set()
        self.fleet = fleets.Fleet(
            preset=preset or make_preset(), seed=seed, deliver=self._deliver
        )
        self.rng = self.fleet.rng
        for number, host_id in enumerate(ENTRIES):
            self.fleet.add_node(host_id, data_centre=DATA_CENTRES[number])
            self.record_host_up(host_id)
        for service in services:
            for number in range(hosts_per_service):
                self.add_host(service, number)

    @property
    def now(self) -> float:
        """Time in monotonic seconds."""
        return self.fleet.now

    def add_host(self, service: str, number: int) -> str:
        """Adds a host with a server of a service and returns its id."""
        host_id = f"{service}-{number}"
        self.fleet.add_node(
            host_id,
            service=service,
            slots=SLOTS,
            program=lambda start: self._start_program(host_id, service, start),
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        )
        self.record_host_up(host_id)
        return host_id

    def service_of(self, host_id: str) -> str:
        """Returns the service of a host's server, or an empty string."""
        server = self.fleet.nodes_by_id[host_id].member.server
        return server.service if server else ""

    def host_at(self, place: FaultLocation, key: str, target: str) -> str:
        """Returns the host at a location on the path of a user request.

        Args:
          place: Location on the path.
          key: Key of the user request.
          target: Host that the request has reached.
        """
        match place:
            case FaultLocation.TARGET:
                return target
            case FaultLocation.PARENT:
                parent = self._services[-2]
                return self._find_last_sender(key, self._services[-1], parent)
            case FaultLocation.ENTRY:
                return self._find_last_sender(key, self._services[0], "")

    def _find_last_sender(
        self, key: str, service: str, own_service: str
    ) -> str:
        """Returns the host that last sent a user request to a service."""
        for host_id, _, call in reversed(self.fleet.calls_sent):
            if call.user_request_id != key:
                continue
            is_to = call.request.service == service
            if is_to and self.service_of(host_id) == own_service:
                return host_id
        raise LookupError(f"{key} was not sent to {service}")

    def is_up(self, host_id: str) -> bool:
        """Returns whether a host's node runs."""
        return self.fleet.nodes_by_id[host_id].engine is not None

    def run_for(self, seconds: float) -> None:
        """Advances the simulated time."""
        self.fleet.run_for(seconds)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action on the simulated clock."""
        self.fleet.after(delay_s, action)

    def record_host_up(self, host_id: str, *, fresh: bool = False) -> None:
        """Records that a host's node runs and is reachable.

        Args:
          host_id: Host of the node.
          fresh: Whether the node restarted without its earlier state.
        """
        self.entries.append(
            ledger.HostUp(at=self.now, host_id=host_id, fresh=fresh)
        )

    def record_host_down(self, host_id: str) -> None:
        """Records that a fault makes a host unavailable."""
        self.entries.append(ledger.HostDown(at=self.now, host_id=host_id))

    # --- Hooks -------------------------------------------------------------

    def on_step(
        self,
        step: Step,
        key: str,
        inject: InjectFault,
        *,
        service: str = "deep",
    ) -> None:
        """Injects a fault when a user request first reaches a step.

        Args:
          step: Step that the request has to reach.
          key: Key of the user request.
          inject: Fault to inject, given the host at which the step is reached.
          service: Service at which the step has to be reached.
        """
        hook = _Hook(step=step, key=key, service=service, inject=inject)
        self._hooks.append(hook)

    def _run_hooks(
        self, step: Step, key: str, service: str, host_id: str
    ) -> None:
        for hook in list(self._hooks):
            if (hook.step, hook.key, hook.service) != (step, key, service):
                continue
            self._hooks.remove(hook)
            self.reached_steps.append((step, host_id))
            self.after(0.0, lambda hook=hook: hook.inject(host_id))

    def _deliver(self, frame: fleet_link.Frame) -> list[float]:
        content = frame.content
        match content:
            case rpc.Call():
                self._record_call(frame, content)
            case messages.SendAnswer():
                self._record_answer(frame, content)
        if frozenset({frame.source, frame.target}) in self.silenced_host_pairs:
            return []
        return [fleet_link.LATENCY_S]

    def _record_call(self, frame: fleet_link.Frame, call: rpc.Call) -> None:
        self._record_epoch(frame.source, call.epoch)
        self.entries.append(
            ledger.Dispatched(
                at=self.now,
                label=decode_label(call.request),
                has_ticket=bool(call.ticket),
                host_id=frame.target,
            )
        )
        key = call.user_request_id
        service = call.request.service
        self._run_hooks(Step.BEFORE_ADMISSION, key, service, frame.target)
        if any(hook.step is Step.QUEUED for hook in self._hooks):
            self.after(
                _QUEUE_CHECK_DELAY_S,
                lambda: self._check_queued(key, service, frame.target),
            )

    def _check_queued(self, key: str, service: str, host_id: str) -> None:
        node = self.fleet.nodes_by_id[host_id]
        if (key, host_id) in self._started_keys or node.engine is None:
            return
        if not node.engine.is_idle():
            self._run_hooks(Step.QUEUED, key, service, host_id)

    def _record_answer(
        self, frame: fleet_link.Frame, effect: messages.SendAnswer
    ) -> None:
        self._record_epoch(frame.source, effect.answer.epoch)
        if effect.answer.outcome is errors.Outcome.COMPLETED:
            self._run_hooks(
                Step.ANSWER_IN_FLIGHT,
                effect.user_request_id,
                self.service_of(frame.source),
                frame.source,
            )

    def _record_epoch(self, host_id: str, epoch: int) -> None:
        self.entries.append(
            ledger.PresetSeen(
                at=self.now,
                host_id=host_id,
                epoch=epoch,
                preset_name=f"epoch-{epoch}",
            )
        )

    # --- Servers -----------------------------------------------------------

    def _start_program(
        self, host_id: str, service: str, start: messages.StartRun
    ):
        label = decode_label(start.request)
        key = label.root.partition("#")[0]
        self._started_keys.add((key, host_id))
        self._run_hooks(Step.HANDED_OVER, key, service, host_id)
        return self._program(host_id, service, start, label)

    def _program(
        self,
        host_id: str,
        service: str,
        start: messages.StartRun,
        label: ledger.Label,
    ):
        key = label.root.partition("#")[0]
        if self.rng.random() < self.shed_share:
            yield fleet_model.Work(seconds=_SHED_S)
            return fleet_model.Response(status=SHED_STATUS)
        run_id = self._record_run_started(host_id, start, label)
        if label.effect in self.crashing or key in self.crashing:
            self.after(0.001, lambda: self.on_crash(host_id))
        work_s = SERVICE_S * self.slow_by_service.get(service, 1.0)
        yield fleet_model.Work(seconds=work_s / 2)
        self._run_hooks(Step.RUNNING, key, service, host_id)
        yield fleet_model.Work(seconds=work_s / 2)
        status = 200
        child_service = self._next_service(service)
        if child_service:
            status = yield from self._call_child(
                start, label, run_id, child_service
            )
        self.entries.append(
            ledger.RunEnded(at=self.now, run_id=run_id, completed=True)
        )
        self._run_hooks(Step.ANSWERING, key, service, host_id)
        return fleet_model.Response(
            status=status, body=ledger.make_body(label.key, size=BODY_BYTES)
        )

    def _record_run_started(
        self, host_id: str, start: messages.StartRun, label: ledger.Label
    ) -> str:
        node = self.fleet.nodes_by_id[host_id]
        # A shortened incarnation can be that of another life of the node.
        run_id = (
            f"{host_id}.{node.member.incarnation}.{node.server_generation}."
            f"{start.run_id}"
        )
        body_key = ledger.parse_body_key(start.request.body)
        self.entries.append(
            ledger.RunStarted(
                at=self.now,
                label=label,
                run_id=run_id,
                host_id=host_id,
                intact=body_key == label.key,
            )
        )
        return run_id

    def _next_service(self, service: str) -> str:
        index = self._services.index(service) + 1
        return self._services[index] if index < len(self._services) else ""

    def _call_child(
        self,
        start: messages.StartRun,
        label: ledger.Label,
        run_id: str,
        service: str,
    ):
        """Calls the next service and returns the status of the run itself."""
        is_last = service == self._services[-1]
        repeatable = label.repeatable and not (
            is_last and start.request.path == MIXED_PATH
        )
        child = label.child(
            run_id=run_id, index=0, service=service, repeatable=repeatable
        )
        self.entries.append(ledger.Sent(at=self.now, label=child))
        replies = yield fleet_model.Invoke(
            requests=[make_request(child, path=start.request.path)],
            idempotency_keys=["child"],
        )
        answer = replies[0].answer
        self.entries.append(entry_for(self.now, child, answer))
        return 200 if answer is not None and answer.status == 200 else 502


def make_request(label: ledger.Label, *, path: str) -> rpc.Request:
    """Builds the request that carries a label."""
    return rpc.Request(
        service=label.service,
        method="GET" if label.repeatable else "POST",
        path=path,
        headers=[(ledger.LABEL_HEADER, label.encode())],
        body=ledger.make_body(label.key, size=BODY_BYTES),
    )


def decode_label(request: rpc.Request) -> ledger.Label:
    """Decodes the label in the headers of a request."""
    values_by_name = dict(request.headers)
    return ledger.Label.decode(values_by_name[ledger.LABEL_HEADER])


def entry_for(
    now: float, label: ledger.Label, answer: rpc.Answer | None
) -> ledger.Entry:
    """Builds the ledger entry for the answer that a caller received."""
    if answer is None:
        return ledger.GaveUp(at=now, label=label)
    body_key = None
    if answer.outcome is errors.Outcome.COMPLETED:
        body_key = ledger.parse_body_key(answer.body)
    return ledger.Answered(
        at=now,
        label=label,
        outcome=answer.outcome.value,
        error=answer.error.value if answer.error else "",
        status=answer.status,
        body_key=body_key,
    )


def _ignore(_host_id: str) -> None:
    """Ignores the host."""
