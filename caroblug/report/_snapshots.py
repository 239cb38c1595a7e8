"""Snapshots of instances' metrics and the differences between them."""

import json
import pathlib
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

from caroblug.report._pages import Counts, Page, Series, parse_page

_SUFFIX = ".snapshot.json"

_K = TypeVar("_K")


@attrs.frozen
class Snapshot:
    """The `/metrics` pages of several instances at about the same time.

    Attributes:
        time_s: Time in seconds since 1970.
        texts: Text of the page by address of the instance.
    """

    time_s: float
    texts: Mapping[str, str]

    def pages(self) -> dict[str, Page]:
        """Returns the parsed pages by address of the instance."""
        return {name: parse_page(text) for name, text in self.texts.items()}


def save_snapshot(snapshot: Snapshot, folder: pathlib.Path) -> pathlib.Path:
    """Writes a snapshot to a folder and returns the path of its file."""
    path = folder / f"{int(snapshot.time_s * 1000)}{_SUFFIX}"
    body = {"time_s": snapshot.time_s, "texts": dict(snapshot.texts)}
    path.write_text(json.dumps(body))
    return path


def load_snapshots(folder: pathlib.Path) -> list[Snapshot]:
    """Returns all snapshots in a folder, oldest first.

    Raises:
        OSError: If a file can't be read.
        ValueError: If a file is not a snapshot.
    """
    snapshots = []
    for path in sorted(folder.glob(f"*{_SUFFIX}")):
        body: Any = json.loads(path.read_text())
        if not isinstance(body, dict) or set(body) != {"time_s", "texts"}:
            raise ValueError(f"{path.name} is not a snapshot")
        snapshots.append(Snapshot(float(body["time_s"]), body["texts"]))
    return sorted(snapshots, key=lambda snapshot: snapshot.time_s)


def diff_pages(old: Mapping[str, Page], new: Mapping[str, Page]) -> Page:
    """Returns the increases of all instances between two snapshots.

    The counts of an instance that restarted in between began again at zero. If
    any counter of an instance fell, all its new counts are taken as increases:
    the result is never negative and lacks only what the old process counted
    after its last snapshot.

    Args:
        old: Pages of the earlier snapshot, by instance.
        new: Pages of the later snapshot, by instance.

    Returns:
        A page with the sums of the increases.
    """
    latencies: dict[Series, Counts] = {}
    counters: dict[Series, float] = {}
    accounts: dict[str, float] = {}
    empty = Page({}, {}, {})
    for name, page in new.items():
        before = old.get(name, empty)
        restarted = _has_decreased(before.counters, page.counters)
        base = empty if restarted else before
        for series, counts in page.latencies.items():
            total = latencies.setdefault(series, {})
            _add_count_increases(total, counts, base.latencies.get(series, {}))
        _add_increases(counters, page.counters, base.counters)
        _add_increases(accounts, page.accounts, base.accounts)
    return Page(latencies, counters, accounts)


def _has_decreased(old: Mapping[_K, float], new: Mapping[_K, float]) -> bool:
    return any(new.get(key, 0) < value for key, value in old.items())


def _add_count_increases(total: Counts, counts: Counts, base: Counts) -> None:
    for bucket, count in counts.items():
        change = count - base.get(bucket, 0)
        if change > 0:
            total[bucket] = total.get(bucket, 0) + change


def _add_increases(
    total: dict[_K, float], new: Mapping[_K, float], base: Mapping[_K, float]
) -> None:
    for key, value in new.items():
        change = value - base.get(key, 0)
        if change > 0:
            total[key] = total.get(key, 0) + change
