"""A gateway's part of the free memory that many gateways see at once."""

import math
import random
from collections.abc import Callable

from caroblug.core.placement._load import EngineLoads
from caroblug.core.placement._types import Engine, ModelShape

_ROUND_MS = 500
"""Period in which a gateway uses its part of an engine's free memory once; the
interval of reports and of exchanges between gateways."""

_SETTLING_MS = 1000
"""Time until all gateways know the effect of what they sent on reports of an
engine. Only the part `_ROUND_MS / _SETTLING_MS` of its free memory is offered
in each round, as the same free memory is offered again until then."""

_REMOTE_RESERVE = 0.05
"""Share of an engine's memory that is left to the gateways of its own data
centre. Otherwise, while all engines are full, most requests would run in
other data centres, and be sent over slow links."""

_MEAN_WEIGHT = 0.02
"""Weight of one request in the moving average of the tokens of a request."""


class RoomParts:
    """Divides the free memory of engines among the gateways that use them.

    Each gateway computes its own part only. It is the gateway's share of all
    tokens, but at least an equal one.

    Args:
        loads: Tokens of all gateways' requests on each engine.
        data_centre: Data centre of this gateway.
        rng: Source of randomness.
    """

    def __init__(
        self, loads: EngineLoads, data_centre: str, rng: random.Random
    ) -> None:
        self._loads = loads
        self._data_centre = data_centre
        self._rng = rng
        self._offset_ms: int | None = None
        self._round = -1
        self._round_ms = 0
        self._rounding = 0.0
        # Of the gateways of all data centres, and of the local ones.
        self._shares = (1.0, 1.0)
        self._mean_tokens = 0.0
        self._computed: dict[tuple, dict[str, float]] = {}
        self._parts: dict[str, float] = {}

    @property
    def round_ms(self) -> int:
        """When the current round began."""
        return self._round_ms

    @property
    def rounding(self) -> float:
        """Random number from 0 to 1, drawn once in each round.

        It decides whether a part smaller than a request allows one, for all
        engines of a path alike.
        """
        return self._rounding

    def is_local(self, engine: Engine) -> bool:
        """Returns whether an engine runs in the gateway's data centre."""
        return engine.data_centre == self._data_centre

    def share(self, engine: Engine) -> float:
        """Returns this gateway's share of the memory of an engine."""
        return self._shares[self.is_local(engine)]

    def remote_reserve(self, engine: Engine) -> float:
        """Returns the share of memory that is left to other data centres."""
        return 0.0 if self.is_local(engine) else _REMOTE_RESERVE

    def overlap_use(self, engine: Engine, capacity: float) -> float:
        """Returns the memory that a request of each other gateway takes.

        Args:
            engine: The engine.
            capacity: Tokens that it has memory for.

        Returns:
            The share of the engine's memory.
        """
        others = 1.0 / self.share(engine) - 1.0
        return others * self._mean_tokens / capacity

    def part(self, engine: Engine) -> float:
        """Returns the tokens that may be added to an engine in this round."""
        return self._parts.get(engine.name, 0.0)

    def begin_round(self, now_ms: int) -> None:
        """Determines this gateway's shares if a new round has begun."""
        if self._offset_ms is None:
            # Gateways that start together use their parts at different times.
            self._offset_ms = self._rng.randrange(_ROUND_MS)
        number = (now_ms + self._offset_ms) // _ROUND_MS
        if number == self._round:
            return
        self._round = number
        self._round_ms = number * _ROUND_MS - self._offset_ms
        self._rounding = self._rng.random()
        self._shares = (self._loads.share(False), self._loads.share(True))
        self._computed.clear()

    def begin_search(
        self,
        engines: list[Engine],
        model: ModelShape,
        tokens: int,
        max_use: float,
        find_use: Callable[[Engine], float | None],
    ) -> None:
        """Computes the parts for a request, once in each round.

        Args:
            engines: Engines that the request may use.
            model: The model.
            tokens: Tokens that the request will hold.
            max_use: Share of the memory that may be in use.
            find_use: Returns an engine's share of memory in use; None if it
                has no part.
        """
        weight = _MEAN_WEIGHT if self._mean_tokens else 1.0
        self._mean_tokens += (max(1, tokens) - self._mean_tokens) * weight
        key = (id(model), round(max_use, 2))
        if key not in self._computed:
            self._computed[key] = self._compute(
                engines, model, max_use, find_use
            )
        self._parts = self._computed[key]

    def _compute(
        self,
        engines: list[Engine],
        model: ModelShape,
        max_use: float,
        find_use: Callable[[Engine], float | None],
    ) -> dict[str, float]:
        """Returns this gateway's part of the free memory of each engine.

        A part is a whole number of requests. Parts smaller than that are added
        up over the engines that hold the same layers, so that one of them gets
        a whole request, and the engines of all layers at the same time.

        Returns:
            Tokens by name of the engine.
        """
        sums: dict[tuple, float] = {}
        parts = {}
        for engine in engines:
            use = find_use(engine)
            if use is None:
                continue
            free = max_use - use - self.remote_reserve(engine)
            share = self.share(engine)
            offered = _ROUND_MS / _SETTLING_MS
            offered = share * (offered + (1.0 - offered) * share)
            capacity = model.token_capacity(engine.kind, len(engine.holds))
            requests = max(0.0, free) * offered * capacity / self._mean_tokens
            group = (engine.data_centre, engine.holds)
            before = sums.get(group, self._rounding)
            sums[group] = before + requests
            whole = math.floor(before + requests) - math.floor(before)
            parts[engine.name] = whole * self._mean_tokens
        return parts
