"""Caps on the request rates of organisations, enforced with leased tokens."""

__all__ = ["cache", "core", "hosts", "messages", "owner"]
