"""The local backend server as its node sees it: slots, load and deaths."""

from bergamotdeal.admission import controller
from bergamotdeal.admission import core as admission
from bergamotdeal.calls import core
from bergamotdeal.calls import messages
from bergamotdeal.calls import state as engine_state
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.pricing import pressure
from bergamotdeal.quarantine import register

_MS_PER_S = 1000

DEATH_NOTICE_S = 3.0
"""Time for which a lost run may still turn out to be a server's death."""


class LocalServer:
    """Admission to the backend server and quarantine of what kills it.

    Args:
      state: State of the engine.
    """

    def __init__(self, *, state: engine_state.EngineState):
        self._state = state
        self._controller: controller.AdmissionController | None = None
        self._pressure: pressure.BackpressureController | None = None
        self._register = register.QuarantineRegister(
            policy=state.preset.quarantine, host_id=state.identity.host_id
        )
        self._service = ""
        self._stopped = False
        self._absent = False
        self._ended_while_absent: list[tuple[int, bool]] = []
        self._deaths = 0

    def policy(self) -> model.ServicePolicy:
        """Returns the policy of the server's service."""
        policies = self._state.preset.services_by_name
        return policies.get(self._service) or model.ServicePolicy()

    def announced(self, service: str, slots: int) -> list[admission.Decision]:
        """Takes up an announcement; without slots the server is not there."""
        if slots < 1:
            return self.silent()
        state = self._state
        state.service = service
        state.caller_service = service
        if self._controller is None:
            decisions = []
        elif self._stopped or service != self._service:
            decisions = self._leave()
        else:
            return self._resume(slots)
        self._service = service
        self._stopped = False
        self._absent = False
        self._pressure = pressure.BackpressureController(now=state.now)
        state.cost_model.set_server(service, self._pressure)
        self._ended_while_absent.clear()
        self._controller = controller.AdmissionController(
            policy=state.preset.admission,
            service_policy=self.policy(),
            class_count=len(state.preset.classes),
            slots=slots,
            now=state.now,
        )
        return decisions

    def silent(self) -> list[admission.Decision]:
        """Stops admission until the server announces itself again."""
        self._state.service = ""
        return self._leave()

    def stopped(self) -> list[admission.Decision]:
        """Takes the server's death; the next announcement is a new one."""
        state = self._state
        self._stopped = True
        self._deaths += 1
        death_id = f"{state.identity.incarnation}.{self._deaths}"
        reports = self._register.record_server_death(state.now, death_id)
        if reports:
            state.emit(messages.ShareCrashReports(reports=reports))
        return self.silent()

    def preset_changed(self) -> list[admission.Decision]:
        """Applies the preset in force."""
        preset = self._state.preset
        self._register.set_policy(preset.quarantine)
        if not self._present():
            return []
        return self._set_policy()

    def submit(self, job: admission.Job) -> list[admission.Decision]:
        """Asks for a slot."""
        self._pressure.count_arrival()
        decisions = self._controller.submit(job, self._state.now)
        self._look_at_pressure()
        return decisions

    def run_took(self, run_s: float) -> None:
        """Takes the time for which a run held its slot, seconds."""
        if self._pressure is not None:
            self._pressure.record_run_time(run_s)

    def _look_at_pressure(self) -> None:
        if not self._pressure.is_due(self._state.now):
            return
        load = self._controller.load()
        self._pressure.update(
            self._state.now,
            running=load.running,
            queued=load.queued,
            limit=load.limit,
        )

    def withdraw(self, job_id: int) -> list[admission.Decision]:
        """Takes back a request for a slot."""
        if not self._present():
            return []
        return self._controller.cancel_job(job_id, self._state.now)

    def finish(
        self, job_id: int, *, completed: bool
    ) -> list[admission.Decision]:
        """Frees a slot."""
        if not self._present():
            self._ended_while_absent.append((job_id, completed))
            return []
        return self._controller.release_slot(
            job_id, self._state.now, completed=completed
        )

    def advance(self) -> list[admission.Decision]:
        """Lets admission act on the time that has passed."""
        if not self._present():
            return []
        return self._controller.advance(self._state.now)

    def next_wakeup(self) -> float | None:
        """Returns when ``advance`` is next needed, in monotonic seconds."""
        if not self._present():
            return None
        return self._controller.next_wakeup()

    def threshold(self, class_name: str) -> float:
        """Returns the share of request hashes that is admitted."""
        if self._controller is None:
            return 1.0
        return self._controller.threshold(
            self._state.preset.get_class_rank(class_name)
        )

    def load(self) -> core.Load | None:
        """Returns the load to report, or None before an announcement."""
        if self._controller is None:
            return None
        load = self._controller.load()
        load.run_ms = self._pressure.run_s * _MS_PER_S
        return load

    def quarantines(self, fingerprint: str) -> bool:
        """Whether a request is suspected of killing servers."""
        return self._register.is_quarantined(fingerprint, self._state.now)

    def run_started(self, fingerprint: str, run_id: int) -> None:
        """Notes a run, which may turn out to kill the server."""
        self._register.record_run_start(fingerprint, run_id)

    def run_ended(self, run_id: int) -> None:
        """Notes a run's end, which the server survived."""
        self._register.record_run_end(run_id)

    def run_lost(self, run_id: int) -> None:
        """Notes a lost run; the server's death may be found out later."""
        when = self._state.now + DEATH_NOTICE_S
        self._state.timers.add(when, LostRun(run_id=run_id))

    def hear(self, reports: list[membership.CrashReport]) -> None:
        """Takes crash reports of other nodes."""
        self._register.add_reports(reports, self._state.now)

    def _present(self) -> bool:
        """Whether there is a server to admit requests to."""
        return self._controller is not None and not self._absent

    def _leave(self) -> list[admission.Decision]:
        """Refuses what waits; nothing is admitted until the next return."""
        if not self._present():
            return []
        self._absent = True
        return self._controller.set_slots(0, self._state.now)

    def _resume(self, slots: int) -> list[admission.Decision]:
        """Goes on with a server that is there or was only silent."""
        now = self._state.now
        was_absent, self._absent = self._absent, False
        decisions = self._controller.set_slots(slots, now)
        if not was_absent:
            return decisions
        for job_id, completed in self._ended_while_absent:
            decisions += self._controller.release_slot(
                job_id, now, completed=completed
            )
        self._ended_while_absent.clear()
        return decisions + self._set_policy()

    def _set_policy(self) -> list[admission.Decision]:
        preset = self._state.preset
        return self._controller.set_policy(
            policy=preset.admission,
            service_policy=self.policy(),
            class_count=len(preset.classes),
            now=self._state.now,
        )


class LostRun:
    """Timer key of a lost run whose server has not died."""

    __slots__ = ("run_id",)

    def __init__(self, *, run_id: int):
        self.run_id = run_id
