"""Utilities shared by the subpackages."""

__all__ = ["hashing", "headers", "ini", "log_stream"]
