"""State of the local backend server: slots, load and crashes."""

from bergamotdeal.admission import controller
from bergamotdeal.admission import core as admission
from bergamotdeal.admission import speed
from bergamotdeal.calls import messages
from bergamotdeal.calls import state as engine_state
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.pricing import pressure
from bergamotdeal.quarantine import register
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue

_CODES = catalogue.EventCode
_DEFAULT_POLICY = model.ServicePolicy()
_MS_PER_S = 1000
_MAX_LOGGED_FINGERPRINTS = 8

CRASH_DETECTION_S = 3.0
"""Time after a lost run within which a server crash may still be detected."""


class LocalServer:
    """Admission to the backend server and quarantine of fatal requests.

    Args:
      state: State of the engine.
    """

    def __init__(self, *, state: engine_state.EngineState):
        self._state = state
        self._controller: controller.AdmissionController | None = None
        self._pressure: pressure.BackpressureController | None = None
        self._quarantine = register.QuarantineRegister(
            policy=state.preset.quarantine, host_id=state.identity.host_id
        )
        self._service = ""
        self._rate_limit: float | None = None
        self._speed = speed.ServerSpeed()
        self._is_stopped = False
        self._is_absent = False
        self._ended_while_absent: list[tuple[int, bool]] = []
        self._crash_count = 0

    def policy(self) -> model.ServicePolicy:
        """Returns the policy of the server's service."""
        policies = self._state.preset.services_by_name
        return policies.get(self._service, _DEFAULT_POLICY)

    def handle_announcement(
        self, service: str, slots: int
    ) -> list[admission.Decision]:
        """Handles an announcement; without slots the server is absent."""
        if slots < 1:
            return self.suspend()
        state = self._state
        state.service = service
        state.caller_service = service
        if self._controller is None:
            decisions = []
        elif self._is_stopped or service != self._service:
            decisions = self._suspend_admission()
        else:
            return self._resume_admission(slots)
        self._service = service
        if self._is_stopped:
            self._speed = speed.ServerSpeed()
        self._is_stopped = False
        self._is_absent = False
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
        self._controller.set_rate_limit(self._rate_limit, state.now)
        return decisions

    def suspend(self) -> list[admission.Decision]:
        """Suspends admission until the server announces itself again."""
        self._state.service = ""
        return self._suspend_admission()

    def handle_stop(
        self, later_run_ids: tuple[int, ...] = ()
    ) -> list[admission.Decision]:
        """Handles a crash; the next announcement is that of a new server.

        Args:
          later_run_ids: Runs that were sent after the crash.
        """
        state = self._state
        self._is_stopped = True
        self._crash_count += 1
        crash_id = f"{state.identity.incarnation}.{self._crash_count}"
        reports = self._quarantine.record_server_death(
            state.now, crash_id, later_run_ids
        )
        if reports:
            fingerprints = [report.fingerprint for report in reports]
            state.record_event(
                _CODES.CRASH_REPORTED,
                count=len(reports),
                fingerprints=" ".join(fingerprints[:_MAX_LOGGED_FINGERPRINTS]),
            )
            state.emit(messages.ShareCrashReports(reports=reports))
        return self.suspend()

    def handle_rate_limit(
        self, event: messages.ServerRateLimited
    ) -> list[admission.Decision]:
        """Applies a rate limit, which outlives a stop of the server."""
        rate_limit = event.rate_limit
        self._rate_limit = rate_limit
        if rate_limit is None:
            self._state.record_event(_CODES.SERVER_RATE_LIMIT_LIFTED)
        else:
            self._state.record_event(
                _CODES.SERVER_RATE_LIMITED,
                rate=rate_limit,
                reason=(
                    "until its first answer"
                    if event.is_provisional
                    else "as its answers say"
                ),
            )
        if not self._is_present():
            return []
        return self._controller.set_rate_limit(rate_limit, self._state.now)

    def handle_speed(
        self, event: messages.ServerSpeedReported
    ) -> list[admission.Decision]:
        """Applies a report of the server on its speed."""
        self._speed.record(event.work_factor, self._state.now)
        if not self._is_present():
            return []
        return self._apply_speed()

    def handle_cold_start(
        self, event: messages.ServerCold
    ) -> list[admission.Decision]:
        """Applies the statement of the server that it has just started."""
        remaining_s = event.remaining_ms / _MS_PER_S
        self._speed.set_cold(remaining_s, self._state.now)
        if not self._is_present():
            return []
        return self._apply_speed()

    def _apply_speed(self) -> list[admission.Decision]:
        now = self._state.now
        return self._controller.set_work_factor(self._speed.smoothed(now), now)

    def apply_preset(self) -> list[admission.Decision]:
        """Applies the active preset."""
        preset = self._state.preset
        self._quarantine.set_policy(preset.quarantine)
        if not self._is_present():
            return []
        return self._set_policy()

    def submit(
        self, job: admission.Job, *, was_refused_elsewhere: bool
    ) -> list[admission.Decision]:
        """Requests a slot for a job.

        Args:
          job: The job.
          was_refused_elsewhere: Whether another server has refused the call.
        """
        decisions = self._apply_speed()
        decisions += self._controller.submit(job, self._state.now)
        is_refused = _is_refused(job, decisions)
        # What a limited server refuses is no shortage of the service as long as
        # another server takes it.
        if (
            was_refused_elsewhere
            or not is_refused
            or self._controller.rate_limit is None
        ):
            self._pressure.count_arrival(
                is_surplus=is_refused and was_refused_elsewhere
            )
        self._update_pressure()
        return decisions

    def observe_run_time(self, run_s: float) -> None:
        """Records the time in seconds for which a run held its slot."""
        if self._pressure is not None:
            work_factor = self._speed.smoothed(self._state.now)
            self._pressure.record_run_time(run_s / work_factor)

    def _update_pressure(self) -> None:
        if not self._pressure.is_due(self._state.now):
            return
        load = self._controller.load()
        self._pressure.update(
            self._state.now,
            running=load.running,
            queued=load.queued,
            limit=load.limit,
            rate_limit=self._controller.rate_limit,
            work_factor=self._speed.smoothed(self._state.now),
        )

    def withdraw(self, job_id: int) -> list[admission.Decision]:
        """Withdraws a request for a slot."""
        if not self._is_present():
            return []
        return self._controller.cancel_job(job_id, self._state.now)

    def finish(
        self, job_id: int, *, completed: bool
    ) -> list[admission.Decision]:
        """Frees the slot of a job."""
        if not self._is_present():
            self._ended_while_absent.append((job_id, completed))
            return []
        return self._controller.release_slot(
            job_id, self._state.now, completed=completed
        )

    def advance(self) -> list[admission.Decision]:
        """Advances admission to the current time."""
        if not self._is_present():
            return []
        return self._apply_speed() + self._controller.advance(self._state.now)

    def next_wakeup(self) -> float | None:
        """Returns when ``advance`` is next needed, in monotonic seconds."""
        if not self._is_present():
            return None
        return self._controller.next_wakeup()

    def work_factor(self) -> float:
        """Returns how long work takes now as a multiple of the usual time."""
        return self._speed.relative(self._state.now)

    @property
    def rate_limit(self) -> float | None:
        """Requests per second that the server accepts, or None."""
        return self._rate_limit

    def threshold(self, class_name: str) -> float:
        """Returns the share of request hashes that admission accepts."""
        if self._controller is None:
            return 1.0
        return self._controller.threshold(
            self._state.preset.get_class_rank(class_name)
        )

    def load(self) -> rpc.Load | None:
        """Returns the load to report, or None before an announcement."""
        if self._controller is None:
            return None
        load = self._controller.load()
        # Routing forgets the current speed with time, but not the usual one.
        load.run_ms = self._pressure.run_s * self._speed.usual * _MS_PER_S
        load.work_factor = self.work_factor()
        return load

    def has_quarantined(self, fingerprint: str) -> bool:
        """Returns whether a request is suspected of crashing servers."""
        return self._quarantine.is_quarantined(fingerprint, self._state.now)

    def track_run(self, fingerprint: str, run_id: int) -> None:
        """Records the start of a run, as a suspect if the server crashes."""
        self._quarantine.record_run_start(fingerprint, run_id)

    def record_hold(self, run_id: int, *, is_held: bool) -> None:
        """Records whether a run waits for a connection to the server."""
        self._quarantine.record_run_held(run_id, is_held=is_held)

    def untrack_run(self, run_id: int, *, completed: bool = False) -> None:
        """Records the end of a run that did not crash the server."""
        self._quarantine.record_run_end(run_id, completed=completed)

    def record_lost_run(self, run_id: int) -> None:
        """Records a lost run; a server crash may be detected later."""
        due_at = self._state.now + CRASH_DETECTION_S
        self._state.timers.add(due_at, LostRun(run_id=run_id))

    def apply_crash_reports(
        self, reports: list[membership.CrashReport]
    ) -> None:
        """Applies crash reports of other nodes."""
        self._quarantine.add_reports(reports, self._state.now)

    def _is_present(self) -> bool:
        """Returns whether there is a server to admit requests to."""
        return self._controller is not None and not self._is_absent

    def _suspend_admission(self) -> list[admission.Decision]:
        """Refuses queued jobs and admits none until the server is back."""
        if not self._is_present():
            return []
        self._is_absent = True
        return self._controller.set_slots(0, self._state.now)

    def _resume_admission(self, slots: int) -> list[admission.Decision]:
        """Resumes a server that is present or only missed announcements."""
        now = self._state.now
        was_absent, self._is_absent = self._is_absent, False
        decisions = self._controller.set_slots(slots, now)
        decisions += self._controller.set_rate_limit(self._rate_limit, now)
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


def _is_refused(
    job: admission.Job, decisions: list[admission.Decision]
) -> bool:
    return any(
        isinstance(decision, admission.Refuse) and decision.job_id == job.job_id
        for decision in decisions
    )


class LostRun:
    """Timer key of a lost run whose server has not crashed."""

    __slots__ = ("run_id",)

    def __init__(self, *, run_id: int):
        self.run_id = run_id
