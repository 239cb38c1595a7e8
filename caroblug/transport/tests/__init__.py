"""Tests of the transport package."""
