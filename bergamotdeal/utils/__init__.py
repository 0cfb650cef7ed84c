"""Utilities shared by the subpackages."""

__all__ = ["headers", "ini", "log_stream"]
