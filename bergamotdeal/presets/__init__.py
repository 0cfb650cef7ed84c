"""Presets: their model, their files and the one that is in force."""

__all__ = [
    "codec",
    "follower",
    "in_force",
    "library",
    "model",
    "parser",
    "sections",
    "switch",
]
