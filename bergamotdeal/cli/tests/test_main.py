import pathlib
import socket
import subprocess
import sys

from click import testing
import pytest

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import main

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def _run_command(*arguments):
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
    completed = _run_command("--help")
    assert completed.exit_code == 0
    for name in main.main.list_commands(None):
        assert f"  {name}" in completed.output


@pytest.mark.parametrize("name", main.main.list_commands(None))
def test_every_command_has_help(name):
    completed = _run_command(name, "--help")
    assert completed.exit_code == 0, completed.output


def test_unknown_command_exits_with_usage():
    assert _run_command("nod").exit_code == exit_codes.ExitCode.USAGE


def test_settings_check_accepts_valid_settings(settings_path):
    completed = _run_command("settings", "check", str(settings_path))
    assert completed.exit_code == 0
    assert "valid settings of host a" in completed.output


def test_settings_check_reports_unknown_key(settings_path):
    settings_path.write_text("[node]\nhost = a\n")
    completed = _run_command("settings", "check", str(settings_path))
    assert completed.exit_code == exit_codes.ExitCode.INVALID
    assert (
        f"{settings_path}: [node] host: unknown key; did you mean"
        in completed.output
    )


def test_node_with_unreadable_settings_exits_with_invalid(tmp_path):
    completed = _run_command("node", "--settings", str(tmp_path / "none.ini"))
    assert completed.exit_code == exit_codes.ExitCode.INVALID
    assert "can't be read" in completed.output


def test_settings_check_reports_problem_of_preset_file(settings_path, tmp_path):
    preset = tmp_path / "preset.ini"
    preset.write_text("[preset]\nname = Bad Name\n")
    text = settings_path.read_text()
    settings_path.write_text(f"{text}[preset]\nfile = {preset}\n")
    completed = _run_command("settings", "check", str(settings_path))
    assert completed.exit_code == exit_codes.ExitCode.INVALID
    assert f"{preset}: [preset] name" in completed.output


def test_node_with_missing_preset_file_exits_with_invalid(
    settings_path, tmp_path
):
    text = settings_path.read_text()
    missing = tmp_path / "none.ini"
    settings_path.write_text(f"{text}[preset]\nfile = {missing}\n")
    completed = _run_command("node", "--settings", str(settings_path))
    assert completed.exit_code == exit_codes.ExitCode.INVALID
    assert "[preset] file: " in completed.output
    assert "none.ini" in completed.output


def test_node_with_port_in_use_exits_with_failed(settings_path):
    preset = EXAMPLES / "lintasan" / "ordinary.ini"
    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        bound_socket.listen()
        port = bound_socket.getsockname()[1]
        text = settings_path.read_text()
        settings_path.write_text(
            f"{text}port = {port}\n[preset]\nfile = {preset}\n"
        )
        completed = _run_command("node", "--settings", str(settings_path))
    assert completed.exit_code == exit_codes.ExitCode.FAILED
    assert f"127.0.0.1:{port}" in completed.output


def test_every_exit_code_has_a_meaning():
    assert set(exit_codes.MEANINGS_BY_CODE) == set(exit_codes.ExitCode)


def test_help_does_not_load_the_reactor():
    code = (
        "import sys, bergamotdeal.cli.main\n"
        "heavy = {'twisted', 'capnp', 'structlog', 'statsd'}\n"
        "sys.exit(len(heavy & set(sys.modules)))\n"
    )
    process = subprocess.run([sys.executable, "-c", code], check=False)
    assert process.returncode == 0
