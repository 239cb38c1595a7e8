"""Tests of the transport."""
