"""Which route a request takes that is addressed by host name and path."""

import dataclasses

from bergamotdeal.presets import model


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Entry:
    """A route of one host.

    Attributes:
      prefix: Its path prefix.
      route: The route.
    """

    prefix: str
    route: model.HostRoute


class HostRouteTable:
    """The host routes of a preset, by host name.

    Args:
      host_routes: The routes.
    """

    def __init__(self, *, host_routes: tuple[model.HostRoute, ...]) -> None:
        self._entries_by_host: dict[str, list[_Entry]] = {}
        for route in host_routes:
            entries = self._entries_by_host.setdefault(route.host, [])
            entries.append(_Entry(prefix=route.prefix, route=route))
        for entries in self._entries_by_host.values():
            entries.sort(key=lambda entry: len(entry.prefix), reverse=True)

    def find(self, authority: str, path: str) -> model.HostRoute | None:
        """Returns the route with the longest prefix, or None.

        Args:
          authority: The request's ``Host`` header.
          path: Path and query of the request.
        """
        host = authority.partition(":")[0].lower()
        bare_path = path.partition("?")[0]
        for entry in self._entries_by_host.get(host, ()):
            if bare_path.startswith(entry.prefix):
                return entry.route
        return None
