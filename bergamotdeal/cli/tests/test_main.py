import pathlib
import socket
import subprocess
import sys

from click import testing
import pytest

from bergamotdeal.cli import exit_codes
from bergamotdeal.cli import main

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


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


def test_settings_check_reads_the_preset_file_too(settings_path, tmp_path):
    preset = tmp_path / "preset.ini"
    preset.write_text("[preset]\nname = Bad Name\n")
    text = settings_path.read_text()
    settings_path.write_text(f"{text}[preset]\nfile = {preset}\n")
    run = _run("settings", "check", str(settings_path))
    assert run.exit_code == exit_codes.ExitCode.INVALID
    assert f"{preset}: [preset] name" in run.output


def test_a_node_without_its_preset_file_says_so(settings_path, tmp_path):
    text = settings_path.read_text()
    missing = tmp_path / "none.ini"
    settings_path.write_text(f"{text}[preset]\nfile = {missing}\n")
    run = _run("node", "--settings", str(settings_path))
    assert run.exit_code == exit_codes.ExitCode.INVALID
    assert "[preset] file: " in run.output
    assert "none.ini" in run.output


def test_a_node_whose_port_is_taken_says_so(settings_path):
    preset = EXAMPLES / "lintasan" / "ordinary.ini"
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        text = settings_path.read_text()
        settings_path.write_text(
            f"{text}port = {port}\n[preset]\nfile = {preset}\n"
        )
        run = _run("node", "--settings", str(settings_path))
    assert run.exit_code == exit_codes.ExitCode.FAILED
    assert f"127.0.0.1:{port}" in run.output


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
