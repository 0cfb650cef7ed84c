"""Bounds on re-sends per user request and per service."""
