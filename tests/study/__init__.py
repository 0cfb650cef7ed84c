"""Tests of the admission control simulation."""
