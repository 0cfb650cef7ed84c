"""Organisations whose callers identify themselves by keys."""

__all__ = ["changes", "keys"]
