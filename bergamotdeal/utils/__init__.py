"""Utilities shared by the subpackages."""

__all__ = ["hashing", "headers", "ini", "listening", "log_stream"]
