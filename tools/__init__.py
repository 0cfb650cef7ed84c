"""Tools for building and releasing the project."""
