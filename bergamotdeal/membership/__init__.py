"""Fleet membership: gossip protocol, member states and node discovery."""

__all__ = ["choice", "core", "gossip", "messages", "registry", "rumours"]
