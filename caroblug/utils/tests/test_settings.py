"""Tests for settings: every mistake is reported with its file and key."""

import attrs

from caroblug.utils import SettingsRejected, count, load_settings, name


@attrs.frozen(kw_only=True)
class _Inner:
    size: int = count(1, 9, "Size.")


@attrs.frozen(kw_only=True)
class _Outer:
    label: str = name("Label.")
    inner: _Inner = attrs.field()


def _load(tmp_path, text):
    path = tmp_path / "site.toml"
    path.write_text(text)
    return load_settings(str(path), _Outer)


def test_good_settings(tmp_path):
    loaded = _load(tmp_path, 'label = "a"\n[inner]\nsize = 3\n')
    assert loaded == _Outer(label="a", inner=_Inner(size=3))


def test_every_mistake_is_reported(tmp_path):
    loaded = _load(tmp_path, 'label = "A B"\nextra = 1\n[inner]\nsize = "x"\n')
    assert isinstance(loaded, SettingsRejected)
    text = "\n".join(str(p) for p in loaded.problems)
    assert "site.toml: extra: is unknown; allowed here: label" in text
    assert "site.toml: inner.size: must be of type int, got 'x'" in text
    assert "site.toml: label: must be 1 to 63 of a-z" in text


def test_value_out_of_range(tmp_path):
    loaded = _load(tmp_path, 'label = "a"\n[inner]\nsize = 12\n')
    assert isinstance(loaded, SettingsRejected)
    (problem,) = loaded.problems
    assert "inner.size: must be a whole number from 1 to 9, got 12" in str(
        problem
    )


def test_missing_file():
    loaded = load_settings("no-such-file.toml", _Outer)
    assert isinstance(loaded, SettingsRejected)
