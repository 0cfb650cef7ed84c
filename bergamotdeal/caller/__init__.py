"""Client library for callers of the fleet."""

__all__ = ["blocking", "core", "deferred"]
