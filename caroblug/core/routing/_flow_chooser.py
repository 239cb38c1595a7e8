"""A chain chooser that samples the maximum flow and corrects for load.

References:
    Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
    2001.
    Wydrowski et al., "Load is not what you should balance: Introducing
    Prequal", NSDI 2024: requests in flight as the load signal.
"""

import math
import random
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import TypeVar

import attrs

from caroblug.core.routing._chooser import ChainChooser, ShortestWaitChooser
from caroblug.core.routing._estimate import (
    LatencyTable,
    position_ms,
    token_round_ms,
)
from caroblug.core.routing._flow import (
    EngineGroup,
    FlowNode,
    FlowPlan,
    Link,
    get_group,
    make_plan,
)
from caroblug.core.routing._prefix import PrefixIndex, prefix_hashes
from caroblug.core.routing._search import make_stage, usable_engines
from caroblug.core.routing._types import Chain, EngineView

_SAMPLED_CHAINS = 4
_COST_HORIZON_TOKENS = 32
_MAX_LOCAL_COST_RATIO = 1.1
_LATENCY_STEP_FACTOR = 2.0

_T = TypeVar("_T")
_Members = Mapping[EngineGroup, Sequence[EngineView]]
_Pick = Callable[[Sequence[EngineView]], EngineView]
_Signature = tuple[object, ...]


@attrs.frozen
class _Plans:
    """Flow plans for one set of engines and links.

    Attributes:
        signature: The inputs of the plans; equal signatures give equal plans.
        groups: Group of each instance.
        local: Flow through the engines of the entry's own data centre.
        whole: Flow through all engines.
    """

    signature: _Signature
    groups: Mapping[str, EngineGroup]
    local: FlowPlan
    whole: FlowPlan


@attrs.define
class FlowChooser(ChainChooser):
    """Samples a few chains from the maximum flow and takes the cheapest.

    The flow is recomputed only when the set of engines changes or when the
    latency of a link changes by about a factor of two.

    Attributes:
        rng: Source of randomness.
        prefixes: Index of the engines' prefix caches.
        latencies: Latencies between data centres.
    """

    rng: random.Random
    prefixes: PrefixIndex = attrs.field(factory=PrefixIndex)
    latencies: LatencyTable = attrs.field(factory=LatencyTable)
    _plans: dict[tuple[str, int], _Plans] = attrs.field(
        factory=dict, init=False
    )
    _fallback: ShortestWaitChooser = attrs.field(
        factory=ShortestWaitChooser, init=False
    )

    def choose(
        self,
        engines: Iterable[EngineView],
        layers: int,
        data_centre: str,
        excluded: Collection[str] = (),
        prompt: Sequence[int] = (),
    ) -> Chain | None:
        """Returns a chain that follows the flow, or None if there is none.

        Chains inside the entry's own data centre are preferred while they
        cost about as much as the others.
        """
        usable = usable_engines(engines, ())
        if not usable:
            return None
        plans = self._get_plans(usable, layers, data_centre)
        allowed = [e for e in usable if e.instance not in excluded]
        members: dict[EngineGroup, list[EngineView]] = {}
        for engine in allowed:
            group = plans.groups[engine.instance]
            members.setdefault(group, []).append(engine)
        hashes = prefix_hashes(prompt)
        local = self._cheapest_chain(plans.local, members, layers, hashes)
        whole = self._cheapest_chain(plans.whole, members, layers, hashes)
        best = self._prefer_local(local, whole, hashes)
        if best is None:
            return self._fallback.choose(allowed, layers, data_centre)
        return _make_chain(best, layers)

    def _get_plans(
        self, usable: Sequence[EngineView], layers: int, data_centre: str
    ) -> _Plans:
        key = (usable[0].model, layers)
        signature = self._make_signature(usable, data_centre)
        known = self._plans.get(key)
        if known is not None and known.signature == signature:
            return known
        local = [e for e in usable if e.data_centre == data_centre]
        links = self._make_links({e.data_centre for e in usable})
        plans = _Plans(
            signature,
            {e.instance: get_group(e) for e in usable},
            make_plan(local, layers),
            make_plan(usable, layers, links),
        )
        self._plans[key] = plans
        return plans

    def _make_signature(
        self, usable: Sequence[EngineView], data_centre: str
    ) -> _Signature:
        latencies = (
            (pair, round(math.log(max(ms, 1.0), _LATENCY_STEP_FACTOR)))
            for pair, ms in sorted(self.latencies.measured_ms.items())
        )
        engines = (
            (e.instance, e.first_layer, e.end_layer, e.tokens_per_s)
            for e in usable
        )
        return (data_centre, *latencies, *engines)

    def _make_links(self, data_centres: Collection[str]) -> list[Link]:
        return [
            Link(one, other, self.latencies.one_way_ms(one, other))
            for one in sorted(data_centres)
            for other in sorted(data_centres)
            if one != other
        ]

    def _cheapest_chain(
        self,
        plan: FlowPlan,
        members: _Members,
        layers: int,
        hashes: Sequence[int],
    ) -> list[EngineView] | None:
        if not plan.starts:
            return None
        picks: list[_Pick] = [self._pick_less_loaded] * _SAMPLED_CHAINS
        if hashes:
            picks.append(
                lambda engines: self._pick_most_cached(engines, hashes)
            )
        samples = (
            self._sample_chain(plan, members, layers, pick) for pick in picks
        )
        found = [engines for engines in samples if engines is not None]
        if not found:
            return None
        return min(found, key=lambda engines: self._cost_ms(engines, hashes))

    def _sample_chain(
        self, plan: FlowPlan, members: _Members, layers: int, pick: _Pick
    ) -> list[EngineView] | None:
        """Returns a random walk from layer 0 to the end, weighted by the flow.

        Returns None if the walk reaches a group without usable engines.
        """
        node = FlowNode(0, self._choose_weighted(plan.starts))
        engines: list[EngineView] = []
        while node.layer < layers:
            groups = plan.groups.get(node, {})
            links = plan.links.get(node, {})
            step = self._choose_weighted({**groups, **links})
            if isinstance(step, str):
                node = FlowNode(node.layer, step)
                continue
            candidates = members.get(step)
            if not candidates:
                return None
            engines.append(pick(candidates))
            node = FlowNode(step.end_layer, step.data_centre)
        return engines

    def _choose_weighted(self, weights: Mapping[_T, float]) -> _T:
        options = list(weights)
        if len(options) == 1:
            return options[0]
        return self.rng.choices(options, list(weights.values()))[0]

    def _pick_less_loaded(self, engines: Sequence[EngineView]) -> EngineView:
        if len(engines) == 1:
            return engines[0]
        one, other = self.rng.sample(engines, 2)
        return min(one, other, key=_queueing_ms)

    def _pick_most_cached(
        self, engines: Sequence[EngineView], hashes: Sequence[int]
    ) -> EngineView:
        return max(
            engines,
            key=lambda e: self.prefixes.cached_positions(e.instance, hashes),
        )

    def _prefer_local(
        self,
        local: list[EngineView] | None,
        whole: list[EngineView] | None,
        hashes: Sequence[int],
    ) -> list[EngineView] | None:
        """Returns the local chain unless the other one is clearly cheaper."""
        if local is None or whole is None:
            return local or whole
        local_ms = self._cost_ms(local, hashes)
        whole_ms = self._cost_ms(whole, hashes)
        return local if local_ms <= whole_ms * _MAX_LOCAL_COST_RATIO else whole

    def _cost_ms(
        self, engines: Sequence[EngineView], hashes: Sequence[int]
    ) -> float:
        """Returns the expected time of the next tokens, in ms.

        Positions of the prompt that every stage has cached reduce the cost
        by their prefill time. A busy engine with a cached prefix is therefore
        avoided once its queue takes longer than the prefill would.
        """
        horizon_ms = _COST_HORIZON_TOKENS * token_round_ms(
            engines, self.latencies
        )
        if not hashes:
            return horizon_ms
        cached = min(
            self.prefixes.cached_positions(e.instance, hashes) for e in engines
        )
        saved_ms = cached * sum(position_ms(e) for e in engines)
        return max(0.0, horizon_ms - saved_ms)


def _queueing_ms(engine: EngineView) -> float:
    return (1 + engine.queue) * position_ms(engine)


def _make_chain(engines: Sequence[EngineView], layers: int) -> Chain:
    stages = []
    layer = 0
    for engine in engines:
        stages.append(make_stage(engine, layer, layers))
        layer = stages[-1].end_layer
    return Chain(tuple(stages))
