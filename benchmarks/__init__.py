"""Benchmarks; each prints its result as one JSON object on the last line."""
