"""The one-file binary runs every command from a tmpfs."""

import pytest

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import main
from tools import build_binary

MAX_UNPACKED_BYTES = 36_000_000


def test_help_lists_every_command(binary):
    result = binary.run("--help")
    assert result.returncode == 0, result.stderr
    for name in main.main.list_commands(None):
        assert f"  {name}" in result.stdout


@pytest.mark.parametrize("name", main.main.list_commands(None))
def test_every_command_loads(binary, name):
    result = binary.run(name, "--help")
    assert result.returncode == 0, result.stderr
    assert result.stdout.startswith(f"Usage: bergamotdeal {name}")


def test_invalid_settings_exit_with_code_invalid(binary):
    result = binary.run("settings", "check", "-", input="[node]\n")
    assert result.returncode == exit_codes.ExitCode.INVALID
    assert "[peer] the section is missing" in result.stderr


def test_unpacked_binary_contains_no_tests(binary):
    binary.run("--version")
    unpacked = list(binary.folder.glob("*/site-packages/bergamotdeal"))
    assert unpacked
    assert not list(unpacked[0].rglob("test_*.py"))


def test_unpacked_binary_stays_below_the_size_limit(binary):
    binary.run("--version")
    (unpacked,) = binary.folder.glob("*/site-packages")
    size = sum(p.stat().st_size for p in unpacked.rglob("*") if p.is_file())
    assert size < MAX_UNPACKED_BYTES


def test_build_is_reproducible(binary):
    second_path = binary.folder / "again" / "bergamotdeal"
    build_binary.build(second_path)
    assert second_path.read_bytes() == binary.path.read_bytes()


def test_stage_library_rejects_wrong_or_missing_version(tmp_path):
    with pytest.raises(build_binary.BuildError, match=r"click .* is not 0\.1"):
        build_binary.stage_library("click", "0.1", tmp_path)
    with pytest.raises(build_binary.BuildError, match="is not installed"):
        build_binary.stage_library("no-such-library", "1", tmp_path)
