"""A discrete-event study of the admission core in a synchronous chain."""

__all__ = ["model", "report", "simulation"]
