"""Cost-based admission control of user requests across the call graph."""

__all__ = [
    "book",
    "core",
    "costs",
    "gate",
    "intensity",
    "origins",
    "pressure",
]
