"""Tests of the shared parts of entry and side."""
