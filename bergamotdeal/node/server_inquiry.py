"""Learns of the backend server without waiting for its announcement."""

from collections.abc import Callable

from bergamotdeal.node import environment
from bergamotdeal.node import server_life
from bergamotdeal.node import server_link
from bergamotdeal.presets import model


def query_server(
    *,
    surroundings: environment.Environment,
    reactor,
    service: str,
    preset: model.Preset,
    instance_tracker: server_life.ServerInstanceTracker,
    on_announcement: Callable[[server_link.Announcement], None],
) -> None:
    """Asks the backend server who it is, where the platform knows how.

    Args:
      surroundings: What the platform puts in the place of the node's own.
      reactor: The reactor.
      service: Service that the settings name for the host.
      preset: The preset in force, which knows the health check.
      instance_tracker: Which start of the server was heard of.
      on_announcement: Called with the announcement, if there is one.
    """
    policy = preset.services_by_name.get(service)
    if surroundings.ask_server is None or policy is None:
        return
    if not policy.health_path:
        return
    asked = surroundings.ask_server(
        reactor, policy.health_path, instance_tracker.record_health_check
    )

    def answered(announcement: server_link.Announcement | None) -> None:
        if announcement is not None:
            on_announcement(announcement)

    asked.addCallback(answered)
