"""How much of each engine's memory for requests is taken."""

import collections

from caroblug.core.placement._types import Engine, ModelShape


class EngineLoads:
    """Tokens that this gateway has on each engine, and what others have.

    Of very many gateways only some are heard; the rest are taken to do as
    those that are.
    """

    def __init__(self) -> None:
        self._own: collections.Counter[str] = collections.Counter()
        self._heard: dict[str, dict[str, float]] = {}
        self._sums: dict[str, float] = {}
        self._gateways = 0

    @property
    def gateways(self) -> int:
        """Gateways that share the engines, this one included; 0 if unknown."""
        if not self._gateways and not self._heard:
            return 0
        return max(self._gateways, len(self._heard) + 1)

    @gateways.setter
    def gateways(self, gateways: int) -> None:
        self._gateways = gateways

    def open(self, names: tuple[str, ...], tokens: int) -> None:
        """Counts a request of `tokens` tokens on the engines named."""
        for name in names:
            self._own[name] += tokens

    def close(self, names: tuple[str, ...], tokens: int) -> None:
        """Takes a request off the engines named."""
        for name in names:
            self._own[name] -= tokens
            if self._own[name] <= 0:
                del self._own[name]

    def own(self) -> dict[str, int]:
        """Returns this gateway's tokens by engine."""
        return dict(self._own)

    def hear(self, gateway: str, tokens: dict[str, float]) -> None:
        """Takes what another gateway has on engines."""
        self._heard[gateway] = tokens
        self._add_up()

    def forget(self, gateway: str) -> None:
        """Drops a gateway that is not heard any more."""
        if self._heard.pop(gateway, None) is not None:
            self._add_up()

    def tokens(self, name: str) -> float:
        """Returns the tokens of all gateways on an engine."""
        known = self._own.get(name, 0) + self._sums.get(name, 0.0)
        heard = len(self._heard) + 1
        return known * max(self.gateways, heard) / heard

    def use(self, engine: Engine, model: ModelShape) -> float:
        """Returns the share of an engine's room that is taken."""
        room = model.token_room(engine.kind, len(engine.holds))
        return self.tokens(engine.name) / room if room > 0 else 1.0

    def _add_up(self) -> None:
        sums: collections.Counter[str] = collections.Counter()
        for tokens in self._heard.values():
            sums.update(tokens)
        self._sums = sums
