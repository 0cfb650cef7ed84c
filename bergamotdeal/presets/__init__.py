"""Presets: model, file format, storage and distribution to the nodes."""

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
