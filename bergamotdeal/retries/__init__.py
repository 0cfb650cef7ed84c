"""Retry limits: an allowance per user request and a budget per service."""

__all__ = ["allowance", "budget", "server_budget"]
