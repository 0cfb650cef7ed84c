"""Lookup of host routes by host name and path prefix."""

import msgspec

from bergamotdeal.presets import model


class _Entry(msgspec.Struct, frozen=True, kw_only=True):
    """A host route with its path prefix.

    Attributes:
      prefix: Path prefix of the route.
      route: The route.
    """

    prefix: str
    route: model.HostRoute


class HostRouteTable:
    """The host routes of a preset, indexed by host name.

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
        """Returns the host's route with the longest matching prefix, or None.

        Args:
          authority: The request's ``Host`` header; the port is ignored.
          path: Path and query of the request; the query is ignored.
        """
        host = authority.partition(":")[0].lower()
        bare_path = path.partition("?")[0]
        for entry in self._entries_by_host.get(host, ()):
            if bare_path.startswith(entry.prefix):
                return entry.route
        return None
