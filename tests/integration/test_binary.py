"""The one-file binary runs every command from a tmpfs."""

import os
import pathlib
import subprocess
import tempfile

import pytest

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import main
from tools import build_binary

TMPFS = pathlib.Path("/dev/shm")
TIMEOUT_S = 60


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    """A folder on a tmpfs where the machine has one."""
    if not os.access(TMPFS, os.W_OK):
        yield tmp_path_factory.mktemp("binary")
        return
    with tempfile.TemporaryDirectory(dir=TMPFS) as name:
        yield pathlib.Path(name)


@pytest.fixture(scope="module")
def binary(folder):
    path = folder / "bergamotdeal"
    build_binary.build(path)
    return path


@pytest.fixture
def run(binary, folder):
    def run_command(*arguments, **options):
        return subprocess.run(
            [binary, *arguments],
            check=False,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            cwd=folder,
            env=environment(folder),
            **options,
        )

    return run_command


def environment(folder):
    """Returns an environment in which only the binary brings the package."""
    variables = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
    return variables | {"SHIV_ROOT": str(folder), "HOME": "/nonexistent"}


def test_help_lists_every_command(run):
    done = run("--help")
    assert done.returncode == 0, done.stderr
    for name in main.main.list_commands(None):
        assert f"  {name}" in done.stdout


@pytest.mark.parametrize("name", main.main.list_commands(None))
def test_every_command_loads(run, name):
    done = run(name, "--help")
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith(f"Usage: bergamotdeal {name}")


def test_exit_codes_reach_the_shell(run):
    done = run("settings", "check", "-", input="[node]\n")
    assert done.returncode == exit_codes.ExitCode.INVALID
    assert "[peer] the section is missing" in done.stderr


def test_the_tests_stay_outside(binary, run, folder):
    run("--version")
    unpacked = list(folder.glob("*/site-packages/bergamotdeal"))
    assert unpacked
    assert not list(unpacked[0].rglob("test_*.py"))


def test_equal_inputs_give_an_equal_file(binary, folder):
    again = folder / "again" / "bergamotdeal"
    build_binary.build(again)
    assert again.read_bytes() == binary.read_bytes()


def test_another_version_of_a_library_is_refused(tmp_path):
    with pytest.raises(build_binary.BuildError, match=r"click .* is not 0\.1"):
        build_binary.stage_library("click", "0.1", tmp_path)
    with pytest.raises(build_binary.BuildError, match="is not installed"):
        build_binary.stage_library("no-such-library", "1", tmp_path)
