"""Time line, structured logs and metrics."""

__all__ = ["catalogue"]
