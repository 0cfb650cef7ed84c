"""Simulated platform, backend servers and networks for tests."""
