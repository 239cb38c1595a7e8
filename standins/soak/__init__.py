"""Randomised soak test over real processes, checked from outside."""
