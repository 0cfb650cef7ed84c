"""Notices that a file was changed."""

import pathlib


class FileChangeDetector:
    """What changes with a file's content.

    Args:
      path: The file.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self._path = path
        self._taken = self._read()

    def mark_seen(self) -> None:
        """Takes the file as it is now for known."""
        self._taken = self._read()

    def has_changed(self) -> bool:
        """Whether the file is another than the known one."""
        return self._read() != self._taken

    def _read(self) -> tuple[int, int] | None:
        """Returns time and size, None while there is no file."""
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size
