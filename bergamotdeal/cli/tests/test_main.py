import subprocess
import sys

from click import testing
import pytest

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import main


def _run(*arguments):
    return testing.CliRunner().invoke(main.main, list(arguments))


@pytest.fixture
def settings_path(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text(
        "[node]\nhost_id = a\ndata_centre = prai\n"
        "[peer]\nkey = 0123456789abcdef\n"
    )
    return path


def test_help_lists_every_command():
    run = _run("--help")
    assert run.exit_code == 0
    for name in main.main.list_commands(None):
        assert f"  {name}" in run.output


@pytest.mark.parametrize("name", main.main.list_commands(None))
def test_every_command_has_help(name):
    run = _run(name, "--help")
    assert run.exit_code == 0, run.output


def test_unknown_command_is_a_usage_error():
    assert _run("nod").exit_code == exit_codes.ExitCode.USAGE


def test_settings_check_accepts_valid_settings(settings_path):
    run = _run("settings", "check", str(settings_path))
    assert run.exit_code == 0
    assert "valid settings of host a" in run.output


def test_settings_check_names_each_fault(settings_path):
    settings_path.write_text("[node]\nhost = a\n")
    run = _run("settings", "check", str(settings_path))
    assert run.exit_code == exit_codes.ExitCode.INVALID
    assert (
        f"{settings_path}: [node] host: unknown key; did you mean" in run.output
    )


def test_an_unreadable_file_is_invalid(tmp_path):
    run = _run("node", "--settings", str(tmp_path / "none.ini"))
    assert run.exit_code == exit_codes.ExitCode.INVALID
    assert "can't be read" in run.output


def test_every_exit_code_has_a_meaning():
    assert set(exit_codes.MEANINGS_BY_CODE) == set(exit_codes.ExitCode)


def test_help_does_not_load_the_reactor():
    code = (
        "import sys, bergamotdeal.cli.main\n"
        "heavy = {'twisted', 'capnp', 'structlog', 'statsd'}\n"
        "sys.exit(len(heavy & set(sys.modules)))\n"
    )
    done = subprocess.run([sys.executable, "-c", code], check=False)
    assert done.returncode == 0
