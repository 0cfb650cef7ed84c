"""The example presets and settings are valid and act as documented."""

import pathlib

import pytest

from bergamotdeal.presets import parser as preset_parser
from bergamotdeal.settings import parser as settings_parser

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SERVICES_BY_DEPLOYMENT = {
    "lintasan": {"kitview", "feederdesk", "stencilhub", "orderline"},
    "kitaguchi": {"forecaster", "dispatch", "events", "notices"},
}
PRESET_NAMES = ("ordinary", "peak", "maintenance")
CRITICAL_REQUESTS_BY_DEPLOYMENT = {
    "lintasan": [
        ("feederdesk", "/reservations"),
        ("stencilhub", "/bookings"),
        ("orderline", "/releases"),
    ],
    "kitaguchi": [("dispatch", "/bookings"), ("events", "/holds")],
}
BROWSE_REQUESTS_BY_DEPLOYMENT = {
    "lintasan": [("kitview", "/kits/17?line=3")],
    "kitaguchi": [("forecaster", "/platforms/odori")],
}


def _parse_preset(deployment, name):
    text = (EXAMPLES / deployment / f"{name}.ini").read_text()
    return preset_parser.parse(text).unwrap()


def test_example_files_match_the_expected_set():
    expected = {
        EXAMPLES / deployment / f"{name}.ini"
        for deployment in SERVICES_BY_DEPLOYMENT
        for name in (*PRESET_NAMES, "node")
    }
    assert set(EXAMPLES.rglob("*.*")) == expected


@pytest.mark.parametrize("name", PRESET_NAMES)
@pytest.mark.parametrize("deployment", SERVICES_BY_DEPLOYMENT)
def test_example_preset_routes_requests_as_documented(deployment, name):
    preset = _parse_preset(deployment, name)
    assert preset.name == name
    assert set(preset.services_by_name) == SERVICES_BY_DEPLOYMENT[deployment]
    for service, path in CRITICAL_REQUESTS_BY_DEPLOYMENT[deployment]:
        route = preset.find_route(service, "POST", path)
        assert route.prefix == path
        assert (route.class_name, route.repeatable) == ("critical", False)
    for service, path in BROWSE_REQUESTS_BY_DEPLOYMENT[deployment]:
        route = preset.find_route(service, "GET", path)
        assert (route.class_name, route.repeatable) == ("browse", True)
        assert route.repeatable_below


@pytest.mark.parametrize("deployment", SERVICES_BY_DEPLOYMENT)
def test_peak_preset_sheds_browse_sooner_than_ordinary(deployment):
    ordinary = _parse_preset(deployment, "ordinary")
    peak = _parse_preset(deployment, "peak")
    assert peak.retries.allowance < ordinary.retries.allowance
    assert peak.admission.reserved_share > ordinary.admission.reserved_share


@pytest.mark.parametrize("deployment", SERVICES_BY_DEPLOYMENT)
def test_example_node_settings_are_valid(deployment):
    path = EXAMPLES / deployment / "node.ini"
    settings = settings_parser.parse(path.read_text()).unwrap()
    assert (EXAMPLES.parent / settings.preset.file).exists()
    for seed in settings.peer.seeds:
        assert settings_parser.parse_endpoint(seed).is_ok()
