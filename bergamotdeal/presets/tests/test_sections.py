"""Tests of the sections that nodes pull."""

import msgspec
import pytest

from bergamotdeal.presets import model
from bergamotdeal.presets import sections


def build_route(number, **changes):
    return model.HostRoute(
        name=f"r-{number:05x}",
        host="kits.example",
        prefix=f"/extra{number}/",
        destinations=(model.Destination(service="kitview"),),
        **changes,
    )


def build_preset(count):
    return model.Preset(
        name="peak",
        host_routes=tuple(map(build_route, range(count))),
        organisations=tuple(
            model.Organisation(name=f"org-{n}", key_digests=(f"{n:032x}",))
            for n in range(count // 10)
        ),
    )


def replace_routes(preset, routes):
    return msgspec.structs.replace(preset, host_routes=tuple(routes))


def pull(new, old):
    """Returns the joined preset and the bytes of content that were sent."""
    known = sections.split(old)
    digests = frozenset(section.digest for section in known)
    sent = sections.omit_known_content(sections.split(new), digests)
    content_bytes = sum(len(section.content or b"") for section in sent)
    return sections.join(sent, known).unwrap(), content_bytes


@pytest.mark.parametrize("in_chunks", [False, True])
@pytest.mark.parametrize("count", [0, 1, 500, 3000])
def test_sections_join_to_the_same_preset(count, in_chunks):
    preset = build_preset(count)
    split = sections.split(preset, in_chunks=in_chunks)
    assert sections.join(split, ()).unwrap() == preset


def change_one(routes):
    return [*routes[:999], build_route(999, timeout_ms=77), *routes[1000:]]


# Guards against a change of one route that sends the others, too, to each node.
@pytest.mark.parametrize(
    "change",
    [
        change_one,
        lambda routes: [build_route(99_999), *routes],
        lambda routes: [*routes, build_route(99_999)],
        lambda routes: [*routes[:5000], build_route(99_999), *routes[5000:]],
        lambda routes: routes[1:],
        lambda routes: [*routes[:7777], *routes[7778:]],
    ],
    ids=["changed", "first", "last", "inserted", "first gone", "one gone"],
)
def test_change_of_one_route_transfers_few_routes(change):
    old = build_preset(10_000)
    new = replace_routes(old, change(list(old.host_routes)))
    whole_bytes = sum(len(each.content) for each in sections.split(new))
    joined, sent_bytes = pull(new, old)
    assert joined == new
    assert sent_bytes < 0.03 * whole_bytes


def test_order_of_routes_is_kept():
    old = build_preset(500)
    new = replace_routes(old, reversed(old.host_routes))
    joined, _ = pull(new, old)
    assert joined == new


def test_names_without_a_boundary_don_t_make_one_long_chunk():
    routes = [build_route(1)] * 1000
    preset = replace_routes(build_preset(0), routes)
    longest = max(
        len(msgspec.json.decode(section.content))
        for section in sections.split(preset)
        if section.name.startswith("host_routes")
    )
    assert longest <= 256


def test_mark_is_the_digest_of_no_section():
    digests = {each.digest for each in sections.split(build_preset(500))}
    assert sections.CHUNKS_MARK not in digests
