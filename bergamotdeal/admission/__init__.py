"""Admission and load shedding at a target's node."""

__all__ = ["controller", "core", "feedback", "hashing"]
