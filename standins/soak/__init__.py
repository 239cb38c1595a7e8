"""A long randomised run over real processes, checked from outside."""
