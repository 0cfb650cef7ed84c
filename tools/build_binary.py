"""Builds ``dist/bergamotdeal``, one executable file.

The file is a zip application made by shiv. It contains the package and the
pinned runtime libraries as they are installed in this environment, so that
the build needs no network. The build is reproducible: equal inputs give an
equal file.
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
_EXCLUDED_DIRECTORIES = frozenset(("test", "tests", "__pycache__", "bin"))
_SOURCE_SUFFIXES = frozenset((".c", ".cpp", ".h", ".pxd", ".pyi", ".pyx"))
"""Sources of compiled modules; they would only use the hosts' tmpfs."""


class BuildError(Exception):
    """Error for a pinned library that is missing or has another version."""


def parse_pinned_versions(text: str) -> Iterator[tuple[str, str]]:
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
      version: Pinned version.
      folder: Directory that receives the files.

    Raises:
      BuildError: The library is missing or has another version.
    """
    try:
        library = metadata.distribution(name)
    except metadata.PackageNotFoundError as error:
        raise BuildError(f"{name} is not installed") from error
    if library.version != version:
        raise BuildError(f"{name} {library.version} is not {version}")
    for file in library.files or ():
        if _EXCLUDED_DIRECTORIES & set(file.parts) or ".." in file.parts:
            continue
        if file.suffix in _SOURCE_SUFFIXES:
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def strip_debug_symbols(folder: pathlib.Path) -> None:
    """Strips the debugging symbols of compiled modules.

    Where ``strip`` is not installed, the executable is larger and works the
    same.

    Args:
      folder: Directory with the staged files.
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
      folder: Directory that receives the package.
    """
    shutil.copytree(
        ROOT / "bergamotdeal",
        folder / "bergamotdeal",
        ignore=shutil.ignore_patterns(*_EXCLUDED_DIRECTORIES),
    )


def build(output_path: pathlib.Path) -> None:
    """Builds the executable file.

    Args:
      output_path: Path of the file to write.
    """
    output_path.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as staging_path:
        folder = pathlib.Path(staging_path)
        text = REQUIREMENTS_PATH.read_text(encoding="utf-8")
        for library, version in parse_pinned_versions(text):
            stage_library(library, version, folder)
        strip_debug_symbols(folder)
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
    # Compiled modules are bound to one minor version of the interpreter.
    major, minor = sys.version_info[:2]
    return f"/usr/bin/env python{major}.{minor}"


def main() -> None:
    """Builds ``dist/bergamotdeal`` and prints its size."""
    build(OUTPUT_PATH)
    size = OUTPUT_PATH.stat().st_size
    print(f"{OUTPUT_PATH.relative_to(ROOT)}: {size} bytes")


if __name__ == "__main__":
    main()
