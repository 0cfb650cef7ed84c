"""Quarantine of requests that crash backend servers."""

__all__ = ["register"]
