"""Files of the version that runs before an upgrade to this one."""

import io
import pathlib
import subprocess
import tarfile
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
DEPLOY_FILE = ROOT / "deploy" / "system.toml"


def extract(folder: pathlib.Path, *paths: str) -> pathlib.Path:
    """Extracts files and folders of the previous version.

    Args:
      folder: Empty folder for the files.
      *paths: Paths relative to the root of the repository.

    Returns:
      The folder.
    """
    commit = tomllib.loads(DEPLOY_FILE.read_text())["production"]
    archive = subprocess.run(
        ["git", "archive", commit, *paths],
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as packed:
        packed.extractall(folder, filter="data")
    return folder
