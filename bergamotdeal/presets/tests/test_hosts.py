"""Routes by host name and path prefix."""

import pytest

from bergamotdeal.presets import hosts
from bergamotdeal.presets import model


def route(name, host, prefix):
    return model.HostRoute(
        name=name,
        host=host,
        prefix=prefix,
        destinations=(model.Destination(service="kitview"),),
    )


TABLE = hosts.HostRouteTable(
    host_routes=(
        route("all", "kits.example", "/"),
        route("stock", "kits.example", "/stock/"),
        route("fine", "kits.example", "/stock/fine/"),
        route("other", "lines.example", "/lines/"),
    )
)


@pytest.mark.parametrize(
    ("authority", "path", "name"),
    [
        ("kits.example", "/stock/fine/7", "fine"),
        ("kits.example", "/stock/7?x=/fine/", "stock"),
        ("kits.example", "/stock", "all"),
        ("KITS.example:8304", "/stock/", "stock"),
        ("lines.example", "/lines/1", "other"),
        ("lines.example", "/linesman/1", None),
        ("unknown.example", "/", None),
        ("", "/", None),
    ],
)
def test_longest_prefix_of_the_host_counts(authority, path, name):
    found = TABLE.find(authority, path)
    assert (found.name if found else None) == name
