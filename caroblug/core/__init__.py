"""Decisions without input or output: routing, limits, state, recovery."""
