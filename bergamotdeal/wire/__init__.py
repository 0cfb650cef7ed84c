"""Encoding of the frames and datagrams between nodes."""

__all__ = ["codec", "messages"]
