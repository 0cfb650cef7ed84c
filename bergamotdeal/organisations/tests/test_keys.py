"""Digests and the table of keys."""

import hypothesis
from hypothesis import strategies
import pytest

from bergamotdeal.organisations import keys
from bergamotdeal.presets import model

header_texts = strategies.text(
    strategies.characters(min_codepoint=0, max_codepoint=255), max_size=80
)
valid_keys = strategies.text(
    strategies.characters(min_codepoint=0x21, max_codepoint=0x7E),
    min_size=1,
    max_size=keys.MAX_KEY_CHARS,
)


@hypothesis.given(
    valid_keys,
    strategies.sampled_from(["Bearer", "bearer", "BEARER", "bEaReR"]),
    strategies.sampled_from([" ", "  "]),
)
def test_read_digest_of_valid_header_is_the_keys_digest(key, scheme, space):
    value = f"{scheme}{space}{key}"
    assert keys.read_digest([value]) == keys.digest_key(key)


@hypothesis.given(strategies.lists(header_texts, max_size=3))
def test_read_digest_of_any_headers_is_none_empty_or_a_digest(values):
    digest = keys.read_digest(values)
    if not values:
        assert digest is None
    elif len(values) > 1:
        assert digest == ""
    else:
        assert digest == "" or len(digest) == 32


@pytest.mark.parametrize(
    "value",
    [
        "",
        "Bearer",
        "Bearer ",
        "Basic dXNlcjpwYXNz",
        "Bearerkey",
        "Bearer a b",
        "Bearer a,b\x00",
        "Bearer k\xfcche",
        "Bearer " + "k" * 65_536,
    ],
)
def test_read_digest_of_malformed_header_is_empty(value):
    assert keys.read_digest([value]) == ""


@hypothesis.given(
    strategies.dictionaries(
        strategies.text(min_size=1, max_size=8),
        strategies.sets(valid_keys, max_size=4),
        max_size=5,
    ),
    valid_keys,
)
def test_table_finds_exactly_the_listed_keys(keys_by_name, other_key):
    owners_by_key = {
        key: name for name, listed in keys_by_name.items() for key in listed
    }
    table = keys.KeyTable(
        organisations=tuple(
            model.Organisation(
                name=name,
                key_digests=tuple(
                    keys.digest_key(key)
                    for key in listed
                    if owners_by_key[key] == name
                ),
            )
            for name, listed in keys_by_name.items()
        )
    )
    for key, owner in owners_by_key.items():
        assert table.find(keys.digest_key(key)).name == owner
    if other_key not in owners_by_key:
        assert table.find(keys.digest_key(other_key)) is None
    assert table.is_required == bool(keys_by_name)
