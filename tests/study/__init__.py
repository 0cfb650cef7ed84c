"""Tests of the study."""
