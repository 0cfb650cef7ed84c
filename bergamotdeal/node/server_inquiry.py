"""Health check of the backend server before the node publishes it.

A server may have run before its node started and may have told an earlier
process that it leaves or accepts few requests.
"""

from collections.abc import Callable

from bergamotdeal.node import environment
from bergamotdeal.node import server_life
from bergamotdeal.node import server_link
from bergamotdeal.presets import model


class ServerInquiry:
    """One health check of the backend server at the start of the node.

    Args:
      platform_hooks: Integration points that the platform supplies.
      reactor: The reactor.
      service: Service that the settings assign to the host.
      instance_tracker: Tracker of the backend server's instances.
      on_finished: Called once with the report, or with None if the platform
        has no health check or the server did not answer in time.
    """

    def __init__(
        self,
        *,
        platform_hooks: environment.PlatformHooks,
        reactor,
        service: str,
        instance_tracker: server_life.ServerInstanceTracker,
        on_finished: Callable[[server_link.HealthReport | None], None],
    ) -> None:
        self._probe_server = platform_hooks.probe_server
        self._reactor = reactor
        self._service = service
        self._instance_tracker = instance_tracker
        self._on_finished = on_finished
        self._is_finished = False

    @property
    def has_health_check(self) -> bool:
        """Whether the platform can ask the server."""
        return self._probe_server is not None

    @property
    def is_finished(self) -> bool:
        """Whether the server may be published."""
        return self._is_finished

    def start(self, preset: model.Preset) -> None:
        """Sends the health check.

        Args:
          preset: Preset in force, which holds the path of the health check.
        """
        policy = preset.services_by_name.get(self._service)
        has_path = policy is not None and policy.health_path
        if self._probe_server is None or not has_path:
            self._finish(None)
            return
        self._probe_server(
            self._reactor, policy.health_path, self._instance_tracker
        ).addCallback(self._finish)

    def _finish(self, report: server_link.HealthReport | None) -> None:
        self._is_finished = True
        self._on_finished(report)
