"""Tests of the check of responses."""
