"""The page of promises lists each promise and only existing tests."""

import pathlib
import re

from standins import checker

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / "docs" / "promises.md"


def test_named_files_exist():
    names = re.findall(
        r"`((?:tests|bergamotdeal|standins)/[^`]+\.py)`", PAGE.read_text()
    )
    assert names
    assert [name for name in names if not (ROOT / name).exists()] == []


def test_page_has_one_section_per_promise():
    sections = PAGE.read_text().split("\n## ")[1:]
    assert len(sections) == len(checker.Guarantee)
    for section in sections:
        assert "- Mechanism: " in section
        assert "- Tests: " in section


def test_links_point_to_existing_pages():
    for name in re.findall(r"\]\(([^)]+\.md)\)", PAGE.read_text()):
        assert (PAGE.parent / name).exists()
