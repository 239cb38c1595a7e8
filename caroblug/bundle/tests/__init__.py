"""Tests of the `caroblug-bundle` command."""
