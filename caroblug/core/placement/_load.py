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
        self._prefills: collections.Counter[str] = collections.Counter()
        self._reported: dict[str, dict[str, float]] = {}
        self._local: set[str] = set()
        self._local_sums: dict[str, float] = {}
        self._remote_sums: dict[str, float] = {}
        self._gateways = 0
        self.local_gateways = 1

    @property
    def gateways(self) -> int:
        """Gateways that share the engines, this one included; 0 if unknown."""
        if not self._gateways and not self._reported:
            return 0
        return max(self._gateways, len(self._reported) + 1)

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
        self._prefills.update(names)

    def end_prefill(self, names: tuple[str, ...]) -> None:
        """Takes off a prompt that has been read, or never will be."""
        for name in names:
            self._prefills[name] -= 1
            if self._prefills[name] <= 0:
                del self._prefills[name]

    def pending_prefills(self, name: str) -> int:
        """Returns how many prompts an engine has yet to read.

        What others have sent in the last some hundred ms can't have been told
        yet; the neighbours are taken to do as this gateway does.
        """
        return self._prefills[name] * self.local_gateways

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
        self._reported[gateway] = tokens
        if local:
            self._local.add(gateway)
        else:
            self._local.discard(gateway)
        self._update_sums()

    def remove_peer(self, gateway: str) -> None:
        """Drops a gateway that is not heard any more."""
        if self._reported.pop(gateway, None) is not None:
            self._local.discard(gateway)
            self._update_sums()

    def tokens(self, name: str) -> float:
        """Returns the tokens of all gateways on an engine."""
        local = self._own.get(name, 0) + self._local_sums.get(name, 0.0)
        remote = self._remote_sums.get(name, 0.0)
        local_reporting = len(self._local) + 1
        local_gateways = max(self.local_gateways, local_reporting)
        remote_reporting = len(self._reported) - len(self._local)
        remote_gateways = max(self.gateways - local_gateways, remote_reporting)
        if remote_reporting == 0:
            # Nobody is heard from elsewhere: the rest do as the neighbours.
            return local * (local_gateways + remote_gateways) / local_reporting
        return (
            local * local_gateways / local_reporting
            + remote * remote_gateways / remote_reporting
        )

    def memory_use(self, engine: Engine, model: ModelShape) -> float:
        """Returns the share of an engine's room that is taken."""
        capacity = model.token_capacity(engine.kind, len(engine.holds))
        return self.tokens(engine.name) / capacity if capacity > 0 else 1.0

    def _update_sums(self) -> None:
        local: collections.Counter[str] = collections.Counter()
        remote: collections.Counter[str] = collections.Counter()
        for gateway, tokens in self._reported.items():
            (local if gateway in self._local else remote).update(tokens)
        self._local_sums = local
        self._remote_sums = remote
