"""Tests of the side process."""
