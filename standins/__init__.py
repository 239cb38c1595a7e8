"""Stand-ins for external systems, for tests and benchmarks; not shipped."""
