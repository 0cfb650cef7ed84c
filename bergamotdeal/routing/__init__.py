"""Choice of a server for each call."""

__all__ = ["core", "known_services", "outliers", "rendezvous", "router"]
