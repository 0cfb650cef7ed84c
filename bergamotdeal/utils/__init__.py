"""Small helpers shared by the subpackages."""

__all__ = ["ini"]
