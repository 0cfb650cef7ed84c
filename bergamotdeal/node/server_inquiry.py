"""Discovery of the backend server by a query instead of an announcement."""

from collections.abc import Callable

from bergamotdeal.node import environment
from bergamotdeal.node import server_life
from bergamotdeal.node import server_link
from bergamotdeal.presets import model


def query_server(
    *,
    platform_hooks: environment.PlatformHooks,
    reactor,
    service: str,
    preset: model.Preset,
    instance_tracker: server_life.ServerInstanceTracker,
    on_announcement: Callable[[server_link.Announcement], None],
) -> None:
    """Queries the backend server's identity, if the platform supports it.

    Args:
      platform_hooks: Integration points that the platform supplies.
      reactor: The reactor.
      service: Service that the settings assign to the host.
      preset: Preset in force, which holds the path of the health check.
      instance_tracker: Tracker of the backend server's instances.
      on_announcement: Called with the announcement if the query yields one.
    """
    policy = preset.services_by_name.get(service)
    if platform_hooks.probe_server is None or policy is None:
        return
    if not policy.health_path:
        return
    query = platform_hooks.probe_server(
        reactor, policy.health_path, instance_tracker.record_health_check
    )

    def handle_result(announcement: server_link.Announcement | None) -> None:
        if announcement is not None:
            on_announcement(announcement)

    query.addCallback(handle_result)
