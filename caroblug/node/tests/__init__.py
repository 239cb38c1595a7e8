"""Tests of what every instance has in common."""
