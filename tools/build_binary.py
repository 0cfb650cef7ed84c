"""Builds ``dist/bergamotdeal``, one executable file.

The file is a zip application made by shiv. It holds the package and the
pinned runtime libraries as they are installed in this environment, so that
the build needs no network. Equal inputs give an equal file.
"""

from collections.abc import Iterator
from importlib import metadata
import pathlib
import shutil
import subprocess
import sys
import tempfile

from shiv import cli

ROOT = pathlib.Path(__file__).resolve().parent.parent
REQUIREMENTS_PATH = ROOT / "requirements" / "runtime.txt"
OUTPUT_PATH = ROOT / "dist" / "bergamotdeal"
ENTRY_POINT = "bergamotdeal.__main__.run"
_EXCLUDED_FOLDERS = frozenset(("test", "tests", "__pycache__", "bin"))
_SOURCE_SUFFIXES = frozenset((".c", ".cpp", ".h", ".pxd", ".pyi", ".pyx"))
"""Sources of compiled modules, which take room on the hosts' tmpfs."""


class BuildError(Exception):
    """The environment doesn't hold what the binary needs."""


def pinned_versions(text: str) -> Iterator[tuple[str, str]]:
    """Yields the name and version of each pinned requirement.

    Args:
      text: Content of a requirements file.
    """
    for line in text.splitlines():
        line = line.partition("#")[0].strip()
        if line:
            name, _, version = line.partition("==")
            yield name, version


def stage_library(name: str, version: str, folder: pathlib.Path) -> None:
    """Copies an installed library without its tests.

    Args:
      name: Name of the distribution.
      version: Version that must be installed.
      folder: Where the files go.

    Raises:
      BuildError: Another version is installed, or none.
    """
    try:
        library = metadata.distribution(name)
    except metadata.PackageNotFoundError as error:
        raise BuildError(f"{name} is not installed") from error
    if library.version != version:
        raise BuildError(f"{name} {library.version} is not {version}")
    for file in library.files or ():
        if _EXCLUDED_FOLDERS & set(file.parts) or ".." in file.parts:
            continue
        if file.suffix in _SOURCE_SUFFIXES:
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def strip_modules(folder: pathlib.Path) -> None:
    """Takes the debugging symbols out of compiled modules.

    Without ``strip`` on this machine the file is larger and works the same.

    Args:
      folder: The staged files.
    """
    program = shutil.which("strip")
    if program is None:
        print("strip is not installed: the binary keeps debugging symbols")
        return
    for path in sorted(folder.rglob("*.so")):
        subprocess.run([program, "--strip-debug", str(path)], check=True)


def stage_package(folder: pathlib.Path) -> None:
    """Copies the project's own package without its tests.

    Args:
      folder: Where the files go.
    """
    shutil.copytree(
        ROOT / "bergamotdeal",
        folder / "bergamotdeal",
        ignore=shutil.ignore_patterns(*_EXCLUDED_FOLDERS),
    )


def build(output_path: pathlib.Path) -> None:
    """Builds the executable file.

    Args:
      output_path: Where it goes.
    """
    output_path.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        text = REQUIREMENTS_PATH.read_text(encoding="utf-8")
        for library, version in pinned_versions(text):
            stage_library(library, version, folder)
        strip_modules(folder)
        stage_package(folder)
        for path in folder.rglob("*"):
            path.chmod(0o755 if path.is_dir() else 0o644)
        cli.main.main(
            args=[
                *("--site-packages", str(folder)),
                *("--output-file", str(output_path)),
                *("--entry-point", ENTRY_POINT),
                *("--python", _interpreter()),
                "--reproducible",
            ],
            standalone_mode=False,
        )


def _interpreter() -> str:
    # Compiled libraries fit one minor version of the interpreter.
    major, minor = sys.version_info[:2]
    return f"/usr/bin/env python{major}.{minor}"


def main() -> None:
    """Builds the file at its usual place."""
    build(OUTPUT_PATH)
    size = OUTPUT_PATH.stat().st_size
    print(f"{OUTPUT_PATH.relative_to(ROOT)}: {size} bytes")


if __name__ == "__main__":
    main()
