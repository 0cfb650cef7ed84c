"""Tests that span several subpackages."""
