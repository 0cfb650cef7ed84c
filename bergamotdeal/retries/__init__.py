"""Bounds on re-sends: per user request and per service."""

__all__ = ["allowance", "budget"]
