"""Benchmarks of goodput, recovery, latency and control-plane overhead."""
