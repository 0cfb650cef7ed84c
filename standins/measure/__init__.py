"""Measures goodput, recovery, latency and control cost of real nodes."""
