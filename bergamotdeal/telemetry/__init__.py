"""Event time line, structured logs and metrics of a node."""

__all__ = [
    "catalogue",
    "clock",
    "log",
    "metrics",
    "recorder",
    "records",
    "ring",
]
