"""The page of faults matches the tables that the tests run."""

import pathlib
import re
import typing

import msgspec

from bergamotdeal.calls import messages
from tests.matrix import page

ROOT = pathlib.Path(__file__).parents[2]

EXPECTED_FAULTS = (
    "slow deep service",
    "surge",
    "hard-retrying callers",
    "store down",
    "store slow",
    "answer lost after the write",
    "paused process",
    "racing operators",
    "crashing request",
    "silent connection",
    "node killed",
    "server killed",
    "data centre cut off",
)


def test_faults_page_matches_the_tables():
    assert page.PAGE_PATH.read_text() == page.build_page()


def test_each_section_lists_or_excludes_each_fault():
    sections = page.build_page().split("\n## ")[1:3]
    assert [s.partition("\n")[0] for s in sections] == [
        "Steps of a call",
        "Steps of a switch",
    ]
    for section in sections:
        text = " ".join(section.split())
        for fault in EXPECTED_FAULTS:
            assert fault in text


def test_tests_named_on_the_page_exist():
    for name in set(re.findall(r"`(tests/[^`]+)`", page.build_page())):
        path, _, function = name.partition("::")
        text = (ROOT / path).read_text()
        assert f"def {function}" in text


def test_engine_does_not_use_the_store():
    for union in (messages.Event, messages.Effect):
        for kind in typing.get_args(union):
            names = [f.name for f in msgspec.structs.fields(kind)]
            assert "store" not in " ".join([kind.__name__, *names]).lower()
