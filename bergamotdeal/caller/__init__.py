"""Client library for callers of services."""

__all__ = ["blocking", "core", "deferred"]
