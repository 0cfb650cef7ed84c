"""Discrete-event simulation of admission control in a synchronous chain."""

__all__ = ["model", "report", "simulation"]
