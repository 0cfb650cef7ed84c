"""Choice of a server for each call."""

__all__ = ["core", "outliers", "rendezvous", "router"]
