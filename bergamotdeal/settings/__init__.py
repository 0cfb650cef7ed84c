"""Settings of a node, read from an INI file."""

__all__ = ["model", "parser"]
