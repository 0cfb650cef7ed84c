"""Admission and load shedding at a target's node."""
