"""Names of the services that a preset or a member mentions."""

from collections.abc import Iterable

from bergamotdeal.presets import model

NAME_TTL_S = 600.0
"""Time for which a name outlives its last mention. It covers a restart of all
servers of a service."""

MAX_NAMES = 1024
"""Maximum number of names; the ones mentioned least recently are dropped."""


class KnownServices:
    """Services that exist, whether or not a server is known at the moment.

    A caller takes "no such service" as final, so a service whose servers are
    all unknown for a while must not be answered like one that never existed.
    """

    def __init__(self) -> None:
        self._current_by_source: dict[str, frozenset[str]] = {}
        self._expires_at_by_name: dict[str, float] = {}

    def is_known(self, service: str, now: float) -> bool:
        """Returns whether a source mentions a service or did so lately."""
        return now < self._expires_at_by_name.get(service, now) or any(
            service in names for names in self._current_by_source.values()
        )

    def update(self, source: str, names: Iterable[str], now: float) -> None:
        """Replaces the names that a source mentions.

        Args:
          source: What mentions them, such as the preset.
          names: All names that it mentions now; the others expire.
          now: Monotonic seconds.
        """
        previous = self._current_by_source.get(source, frozenset())
        self._current_by_source[source] = current = frozenset(names)
        expires_at_by_name = self._expires_at_by_name
        for name in previous - current:
            # Moves the name to the end of the order of expiry.
            expires_at_by_name.pop(name, None)
            expires_at_by_name[name] = now + NAME_TTL_S
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        for name, expires_at in list(self._expires_at_by_name.items()):
            has_room = len(self._expires_at_by_name) <= MAX_NAMES
            if has_room and now < expires_at:
                return
            del self._expires_at_by_name[name]


def list_preset_services(preset: model.Preset) -> set[str]:
    """Returns the services that a preset mentions."""
    services = set(preset.services_by_name)
    services.update(route.service for route in preset.routes)
    for route in preset.host_routes:
        services.update(each.service for each in route.destinations)
    return services
