"""Tests that the capacity page is generated from the measurements."""

import pathlib
import runpy

_DOCS = pathlib.Path(__file__).parents[3] / "docs"


def test_table_is_up_to_date():
    make_page = runpy.run_path(str(_DOCS / "make_capacity.py"))["make_page"]
    text = (_DOCS / "CAPACITY.md").read_text()
    assert make_page(text) == text, "run: python docs/make_capacity.py"
