"""Tickets by which a request that must not be repeated runs at most once."""

__all__ = ["core", "mint", "table"]
