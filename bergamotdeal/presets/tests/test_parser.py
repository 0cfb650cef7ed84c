"""Tests of the INI format of presets, its problems and the JSON codec."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from bergamotdeal.presets import codec
from bergamotdeal.presets import model
from bergamotdeal.presets import parser

TEXT = """\
[preset]
name = peak
classes = critical, browse, bulk
default_deadline_ms = 1200

[retries]
allowance = 2

[admission]
feedback = no
target_delay_ms = 15

[service kitview]
shed_status = 503
accepts_cancellation = yes

[route kitview GET /kits]
class = browse
repeatable = yes
deadline_ms = 800

[route kitview * /]
class = critical
"""


def test_parse_builds_model_from_sections():
    preset = parser.parse(TEXT).unwrap()
    assert preset.name == "peak"
    assert preset.classes == ("critical", "browse", "bulk")
    assert preset.default_deadline_ms == 1200
    assert preset.retries == model.RetryPolicy(allowance=2)
    assert preset.admission.feedback is False
    assert preset.services_by_name["kitview"].shed_status == 503
    assert preset.routes[0] == model.Route(
        service="kitview",
        method="GET",
        prefix="/kits",
        class_name="browse",
        repeatable=True,
        deadline_ms=800,
    )


@pytest.mark.parametrize(
    ("old", "new", "section", "key", "words"),
    [
        ("allowance = 2", "allowence = 2", "retries", "allowence", "allowance"),
        (
            "allowance = 2",
            "allowance = 101",
            "retries",
            "allowance",
            "0 to 100",
        ),
        ("allowance = 2", "allowance = x", "retries", "allowance", "integer"),
        ("[retries]", "[retires]", "retires", "", "retries"),
        ("feedback = no", "feedback = 2", "admission", "feedback", "yes or no"),
        (
            "feedback = no",
            "feedback = no\nfeedback = yes",
            "admission",
            "feedback",
            "twice",
        ),
        ("[retries]", "[admission]", "admission", "", "twice"),
        ("name = peak", "", "preset", "name", "missing"),
        ("name = peak", "name = Pe ak", "preset", "name", "must match"),
        (
            "class = browse",
            "class = brose",
            "route kitview GET /kits",
            "class",
            "did you mean browse?",
        ),
        ("[route kitview * /]", "[route kitview]", "route kitview", "", "MET"),
        (
            "shed_status = 503",
            "shed_status = 200",
            "service kitview",
            "shed_status",
            "400 to 599",
        ),
        (
            "target_delay_ms = 15",
            "window_min_ms = 300",
            "admission",
            "window_min_ms",
            "window_max_ms",
        ),
        (
            "[route kitview * /]",
            "[quotas]\nwindow_ms = 100\n[route kitview * /]",
            "quotas",
            "window_ms",
            "at least 1000",
        ),
    ],
)
def test_problem_names_section_key_and_accepted_values(
    old, new, section, key, words
):
    problems = parser.parse(TEXT.replace(old, new, 1)).unwrap_err()
    assert len(problems) == 1, problems
    assert (problems[0].section, problems[0].key) == (section, key)
    assert words in problems[0].message


def test_organisations_are_parsed_and_rendered():
    digest = "0c5f27cbaba4ebd3ca06a07c5cc5b3a1"
    text = (
        "[preset]\nname = p\n[organisation harbour works]\n"
        f"key_digests = {digest}\nclass = browse\nrate_per_s = 40.5\n"
    )
    preset = parser.parse(text).unwrap()
    assert preset.organisations == (
        model.Organisation(
            name="harbour works",
            key_digests=(digest,),
            class_name="browse",
            rate_per_s=40.5,
        ),
    )
    assert parser.parse(parser.render(preset)).unwrap() == preset


@pytest.mark.parametrize(
    "body",
    [
        "key_digests = secret",
        "key_digests = 0C5F27CBABA4EBD3CA06A07C5CC5B3A1",
        "class = none",
        "rate_per_s = nan",
        "rate_per_s = -1",
        "burst = inf",
        "name = other",
        "[organisation ä]",
        "key_digests = {0}, {0}",
        "key_digests = {0}\n[organisation b]\nkey_digests = {0}",
    ],
)
def test_invalid_organisation_is_a_problem(body):
    digest = "0c5f27cbaba4ebd3ca06a07c5cc5b3a1"
    text = f"[preset]\nname = p\n[organisation a]\n{body.format(digest)}\n"
    problems = parser.parse(text).unwrap_err()
    assert "organisation" in problems[0].section


def test_parse_reports_all_problems():
    text = TEXT.replace("allowance = 2", "allowance = -1\nnope = 1")
    text = text.replace("deadline_ms = 800", "deadline_ms = 0")
    assert len(parser.parse(text).unwrap_err()) == 3


@pytest.mark.parametrize("text", ["", "x = 1", "[preset", "[DEFAULT]\nname=a"])
def test_parse_of_broken_text_returns_problems(text):
    assert parser.parse(text).unwrap_err()


@hypothesis.given(st.text(max_size=200))
def test_parse_of_any_text_does_not_raise(text):
    parser.parse(text)


PRESETS = st.builds(
    model.Preset,
    name=st.from_regex(r"[a-z0-9][a-z0-9._-]{0,20}", fullmatch=True),
    routes=st.lists(
        st.builds(
            model.Route,
            service=st.sampled_from(["kitview", "feederdesk"]),
            method=st.sampled_from(["*", "GET", "POST"]),
            prefix=st.sampled_from(["/", "/kits", "/a/b"]),
            class_name=st.sampled_from(["critical", "browse"]),
            repeatable=st.booleans(),
            deadline_ms=st.integers(1, 3_600_000),
        ),
        unique_by=lambda r: (r.service, r.method, r.prefix),
    ).map(tuple),
    services_by_name=st.dictionaries(
        st.sampled_from(["kitview", "orderline"]),
        st.builds(
            model.ServicePolicy,
            shed_status=st.none() | st.integers(400, 599),
            accepts_cancellation=st.booleans(),
        ),
    ),
    retries=st.builds(model.RetryPolicy, ratio=st.floats(0, 1)),
)


@hypothesis.given(PRESETS)
def test_rendered_preset_parses_to_same_preset(preset):
    assert parser.parse(parser.render(preset)).unwrap() == preset


@hypothesis.given(PRESETS)
def test_codec_round_trip_is_canonical(preset):
    data = codec.encode(preset)
    assert codec.decode(data).unwrap() == preset
    reordered = msgspec.structs.replace(
        preset,
        services_by_name=dict(reversed(preset.services_by_name.items())),
    )
    assert codec.encode(reordered) == data


@hypothesis.given(st.binary(max_size=200))
def test_decode_of_any_bytes_does_not_raise(data):
    codec.decode(data)


def test_codec_applies_the_validation_of_the_parser():
    preset = model.Preset(
        name="x", routes=(model.Route(service="a", method="GET", prefix="b"),)
    )
    assert "prefix" in codec.decode(codec.encode(preset)).unwrap_err()
    bad = codec.encode(model.Preset(name="x")).replace(
        b'"ratio":0.1', b'"ratio":9'
    )
    assert codec.decode(bad).is_err()


@hypothesis.given(
    st.text(max_size=6) | st.just("r-1"),
    st.text(max_size=6) | st.just("a.example"),
    st.text(max_size=6) | st.just("/a/"),
    st.text(max_size=6) | st.just("kit"),
    st.sampled_from([0.0, 1.0]),
)
def test_plain_host_routes_are_valid(name, host, prefix, service, weight):
    # The quick check may send a valid route to the full one, never the reverse.
    route = model.HostRoute(
        name=name,
        host=host,
        prefix=prefix,
        destinations=(model.Destination(service=service, weight=weight),),
    )
    preset = model.Preset(name="p", host_routes=(route,))
    if parser._is_plain_host_route(route, frozenset(preset.classes)):
        assert parser._check_host_route(preset, route) == []
