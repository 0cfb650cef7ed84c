"""Admission control and load shedding on the node beside a server."""

__all__ = ["controller", "core", "feedback"]
