"""The closed set of error kinds and the answer for each of them."""

__all__ = ["core"]
