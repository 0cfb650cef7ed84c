"""The closed list of error kinds and the answer that each one maps to."""

__all__ = ["core"]
