"""Tests of the lookup of routes by host name and path prefix."""

import pytest

from bergamotdeal.presets import hosts
from bergamotdeal.presets import model


def make_route(name, host, prefix):
    return model.HostRoute(
        name=name,
        host=host,
        prefix=prefix,
        destinations=(model.Destination(service="kitview"),),
    )


TABLE = hosts.HostRouteTable(
    host_routes=(
        make_route("all", "kits.example", "/"),
        make_route("stock", "kits.example", "/stock/"),
        make_route("fine", "kits.example", "/stock/fine/"),
        make_route("other", "lines.example", "/lines/"),
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
def test_find_returns_route_with_longest_matching_prefix(authority, path, name):
    found = TABLE.find(authority, path)
    assert (found.name if found else None) == name
