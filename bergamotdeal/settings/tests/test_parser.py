"""Parsing of settings files and the messages for their errors."""

import hypothesis
from hypothesis import strategies
import pytest
import result

from bergamotdeal.settings import model
from bergamotdeal.settings import parser

MINIMAL = """
[node]
host_id = kitview-1
data_centre = prai

[peer]
key = 0123456789abcdef
"""


def _parse_problems(text):
    parsed = parser.parse(text)
    assert isinstance(parsed, result.Err), parsed
    return [str(problem) for problem in parsed.err_value]


def test_omitted_keys_take_their_defaults():
    settings = parser.parse(MINIMAL).unwrap()
    assert settings == model.Settings(
        node=model.NodeSection(host_id="kitview-1", data_centre="prai"),
        peer=model.PeerSection(key="0123456789abcdef"),
    )


def test_values_are_converted_to_their_types():
    text = MINIMAL + (
        "address = 10.0.0.4\n"
        "port = 7402\n"
        "seeds = 10.0.0.5:7402, [fd00::1]:7402\n"
        "[telemetry]\nlog_level = debug\nring_events = 500\n"
    )
    settings = parser.parse(text).unwrap()
    assert settings.peer.port == 7402
    assert settings.peer.seeds == ("10.0.0.5:7402", "[fd00::1]:7402")
    assert settings.telemetry.ring_events == 500


@pytest.mark.parametrize(
    ("extra", "expected"),
    [
        (
            "prot = 1\n",
            "[peer] prot: unknown key; did you mean port?",
        ),
        (
            "port = 70000\n",
            "[peer] port: '70000' is not an integer from 0 to 65535",
        ),
        (
            "port = many\n",
            "[peer] port: 'many' is not an integer from 0 to 65535",
        ),
        (
            "address = bayan-lepas\n",
            "[peer] address: 'bayan-lepas': expected an IP address",
        ),
        (
            "address = 0.0.0.0\n",
            "[peer] address: '0.0.0.0': expected the address that "
            "other nodes connect to",
        ),
        (
            "seeds = 10.0.0.5\n",
            "[peer] seeds: '10.0.0.5': expected address:port",
        ),
        (
            "seeds = 10.0.0.5:0\n",
            "[peer] seeds: '10.0.0.5:0': expected a port from 1 to 65535",
        ),
        (
            "seeds = ten:5\n",
            "[peer] seeds: 'ten:5': expected an IP address before the port",
        ),
        (
            "[entri]\n",
            "[entri] unknown section; did you mean entry?",
        ),
        (
            "[admin]\naddress = 10.0.0.4\n",
            "[admin] token: missing: required unless the address "
            "is a loopback one",
        ),
        (
            "[egress]\naddress = 10.0.0.4\n",
            "[egress] address: '10.0.0.4': expected a loopback address",
        ),
        (
            "[store]\naddress = 10.0.0.9\n",
            "[store] port: missing: expected an integer from 1 to 65535",
        ),
        (
            "[telemetry]\nlog_level = loud\n",
            "[telemetry] log_level: 'loud': expected one of "
            "debug, info, warning, error",
        ),
        (
            "[peer]\n",
            "[peer] given twice; again on line 8",
        ),
        (
            "port = 1\nport = 2\n",
            "[peer] port: given twice; again on line 9",
        ),
        (
            "port = \ud800\n",
            "[peer] port: '\\ud800' is not an integer from 0 to 65535",
        ),
        ("port\n", "line 8 is neither a section header nor a key"),
    ],
)
def test_problem_names_its_section_its_key_and_the_accepted_values(
    extra, expected
):
    assert _parse_problems(MINIMAL + extra) == [expected]


def test_all_problems_are_reported_together():
    assert _parse_problems("[node]\nhost_id = Über\n[peer]\nkey = short\n") == [
        "[node] host_id: 'Über' is not text that matches "
        "^[a-z0-9][a-z0-9._/-]{0,63}$",
        "[node] data_centre: missing; accepted is text that matches "
        "^[a-z0-9][a-z0-9._/-]{0,63}$",
        "[peer] key: the value is not text of at least 16 characters",
    ]


def test_missing_required_sections_are_reported():
    assert _parse_problems("") == [
        "[node] the section is missing",
        "[peer] the section is missing",
    ]


def test_key_before_the_first_section_is_reported():
    assert _parse_problems("port = 1\n") == [
        "line 1 precedes any section header"
    ]


def test_default_section_of_configparser_is_rejected():
    assert (
        "[DEFAULT] unknown section"
        in _parse_problems("[DEFAULT]\nport = 1\n" + MINIMAL)[0]
    )


def test_problem_does_not_quote_a_secret():
    problems = _parse_problems(
        "[node]\nhost_id=a\ndata_centre=b\n[peer]\nkey=sec\n"
    )
    assert "sec" not in problems[0].replace("expected", "")


@hypothesis.given(strategies.text(max_size=200))
def test_parse_of_any_text_returns_settings_or_problems(text):
    parsed = parser.parse(text)
    assert isinstance(parsed, result.Ok | result.Err)


@hypothesis.given(
    strategies.sampled_from(
        ["address", "port", "seeds", "key", "host_id", "nothing"]
    ),
    strategies.text(
        strategies.characters(exclude_characters="\r\n\x00"), max_size=30
    ),
)
def test_parse_of_any_value_returns_settings_or_problems(key, value):
    parsed = parser.parse(MINIMAL + f"{key} = {value}\n")
    assert isinstance(parsed, result.Ok | result.Err)
