"""Commands that add, list and revoke keys."""

import pytest

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli.tests import test_preset_commands
from bergamotdeal.organisations import keys
from bergamotdeal.presets import in_force
from bergamotdeal.presets import library

ExitCode = exit_codes.ExitCode
store = test_preset_commands.store
run = test_preset_commands.run
DIGEST = keys.digest_key("k-1")


@pytest.fixture
def run_keys(fleet, run, store):
    assert run("switch", "peak").exit_code == ExitCode.OK

    def run_command(*arguments, stdin=""):
        return fleet.run(
            "keys", *arguments, stdin=stdin, **test_preset_commands.ENVIRONMENT
        )

    return run_command


def read_in_force(store):
    stored = store.objects_by_key[in_force.IN_FORCE_KEY]
    return in_force.decode(stored.value).unwrap()


def test_added_key_is_listed_by_digest_and_revoked_everywhere(run_keys, store):
    completed = run_keys("add", "harbour", stdin="k-1\n")
    assert completed.exit_code == ExitCode.OK, completed.output
    assert "k-1" not in completed.output
    assert run_keys("list").output == f"{DIGEST}  harbour\n"
    assert read_in_force(store).epoch == 2
    assert run_keys("add", "works", stdin="k-1").exit_code == ExitCode.OK
    assert run_keys("list").output == f"{DIGEST}  works\n"
    completed = run_keys("revoke", DIGEST)
    assert completed.exit_code == ExitCode.OK, completed.output
    assert run_keys("list").output == ""
    assert read_in_force(store).epoch == 4
    for stored in store.objects_by_key.values():
        assert DIGEST.encode() not in stored.value
        assert b"k-1" not in stored.value
    assert run_keys("revoke", DIGEST).exit_code == ExitCode.NOT_FOUND


def test_switch_to_stored_preset_does_not_bring_revoked_key_back(
    run_keys, run, store
):
    run_keys("add", "harbour", stdin="k-1")
    run_keys("revoke", DIGEST)
    for name in ("ordinary", "peak"):
        assert run("switch", name).exit_code == ExitCode.OK
        assert run_keys("list").output == ""


@pytest.mark.parametrize("first_key", ["get", "put"])
def test_race_of_two_operators_does_not_bring_revoked_key_back(
    run_keys, run, store, monkeypatch, first_key
):
    # Guards against a switch to a preset that was read before the revocation.
    run_keys("add", "harbour", stdin="k-1")

    def revoke_meanwhile():
        assert run_keys("revoke", DIGEST).exit_code == ExitCode.OK

    if first_key == "put":
        store.on_put_in_force = revoke_meanwhile
    else:
        original = library.get

        def get_then_revoke(object_store, name):
            monkeypatch.setattr(library, "get", original)
            pending = original(object_store, name)
            revoke_meanwhile()
            return pending

        monkeypatch.setattr(library, "get", get_then_revoke)
    assert run("switch", "ordinary").exit_code == ExitCode.CONFLICT
    assert run_keys("list").output == ""


def test_malformed_key_or_name_changes_nothing(run_keys, store):
    for arguments, stdin in (
        (("add", "harbour"), ""),
        (("add", "harbour"), "two words"),
        (("add", "harbour"), "k" * 2000),
        (("add", "har\nbour"), "k-1"),
        (("digest",), "\x01"),
    ):
        completed = run_keys(*arguments, stdin=stdin)
        assert completed.exit_code in (ExitCode.INVALID, ExitCode.FAILED)
    assert read_in_force(store).epoch == 1
    assert run_keys("digest", stdin="k-1\n").output == f"{DIGEST}\n"
