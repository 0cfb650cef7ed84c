"""Health checks of the backend server before it gets work.

A server may have run before its node started and may have told an earlier
process that it leaves or accepts few requests. Nor does an announcement prove
that its sender still runs or is the server of this host. The server itself is
asked once at the start and then for each instance that announces itself.
"""

from collections.abc import Callable
import dataclasses

import msgspec
from twisted.python import failure as twisted_failure
from twisted.python import log

from bergamotdeal.node import environment
from bergamotdeal.node import server_life
from bergamotdeal.node import server_report
from bergamotdeal.presets import model
from bergamotdeal.telemetry import catalogue

MAX_UNCLEAR_CHECKS = 3
"""Health checks without a clear answer after which an instance that goes on
announcing itself is accepted, as there is no other available server."""

_CODES = catalogue.EventCode


class _Candidate(msgspec.Struct, kw_only=True):
    """Instance that waits for a health check.

    Attributes:
      announcement: Its latest announcement.
      unclear_checks: Number of its health checks without a clear answer.
    """

    announcement: server_report.Announcement
    unclear_checks: int = 0


class ServerInquiry:
    """Health checks of the backend server.

    Args:
      platform_hooks: Integration points that the platform supplies.
      reactor: The reactor.
      service: Service that the settings assign to the host.
      instance_tracker: Tracker of the backend server's instances.
      on_finished: Called once with the report of the first health check, or
        with None if the platform has no health check or the server did not
        answer in time.
      on_confirmed: Called with each announcement of the confirmed instance, and
        with the report that confirmed it or None.
      is_server_available: Returns whether a server is available now.
      emit: Called with the code of an event and its fields.
    """

    def __init__(
        self,
        *,
        platform_hooks: environment.PlatformHooks,
        reactor,
        service: str,
        instance_tracker: server_life.ServerInstanceTracker,
        on_finished: Callable[[server_report.HealthReport | None], None],
        on_confirmed: Callable[
            [server_report.Announcement, server_report.HealthReport | None],
            None,
        ],
        is_server_available: Callable[[], bool],
        emit: Callable[..., None],
    ) -> None:
        self._probe_server = platform_hooks.probe_server
        self._reactor = reactor
        self._service = service
        self._instance_tracker = instance_tracker
        self._on_finished = on_finished
        self._on_confirmed = on_confirmed
        self._is_server_available = is_server_available
        self._emit = emit
        self._policies_by_service: dict[str, model.ServicePolicy] = {}
        self._is_finished = False
        self._is_check_pending = False
        self._candidates_by_instance: dict[str, _Candidate] = {}
        # Candidates that have announced themselves since the last check.
        self._waiting_by_instance: dict[str, _Candidate] = {}

    @property
    def has_health_check(self) -> bool:
        """Whether the platform can ask the server."""
        return self._probe_server is not None

    @property
    def is_finished(self) -> bool:
        """Whether the server may be published."""
        return self._is_finished

    def apply_preset(self, preset: model.Preset) -> None:
        """Sets the preset in force; the first one starts the inquiry.

        Args:
          preset: Preset that holds the path of the health check.
        """
        self._policies_by_service = preset.services_by_name
        if not self._is_finished:
            self._check()

    def handle_announcement(
        self, announcement: server_report.Announcement
    ) -> None:
        """Handles an announcement of the backend server.

        Args:
          announcement: Current description of the server.
        """
        instance = announcement.instance
        tracker = self._instance_tracker
        if tracker.has_departed(instance):
            return
        if tracker.is_confirmed(instance):
            self._on_confirmed(announcement, None)
            return
        candidate = self._candidates_by_instance.get(instance)
        if candidate is None:
            if len(self._candidates_by_instance) >= server_life.MAX_CANDIDATES:
                self._candidates_by_instance.clear()
            candidate = _Candidate(announcement=announcement)
            self._candidates_by_instance[instance] = candidate
        candidate.announcement = announcement
        self._waiting_by_instance[instance] = candidate
        # The host may have been given to another service since the start.
        self._service = announcement.service
        # The first check waits for a preset.
        if self._is_finished:
            self._check()

    def handle_server_leaving(self, instance: str) -> None:
        """Drops the announcements of an instance that leaves.

        Args:
          instance: Name of the instance.
        """
        self._candidates_by_instance.pop(instance, None)
        self._waiting_by_instance.pop(instance, None)

    def handle_server_silent(self) -> None:
        """Has the server checked again when it announces itself again."""
        self._instance_tracker.forget_confirmed()

    def _check(self) -> None:
        if self._is_check_pending:
            return
        policy = self._policies_by_service.get(self._service)
        if self._probe_server is None or not (policy and policy.health_path):
            self._handle_no_health_check()
            return
        self._is_check_pending = True
        pending = self._probe_server(self._reactor, policy.health_path)
        pending.addErrback(_log_failure)
        pending.addCallback(self._identify_instance)
        pending.addCallback(self._handle_report)

    def _handle_no_health_check(self) -> None:
        waiting = self._take_waiting()
        self._finish_first(None)
        for candidate in waiting:
            self._confirm(candidate, None)

    def _handle_report(self, report: server_report.HealthReport | None) -> None:
        self._is_check_pending = False
        self._emit(
            _CODES.SERVER_CHECKED,
            server="" if report is None else report.server_id,
            availability=(
                "not answering" if report is None else report.availability.value
            ),
        )
        waiting = self._take_waiting()
        self._finish_first(report)
        for candidate in waiting:
            self._judge(candidate, report)

    def _identify_instance(
        self, report: server_report.HealthReport | None
    ) -> server_report.HealthReport | None:
        """Names the instance that answered.

        The announcement counts only for a healthy server that is not known.
        """
        if report is None:
            return None
        tracker = self._instance_tracker
        instance = tracker.find_instance(report.server_id)
        announcement = None
        if (
            instance is None
            and report.announcement is not None
            and report.availability is server_report.Availability.AVAILABLE
            and tracker.record_health_check(report.server_id) is not None
        ):
            announcement = report.announcement
        return dataclasses.replace(
            report,
            instance=instance or report.server_id,
            announcement=announcement,
        )

    def _finish_first(self, report: server_report.HealthReport | None) -> None:
        if not self._is_finished:
            self._is_finished = True
            self._on_finished(report)

    def _take_waiting(self) -> list[_Candidate]:
        waiting = list(self._waiting_by_instance.values())
        self._waiting_by_instance.clear()
        return waiting

    def _judge(
        self,
        candidate: _Candidate,
        report: server_report.HealthReport | None,
    ) -> None:
        """Accepts a candidate, rejects it or leaves it to the next check."""
        server_id = candidate.announcement.server_id
        if report is not None and report.server_id != server_id:
            self._reject(candidate, f"{report.server_id} answers in its place")
            return
        availability = server_report.Availability.UNCLEAR
        if report is not None:
            availability = report.availability
        match availability:
            case server_report.Availability.AVAILABLE:
                self._confirm(candidate, report)
            case server_report.Availability.UNAVAILABLE:
                self._reject(candidate, "it leaves or is not healthy")
            case server_report.Availability.UNCLEAR:
                candidate.unclear_checks += 1
                is_last = candidate.unclear_checks >= MAX_UNCLEAR_CHECKS
                if is_last and not self._is_server_available():
                    self._confirm(candidate, report)
                else:
                    self._emit_unconfirmed(
                        server_id, "no clear answer to the health check"
                    )

    def _confirm(
        self,
        candidate: _Candidate,
        report: server_report.HealthReport | None,
    ) -> None:
        instance = candidate.announcement.instance
        self._candidates_by_instance.pop(instance, None)
        self._instance_tracker.confirm(instance)
        self._on_confirmed(candidate.announcement, report)

    def _reject(self, candidate: _Candidate, reason: str) -> None:
        announcement = candidate.announcement
        self._candidates_by_instance.pop(announcement.instance, None)
        self._emit_unconfirmed(announcement.server_id, reason)

    def _emit_unconfirmed(self, server_id: str, reason: str) -> None:
        self._emit(_CODES.SERVER_UNCONFIRMED, server=server_id, reason=reason)


def _log_failure(failure: twisted_failure.Failure) -> None:
    """Logs a failed health check, which counts as one without an answer."""
    log.err(failure, "health check of the backend server failed")
