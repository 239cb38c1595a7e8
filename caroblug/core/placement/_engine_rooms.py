"""Free memory of each engine, as engines report it."""

import heapq
import math
import random
from collections.abc import Container

import attrs

from caroblug.core.placement._load import EngineLoads
from caroblug.core.placement._room_parts import RoomParts
from caroblug.core.placement._types import Engine, ModelShape

_DECAY_BEGIN_MS = 1500
"""Age from which a report counts less and less. Reports are read every 500 ms
and reach all gateways of a large data centre within three exchange rounds."""

_MAX_AGE_MS = 3000
"""Age from which a report no longer counts."""

_MIN_SPACING_MS = 100
"""Time between two reports below which the later one is taken for the earlier.
The age of a report excludes its transmission, so that a report that is passed
on several times seems to get newer."""

_MARK_MS = 1000
"""Time for which an engine has no room after it reported waiting requests or
rejected one, unless it reports again."""

_MAX_VALID_USE = 1.5
"""Reported share of the memory above which a report can't be right."""

_MAX_COUNT = 1_000_000
"""Reported number of requests above which a report can't be right."""

_MAX_UNSEEN_USE = 0.1
"""Largest share of an engine's memory that unseen requests of other gateways
count for in the cost of a path. A larger one would send requests of a busy
gateway to other data centres although local engines have room."""

_MARGIN = 0.025
"""Share of an engine's memory that is left free below the maximum use.
Requests grow after they are admitted, by an amount that isn't known."""

_MAX_OVERLAP_USE = 0.2
"""Share of an engine's memory that one request of each other gateway may take
for gateways to use its free memory without dividing it."""

_MAX_OVERLAP_MARGIN = 0.05
"""Share of an engine's memory that is left free where it isn't divided, for
requests that several gateways send at once."""

_BAND = 0.08
"""Share of the memory above that limit over which fewer and fewer requests that
end are replaced, from all down to none."""

_COMPLETENESS = 0.5
"""Share of a request for which there may be no room in a gateway's part.
Without it, the rest of each part would remain unused."""

_MIN_COUNTED_USE = 0.5
"""Share of an engine's memory, as gateways count it, up to which the memory of
an engine without a report is used without regard to other gateways."""

_MESSAGE_AGE_MS = 300
"""Mean age of what this gateway knows of its peers' requests."""


@attrs.frozen
class RoomReport:
    """What an engine reports about its memory and its queue.

    Attributes:
        use: Share of the memory for requests that is in use; None if the
            engine doesn't report it.
        running: Number of requests running.
        waiting: Number of requests waiting for a slot or for memory.
        measured_ms: When this was so.
    """

    use: float | None
    running: int
    waiting: int
    measured_ms: int


@attrs.define
class _Room:
    """State of one engine.

    Attributes:
        report: Latest report; None if there is none yet.
        marked_ms: When the engine last had waiting requests or rejected one;
            -1 if it reported free memory since.
        busy_share: Share of its slots that are taken, by its latest response.
        busy_ms: When that response arrived.
    """

    report: RoomReport | None = None
    marked_ms: int = -1
    busy_share: float = 0.0
    busy_ms: int = -_MAX_AGE_MS


class EngineRooms:
    """Estimates the memory use of engines and which of them have room.

    The use of an engine is the use it reported and what gateways have changed
    since, or what `EngineLoads` counts if its last report is too old. Several
    gateways must not fill the same free memory. Each one may replace its own
    requests that have ended, and uses its share of the remaining free memory
    in each round.

    Args:
        loads: Tokens of all gateways' requests on each engine.
        data_centre: Data centre of this gateway.
        rng: Source of randomness.
    """

    def __init__(
        self, loads: EngineLoads, data_centre: str, rng: random.Random
    ) -> None:
        self._loads = loads
        self._parts = RoomParts(loads, data_centre, rng)
        self._rooms: dict[str, _Room] = {}
        self._mean_use: float | None = None

    def on_report(self, name: str, report: RoomReport, now_ms: int) -> bool:
        """Records a report unless it is older than the last one.

        Args:
            name: Name of the engine.
            report: Its report.
            now_ms: Current time.

        Returns:
            Whether its values are possible; if not, it is ignored.
        """
        if not _is_valid(report, now_ms):
            return False
        if now_ms - report.measured_ms >= _MAX_AGE_MS:
            return True
        room = self._rooms.setdefault(name, _Room())
        last = room.report
        if last is not None and (
            report.measured_ms < last.measured_ms + _MIN_SPACING_MS
        ):
            return True
        room.report = report
        if report.waiting:
            room.marked_ms = now_ms
        elif report.measured_ms > room.marked_ms:
            room.marked_ms = -1
        return True

    def on_load(
        self,
        name: str,
        running: int,
        waiting: int,
        slots: int | None,
        now_ms: int,
    ) -> bool:
        """Records the load that a response of an engine states.

        Args:
            name: Name of the engine.
            running: Number of requests running.
            waiting: Number of requests waiting.
            slots: Number of requests that can run at once; None if unknown.
            now_ms: Current time.

        Returns:
            Whether its values are possible; if not, it is ignored.
        """
        if not _is_count(running) or not _is_count(waiting):
            return False
        room = self._rooms.setdefault(name, _Room())
        if slots:
            room.busy_share = (running + waiting) / slots
            room.busy_ms = now_ms
        if waiting:
            room.marked_ms = now_ms
        return True

    def on_rejected(self, name: str, now_ms: int) -> None:
        """Records that an engine rejected a request for lack of room."""
        self._rooms.setdefault(name, _Room()).marked_ms = now_ms

    def retain(self, names: Container[str]) -> None:
        """Removes all engines but the named ones."""
        for name in [name for name in self._rooms if name not in names]:
            del self._rooms[name]

    def report_age_ms(self, name: str, now_ms: int) -> int | None:
        """Returns the age of an engine's latest report; None without one."""
        room = self._rooms.get(name)
        if room is None or room.report is None:
            return None
        return now_ms - room.report.measured_ms

    def fresh_reports(
        self, engines: list[Engine], now_ms: int
    ) -> list[RoomReport]:
        """Returns the reports of some engines that still count."""
        reports = [self._fresh_report(e.name, now_ms) for e in engines]
        return [report for report in reports if report is not None]

    def newest(self, now_ms: int, limit: int) -> dict[str, RoomReport]:
        """Returns the newest reports that still count.

        Args:
            now_ms: Current time.
            limit: Maximum number of reports.

        Returns:
            Report by name of the engine.
        """
        reports = [
            (room.report.measured_ms, name)
            for name, room in self._rooms.items()
            if room.report is not None
            and now_ms - room.report.measured_ms < _MAX_AGE_MS
        ]
        return {
            name: self._rooms[name].report
            for _, name in heapq.nlargest(limit, reports)
        }

    def use(self, engine: Engine, model: ModelShape, now_ms: int) -> float:
        """Returns the estimated share of an engine's memory that is in use."""
        counted = self._loads.memory_use(engine, model)
        report = self._fresh_report(engine.name, now_ms)
        if report is None or report.use is None:
            return counted
        capacity = _capacity(engine, model)
        # A request that was sent in the same ms isn't in the report.
        own = self._loads.own_change(engine.name, report.measured_ms - 1)
        peers = self._loads.peer_change(engine.name, report.measured_ms)
        unseen = max(0.0, own) * self._others(engine, now_ms)
        use = report.use + (own + peers) / capacity
        use += min(_MAX_UNSEEN_USE, unseen / capacity)
        weight = _weight(now_ms - report.measured_ms)
        return max(0.0, use * weight + counted * (1.0 - weight))

    def load(self, engine: Engine, model: ModelShape, now_ms: int) -> float:
        """Returns how full an engine is at least, by any of the signs of it.

        Returns:
            The share of its memory or of its slots that is in use; at least 1
            if it has waiting requests or rejected one.
        """
        if self._fresh_report(engine.name, now_ms) is not None:
            use = self.use(engine, model, now_ms)
        else:
            use = self._loads.reported_tokens(engine.name)
            use /= _capacity(engine, model)
        room = self._rooms.get(engine.name)
        if room is None:
            return use
        if self._is_marked(room, now_ms):
            return max(1.0, use)
        if now_ms - room.busy_ms < _MARK_MS:
            return max(room.busy_share, use)
        return use

    def has_room(
        self,
        engine: Engine,
        model: ModelShape,
        tokens: int,
        max_use: float,
        now_ms: int,
    ) -> bool:
        """Returns whether an engine has memory for a request of this gateway.

        `begin_search` must have been called for the request.

        Args:
            engine: The engine.
            model: The model.
            tokens: Tokens that the request will hold.
            max_use: Share of the memory that may be in use with the request.
            now_ms: Current time.
        """
        name = engine.name
        room = self._rooms.get(name)
        if room is not None and self._is_marked(room, now_ms):
            return False
        capacity = model.token_capacity(engine.kind, len(engine.holds))
        if capacity <= 0:
            return False
        report = self._fresh_report(name, now_ms)
        if report is None:
            return self._fits_counts(engine, model, tokens, max_use, now_ms)
        if report.use is None:
            return True
        overlap = self._parts.overlap_use(engine, capacity)
        if overlap <= _MAX_OVERLAP_USE:
            # Parts would leave memory unused, as callers are spread unevenly
            # over gateways. Few gateways rarely send to the same engine
            # between two reports, so that a margin is enough.
            limit = max_use - min(_MAX_OVERLAP_MARGIN, overlap)
            limit -= self._parts.remote_reserve(engine)
            return self.use(engine, model, now_ms) + tokens / capacity <= limit
        changed = own = self._loads.own_change(name, report.measured_ms)
        changed += self._loads.peer_change(name, report.measured_ms)
        part = self._parts.part(engine)
        excess = report.use + changed / capacity - (max_use - _MARGIN)
        if excess >= 0.0:
            if excess / _BAND > self._parts.rounding:
                return False
            part = 0.0
        if not self._parts.is_local(engine):
            own = max(0.0, own)
        if report.measured_ms > self._parts.round_ms:
            # What this gateway has added in this round was taken from its part
            # even if the report already includes it.
            added = self._loads.own_change(name, self._parts.round_ms)
            own = max(own, added)
        return own + tokens <= part + _COMPLETENESS * tokens

    def begin_search(
        self,
        engines: list[Engine],
        model: ModelShape,
        tokens: int,
        max_use: float,
        now_ms: int,
    ) -> None:
        """Prepares `has_room` for a request.

        Args:
            engines: Engines that the request may use.
            model: The model.
            tokens: Tokens that the request will hold.
            max_use: Share of the memory that may be in use with the request.
            now_ms: Current time.
        """
        self._parts.begin_round(now_ms)
        if not self._loads.has_peers:
            self._mean_use = self._compute_mean_use(engines, now_ms)

        def find_use(engine: Engine) -> float | None:
            report = self._fresh_report(engine.name, now_ms)
            if report is not None:
                return report.use
            if self._loads.has_peers:
                return self._loads.memory_use(engine, model)
            return None

        self._parts.begin_search(
            engines, model, tokens, max_use - _MARGIN, find_use
        )

    def _fits_counts(
        self,
        engine: Engine,
        model: ModelShape,
        tokens: int,
        max_use: float,
        now_ms: int,
    ) -> bool:
        """Returns whether there is room by what gateways count themselves."""
        capacity = _capacity(engine, model)
        name = engine.name
        rounding = self._parts.rounding * tokens
        if self._loads.has_peers:
            recent = self._loads.own_change(name, now_ms - _MESSAGE_AGE_MS)
            unseen = max(0.0, recent) * self._others(engine, now_ms)
            counted = self._loads.tokens(name) + unseen
            if counted + tokens > max_use * capacity:
                return False
            if counted <= _MIN_COUNTED_USE * capacity:
                return True
            added = self._loads.own_change(name, self._parts.round_ms)
            part = self._parts.part(engine)
            return max(recent, added) + tokens <= part + rounding
        # This gateway has just started or is cut off from all others. It uses
        # an equal part of the memory.
        share = self._parts.share(engine)
        part = max_use * capacity * share
        own = self._loads.own_tokens_on(name)
        mean_use = self._mean_use
        if mean_use is not None:
            added = self._loads.own_change(name, self._parts.round_ms)
            free = max(0.0, max_use - mean_use) * capacity
            part = min(part, own - added + free * share)
        return own + tokens <= part + rounding

    def _others(self, engine: Engine, now_ms: int) -> float:
        """Returns the tokens of other gateways for each token of this one."""
        self._parts.begin_round(now_ms)
        return 1.0 / self._parts.share(engine) - 1.0

    def _compute_mean_use(
        self, engines: list[Engine], now_ms: int
    ) -> float | None:
        """Returns the mean reported use; None if no engine has reported."""
        reports = self.fresh_reports(engines, now_ms)
        uses = [r.use for r in reports if r.use is not None]
        return sum(uses) / len(uses) if uses else None

    def _fresh_report(self, name: str, now_ms: int) -> RoomReport | None:
        room = self._rooms.get(name)
        if room is None or room.report is None:
            return None
        if now_ms - room.report.measured_ms >= _MAX_AGE_MS:
            return None
        return room.report

    def _is_marked(self, room: _Room, now_ms: int) -> bool:
        return room.marked_ms >= 0 and now_ms - room.marked_ms < _MARK_MS


def _capacity(engine: Engine, model: ModelShape) -> float:
    """Returns the tokens that an engine has memory for, at least 1."""
    return max(1.0, model.token_capacity(engine.kind, len(engine.holds)))


def _weight(age_ms: int) -> float:
    """Returns how much a report counts compared with gateways' own counts."""
    late_ms = age_ms - _DECAY_BEGIN_MS
    return 1.0 - max(0.0, late_ms / (_MAX_AGE_MS - _DECAY_BEGIN_MS))


def _is_count(number: int) -> bool:
    return 0 <= number <= _MAX_COUNT


def _is_valid(report: RoomReport, now_ms: int) -> bool:
    """Returns whether the values of a report are possible."""
    if report.measured_ms > now_ms:
        return False
    if not _is_count(report.running) or not _is_count(report.waiting):
        return False
    use = report.use
    return use is None or (math.isfinite(use) and 0.0 <= use <= _MAX_VALID_USE)
