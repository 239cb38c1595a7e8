"""Tests that the settings reference is generated from the classes."""

import pathlib
import runpy

_DOCS = pathlib.Path(__file__).parents[3] / "docs"


def test_page_is_up_to_date():
    page = runpy.run_path(str(_DOCS / "make_settings.py"))["make_page"]()
    assert (_DOCS / "settings.md").read_text() == page, (
        "run: python docs/make_settings.py"
    )
