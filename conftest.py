"""Pytest configuration: Hypothesis profiles and known failures.

The default profile `ci` draws the same examples in each run.
`--hypothesis-profile=long` draws random ones, and many more.

Tests listed in `KNOWN-RED.txt` run like the others, but their failures are
only reported.
"""

import pathlib

import hypothesis
import pytest

_KNOWN_RED = pathlib.Path(__file__).with_name("KNOWN-RED.txt")

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    "long", max_examples=3000, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")


def _read_known_failures() -> dict[str, str]:
    """Returns the reasons of the listed known failures by test."""
    if not _KNOWN_RED.exists():
        return {}
    reasons = {}
    for line in _KNOWN_RED.read_text().splitlines():
        test, separator, reason = line.partition(" | ")
        if separator and not line.startswith("#"):
            reasons[test.strip()] = reason.strip()
    return reasons


def pytest_collection_modifyitems(items):
    """Marks the listed tests as expected failures."""
    reasons = _read_known_failures()
    for item in items:
        if item.nodeid in reasons:
            reason = f"KNOWN-RED: {reasons[item.nodeid]}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
