"""How much of each engine's memory for requests is taken."""

import collections

from caroblug.core.placement._types import Engine, ModelShape


class EngineLoads:
    """Tokens that this gateway has on each engine, and what others have.

    Of very many gateways only some are heard; the rest are taken to do as
    those that are, apart for the own data centre and all others: the neighbours
    of a gateway are heard nearly all and use the same engines as it does. Taken
    together with the few that are heard from afar, their load would count
    several times over.

    Attributes:
        local_gateways: Gateways known in the own data centre, this one
            included.
    """

    def __init__(self) -> None:
        self._own: collections.Counter[str] = collections.Counter()
        self._unread: collections.Counter[str] = collections.Counter()
        self._heard: dict[str, dict[str, float]] = {}
        self._near: set[str] = set()
        self._near_sums: dict[str, float] = {}
        self._far_sums: dict[str, float] = {}
        self._gateways = 0
        self.local_gateways = 1

    @property
    def gateways(self) -> int:
        """Gateways that share the engines, this one included; 0 if unknown."""
        if not self._gateways and not self._heard:
            return 0
        return max(self._gateways, len(self._heard) + 1)

    @gateways.setter
    def gateways(self, gateways: int) -> None:
        self._gateways = gateways

    def add_request(self, names: tuple[str, ...], tokens: int) -> None:
        """Counts a request of `tokens` tokens on the engines named."""
        for name in names:
            self._own[name] += tokens

    def remove_request(self, names: tuple[str, ...], tokens: int) -> None:
        """Takes a request off the engines named."""
        for name in names:
            self._own[name] -= tokens
            if self._own[name] <= 0:
                del self._own[name]

    def begin_prefill(self, names: tuple[str, ...]) -> None:
        """Counts a prompt that the engines named have yet to read."""
        self._unread.update(names)

    def end_prefill(self, names: tuple[str, ...]) -> None:
        """Takes off a prompt that has been read, or never will be."""
        for name in names:
            self._unread[name] -= 1
            if self._unread[name] <= 0:
                del self._unread[name]

    def pending_prefills(self, name: str) -> int:
        """Returns how many prompts an engine has yet to read.

        What others have sent in the last some hundred ms can't have been told
        yet; the neighbours are taken to do as this gateway does.
        """
        return self._unread[name] * self.local_gateways

    def own_tokens(self) -> dict[str, int]:
        """Returns this gateway's tokens by engine."""
        return dict(self._own)

    def update_peer(
        self, gateway: str, tokens: dict[str, float], local: bool = True
    ) -> None:
        """Takes what another gateway has on engines.

        Args:
            gateway: Its name.
            tokens: Its tokens by engine.
            local: Whether it is in the own data centre.
        """
        self._heard[gateway] = tokens
        if local:
            self._near.add(gateway)
        else:
            self._near.discard(gateway)
        self._add_up()

    def remove_peer(self, gateway: str) -> None:
        """Drops a gateway that is not heard any more."""
        if self._heard.pop(gateway, None) is not None:
            self._near.discard(gateway)
            self._add_up()

    def tokens(self, name: str) -> float:
        """Returns the tokens of all gateways on an engine."""
        near = self._own.get(name, 0) + self._near_sums.get(name, 0.0)
        far = self._far_sums.get(name, 0.0)
        heard_near = len(self._near) + 1
        neighbours = max(self.local_gateways, heard_near)
        heard_far = len(self._heard) - len(self._near)
        strangers = max(self.gateways - neighbours, heard_far)
        if heard_far == 0:
            # Nobody is heard from elsewhere: the rest do as the neighbours.
            return near * (neighbours + strangers) / heard_near
        return near * neighbours / heard_near + far * strangers / heard_far

    def memory_use(self, engine: Engine, model: ModelShape) -> float:
        """Returns the share of an engine's room that is taken."""
        room = model.token_capacity(engine.kind, len(engine.holds))
        return self.tokens(engine.name) / room if room > 0 else 1.0

    def _add_up(self) -> None:
        near: collections.Counter[str] = collections.Counter()
        far: collections.Counter[str] = collections.Counter()
        for gateway, tokens in self._heard.items():
            (near if gateway in self._near else far).update(tokens)
        self._near_sums = near
        self._far_sums = far
