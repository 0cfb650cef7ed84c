"""Detection of file changes by modification time and size."""

import pathlib


class FileChangeDetector:
    """A detector of changes to a file since it was last marked as seen.

    Args:
      path: Path of the file.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self._path = path
        self._seen = self._read_state()

    def mark_seen(self) -> None:
        """Records the current state of the file as seen."""
        self._seen = self._read_state()

    def has_changed(self) -> bool:
        """Returns whether the file differs from its last seen state."""
        return self._read_state() != self._seen

    def _read_state(self) -> tuple[int, int] | None:
        """Returns modification time in ns and size in bytes, or None."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
