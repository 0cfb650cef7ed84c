"""Value types of requests, calls, answers and load reports."""

__all__ = ["core"]
