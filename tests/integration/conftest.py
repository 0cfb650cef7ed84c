"""Fixtures that build the one-file binary on a tmpfs for a test module."""

import os
import pathlib
import subprocess
import tempfile

import pytest

from tools import build_binary

TMPFS = pathlib.Path("/dev/shm")
COMMAND_TIMEOUT_S = 60


class Binary:
    """The one-file binary and the folder that it unpacks to.

    Attributes:
      path: Path of the binary.
      folder: Folder that it unpacks to.
    """

    def __init__(self, *, folder):
        self.folder = folder
        self.path = folder / "bergamotdeal"
        build_binary.build(self.path)

    @property
    def environment(self):
        """Variables under which only the binary can import the package."""
        variables = {
            name: value
            for name, value in os.environ.items()
            if name != "PYTHONPATH" and not name.startswith("BERGAMOTDEAL")
        }
        return variables | {
            "SHIV_ROOT": str(self.folder),
            "HOME": "/nonexistent",
        }

    def run(self, *arguments, **options):
        """Runs a command of the binary to its end."""
        return subprocess.run(
            [self.path, *arguments],
            check=False,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            cwd=self.folder,
            env=self.environment,
            **options,
        )

    def start(self, *arguments):
        """Starts a command of the binary without waiting for it."""
        return subprocess.Popen(
            [self.path, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            cwd=self.folder,
            env=self.environment,
        )


@pytest.fixture(scope="module")
def tmpfs(tmp_path_factory):
    """Yields a folder on a tmpfs, or on disk if there is no tmpfs."""
    if not os.access(TMPFS, os.W_OK):
        yield tmp_path_factory.mktemp("binary")
        return
    with tempfile.TemporaryDirectory(dir=TMPFS) as name:
        yield pathlib.Path(name)


@pytest.fixture(scope="module")
def binary(tmpfs):
    return Binary(folder=tmpfs)
