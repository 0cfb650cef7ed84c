"""Client of the platform's object API, the store."""

__all__ = ["backoff", "budget", "core", "http", "http_calls", "http_connection"]
