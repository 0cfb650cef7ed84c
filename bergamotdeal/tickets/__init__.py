"""Tickets that let a non-repeatable request run at most once."""
