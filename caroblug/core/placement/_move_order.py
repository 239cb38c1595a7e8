"""Order of a plan's moves, and which of them wait for the next plan."""

import collections

from caroblug.core.placement._move import Move
from caroblug.core.placement._types import Engine

_MAX_PARALLEL_LOADS = 8
"""Loads that run at full speed. Further ones share the bandwidth, so that all
of them take longer."""


def select_moves(moves: list[Move], engines: list[Engine]) -> list[Move]:
    """Returns the moves to order now, the most pressing first.

    Layers that no engine serves come first, then layers that have a single
    holder. While one of these is to be loaded or is loading, other moves are
    ordered only as long as no more loads run in all than run at full speed.
    The others are left to a later plan.

    Args:
        moves: Moves of a plan.
        engines: Engines for which it was computed.
    """
    pressing = [m for m in moves if m.urgent]
    pressing += [m for m in moves if m.adds_second_holder and not m.urgent]
    others = [m for m in moves if not m.urgent and not m.adds_second_holder]
    if not pressing and not _is_pressing_load_running(engines):
        return others
    running = sum(engine.loading for engine in engines)
    free = _MAX_PARALLEL_LOADS - running - len(pressing)
    return pressing + others[: max(0, free)]


def _is_pressing_load_running(engines: list[Engine]) -> bool:
    """Returns whether an engine loads layers that at most one other serves."""
    if not any(engine.loading for engine in engines):
        return False
    serving = collections.Counter(
        (engine.data_centre, layer)
        for engine in engines
        if not engine.loading
        for layer in engine.holds
    )
    return any(
        serving[engine.data_centre, layer] < 2
        for engine in engines
        if engine.loading
        for layer in engine.holds
    )
