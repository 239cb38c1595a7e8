"""Load of each engine: tokens of running requests and pending prefills."""

import collections
from collections.abc import Container

from caroblug.core.placement._token_history import TokenHistory
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
        self._own_changes: dict[str, TokenHistory] = collections.defaultdict(
            TokenHistory
        )
        self._peer_changes: dict[str, TokenHistory] = collections.defaultdict(
            TokenHistory
        )
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

    def add_request(
        self, names: tuple[str, ...], tokens: int, now_ms: int = 0
    ) -> None:
        """Adds a request of `tokens` tokens to the named engines.

        Args:
            names: Names of the engines.
            tokens: Tokens of the request.
            now_ms: Current time; 0 if the request precedes every report.
        """
        for name in names:
            self._own[name] += tokens
            self._own_changes[name].add(tokens, now_ms)

    def remove_request(
        self, names: tuple[str, ...], tokens: int, now_ms: int = 0
    ) -> None:
        """Removes a request of `tokens` tokens from the named engines."""
        for name in names:
            self._own[name] -= tokens
            self._own_changes[name].add(-tokens, now_ms)
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

    def own_tokens_on(self, name: str) -> int:
        """Returns the tokens of this gateway's requests on an engine."""
        return self._own.get(name, 0)

    def own_change(self, name: str, since_ms: int) -> float:
        """Returns the tokens that this gateway has added since a time.

        Args:
            name: Name of the engine.
            since_ms: The time.

        Returns:
            The tokens; negative if more were removed.
        """
        changes = self._own_changes.get(name)
        return changes.since(since_ms) if changes is not None else 0.0

    def peer_change(self, name: str, since_ms: int) -> float:
        """Returns the tokens that peers told this gateway of since a time."""
        changes = self._peer_changes.get(name)
        return changes.since(since_ms) if changes is not None else 0.0

    @property
    def has_peers(self) -> bool:
        """Whether any other gateway reports its tokens."""
        return bool(self._reported)

    def share(self, local: bool) -> float:
        """Returns this gateway's share of the tokens of several gateways.

        Args:
            local: Whether it is the share of the gateways of the local data
                centre, or else of all gateways.

        Returns:
            The share of all tokens, at least that of a mean gateway.
        """
        local_reporting = len(self._local) + 1
        gateways = max(self.local_gateways, local_reporting)
        own = sum(self._own.values())
        total = own + sum(self._local_sums.values())
        total *= gateways / local_reporting
        if not local:
            remote_reporting = len(self._reported) - len(self._local)
            remote = max(self.gateways - gateways, remote_reporting)
            if remote_reporting:
                remote_sum = sum(self._remote_sums.values())
                total += remote_sum * remote / remote_reporting
            else:
                total += total * remote / gateways
            gateways += remote
        return max(1.0 / gateways, own / total if total > 0 else 0.0)

    def update_peer(
        self,
        gateway: str,
        tokens: dict[str, float],
        local: bool = True,
        now_ms: int = 0,
    ) -> None:
        """Replaces the tokens reported by another gateway.

        Args:
            gateway: Name of the gateway.
            tokens: Tokens of its requests by engine.
            local: Whether it runs in the local data centre.
            now_ms: Current time.
        """
        before = self._reported.get(gateway)
        if before is not None:
            for name in before.keys() | tokens.keys():
                change = tokens.get(name, 0.0) - before.get(name, 0.0)
                if change:
                    self._peer_changes[name].add(change, now_ms)
        self._reported[gateway] = tokens
        if local:
            self._local.add(gateway)
        else:
            self._local.discard(gateway)
        self._update_sums()

    def retain(self, names: Container[str]) -> None:
        """Removes the changes of all engines but the named ones."""
        for changes in (self._own_changes, self._peer_changes):
            for name in [n for n in changes if n not in names]:
                del changes[name]

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

    def reported_tokens(self, name: str) -> float:
        """Returns the tokens on an engine, without unknown remote gateways.

        The few remote gateways that report may be the only ones that use the
        engine, so that `tokens` is often several times too high.
        """
        local = self._own.get(name, 0) + self._local_sums.get(name, 0.0)
        reporting = len(self._local) + 1
        gateways = max(self.local_gateways, reporting)
        remote = self._remote_sums.get(name, 0.0)
        return local * gateways / reporting + remote

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
