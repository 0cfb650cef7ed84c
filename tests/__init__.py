"""Tests over several subpackages."""
