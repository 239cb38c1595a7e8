"""Generates docs/settings.md from the settings classes."""

import pathlib

import attrs

from caroblug.core.state import (
    ClientAccount,
    Limits,
    ModelRule,
    Objective,
    Placement,
    ServiceRule,
    Sharing,
)
from caroblug.entry import EntrySettings
from caroblug.node import describe_settings
from caroblug.side import SideSettings

_PAGE = pathlib.Path(__file__).parent / "settings.md"
_HEADER = """# Settings

Made by `python docs/make_settings.py` from the classes that check them.
Programs read a TOML file (`--config`); `--check-config` names every mistake.

"""
_BUNDLE_CLASSES = (
    ("Bundle: `[models.NAME]`", ModelRule),
    ("Bundle: `[services.NAME]`", ServiceRule),
    ("Bundle: `[client_accounts.NAME]`", ClientAccount),
    ("Bundle: `[limits]`", Limits),
    ("Bundle: `[sharing]`", Sharing),
    ("Bundle: `[[objectives]]`", Objective),
    ("Bundle: `[placements.ENGINE]`", Placement),
)


def make_page() -> str:
    """Returns the page as Markdown."""
    parts = [
        describe_settings("`caroblug-entry`", EntrySettings),
        describe_settings("`caroblug-side`", SideSettings),
    ]
    for title, cls in _BUNDLE_CLASSES:
        if attrs.fields(cls):
            parts.append(describe_settings(title, cls))
    return _HEADER + "\n".join(parts)


if __name__ == "__main__":
    _PAGE.write_text(make_page())
