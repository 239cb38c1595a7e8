"""Tests of the side package."""
