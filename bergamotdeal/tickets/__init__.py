"""Tickets: at-most-once execution of non-repeatable requests."""

__all__ = ["core", "mint", "table"]
