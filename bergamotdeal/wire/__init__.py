"""Frames and datagrams between nodes."""

__all__ = ["codec", "messages"]
