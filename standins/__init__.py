"""Stand-ins for the platform, backend servers and networks in tests."""
