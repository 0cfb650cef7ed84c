"""Time line, structured logs and metrics."""

__all__ = ["catalogue", "clock", "log", "metrics", "recorder", "ring"]
