"""Load of each engine: tokens of running requests and pending prefills."""

import collections

from caroblug.core.placement._types import Engine, ModelShape


class EngineLoads:
    """Tokens of all gateways' requests on each engine.

    This gateway's own tokens are counted exactly. In a large fleet it receives
    reports from only some of the others, and extrapolates the rest from those,
    separately for the local data centre and for all remote ones. Nearly all
    local gateways report, and they use the same engines as this one. Few remote
    gateways report, so that a common factor for all would be high and would
    count the local load several times over.

    Attributes:
        local_gateways: Gateways known in the local data centre, this one
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
        """Adds a request of `tokens` tokens to the named engines."""
        for name in names:
            self._own[name] += tokens

    def remove_request(self, names: tuple[str, ...], tokens: int) -> None:
        """Removes a request of `tokens` tokens from the named engines."""
        for name in names:
            self._own[name] -= tokens
            if self._own[name] <= 0:
                del self._own[name]

    def begin_prefill(self, names: tuple[str, ...]) -> None:
        """Counts a prompt that the named engines have yet to prefill."""
        self._prefills.update(names)

    def end_prefill(self, names: tuple[str, ...]) -> None:
        """Discounts a prompt whose prefill has ended or been abandoned."""
        for name in names:
            self._prefills[name] -= 1
            if self._prefills[name] <= 0:
                del self._prefills[name]

    def pending_prefills(self, name: str) -> int:
        """Returns how many prompts an engine has yet to prefill.

        Reports of other gateways lag by some hundred milliseconds. Each local
        gateway is therefore assumed to have sent as many prompts as this one.
        """
        return self._prefills[name] * self.local_gateways

    def own_tokens(self) -> dict[str, int]:
        """Returns the tokens of this gateway's requests by engine."""
        return dict(self._own)

    def update_peer(
        self, gateway: str, tokens: dict[str, float], local: bool = True
    ) -> None:
        """Replaces the tokens reported by another gateway.

        Args:
            gateway: Name of the gateway.
            tokens: Tokens of its requests by engine.
            local: Whether it runs in the local data centre.
        """
        self._reported[gateway] = tokens
        if local:
            self._local.add(gateway)
        else:
            self._local.discard(gateway)
        self._update_sums()

    def remove_peer(self, gateway: str) -> None:
        """Removes a gateway whose reports have ceased."""
        if self._reported.pop(gateway, None) is not None:
            self._local.discard(gateway)
            self._update_sums()

    def tokens(self, name: str) -> float:
        """Returns the estimated tokens of all gateways on an engine."""
        local = self._own.get(name, 0) + self._local_sums.get(name, 0.0)
        remote = self._remote_sums.get(name, 0.0)
        local_reporting = len(self._local) + 1
        local_gateways = max(self.local_gateways, local_reporting)
        remote_reporting = len(self._reported) - len(self._local)
        remote_gateways = max(self.gateways - local_gateways, remote_reporting)
        if remote_reporting == 0:
            # Without a remote report, remote gateways are assumed to load the
            # engine as the local ones do.
            return local * (local_gateways + remote_gateways) / local_reporting
        return (
            local * local_gateways / local_reporting
            + remote * remote_gateways / remote_reporting
        )

    def memory_use(self, engine: Engine, model: ModelShape) -> float:
        """Returns the share of an engine's token capacity that is taken."""
        capacity = model.token_capacity(engine.kind, len(engine.holds))
        return self.tokens(engine.name) / capacity if capacity > 0 else 1.0

    def _update_sums(self) -> None:
        local: collections.Counter[str] = collections.Counter()
        remote: collections.Counter[str] = collections.Counter()
        for gateway, tokens in self._reported.items():
            (local if gateway in self._local else remote).update(tokens)
        self._local_sums = local
        self._remote_sums = remote
