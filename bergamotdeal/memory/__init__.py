"""Limit on the memory that the bodies of requests and answers take."""
