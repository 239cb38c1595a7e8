"""Chains drawn from the maximum flow, put right by what is known of load.

References:
    Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
    2001.
    Wydrowski et al., "Load is not what you should balance: Introducing
    Prequal", NSDI 2024: requests in flight as the signal.
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
    round_ms,
)
from caroblug.core.routing._flow import (
    EngineGroup,
    FlowNode,
    FlowPlan,
    Link,
    group_of,
    make_plan,
)
from caroblug.core.routing._prefix import PrefixIndex, prefix_hashes
from caroblug.core.routing._search import make_stage, usable_engines
from caroblug.core.routing._types import Chain, EngineView

_DRAWS = 4
_TOKENS_AHEAD = 32
_SPILL = 1.1
_CHANGE_OF_LATENCY = 2.0

_T = TypeVar("_T")
_Members = Mapping[EngineGroup, Sequence[EngineView]]
_Pick = Callable[[Sequence[EngineView]], EngineView]
_Signature = tuple[object, ...]


@attrs.frozen
class _Plans:
    """Plans for one set of engines and links.

    Attributes:
        signature: What they were computed from.
        groups: Group of each instance.
        local: Over the own data centre's engines only.
        whole: Over every engine.
    """

    signature: _Signature
    groups: Mapping[str, EngineGroup]
    local: FlowPlan
    whole: FlowPlan


@attrs.define
class FlowChooser(ChainChooser):
    """Draws chains by the flow's weights and takes the best of a few.

    The flow is computed anew only when the set of engines changes, or a
    link's latency by a factor of two.

    Attributes:
        rng: Source of randomness.
        prefixes: What is known of the engines' prefix caches.
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
        """Returns a chain near the flow; own data centre unless short."""
        usable = usable_engines(engines, ())
        if not usable:
            return None
        plans = self._plans_for(usable, layers, data_centre)
        allowed = [e for e in usable if e.instance not in excluded]
        members: dict[EngineGroup, list[EngineView]] = {}
        for engine in allowed:
            group = plans.groups[engine.instance]
            members.setdefault(group, []).append(engine)
        hashes = prefix_hashes(prompt)
        local = self._best(plans.local, members, layers, hashes)
        whole = self._best(plans.whole, members, layers, hashes)
        best = self._prefer_local(local, whole, hashes)
        if best is None:
            return self._fallback.choose(allowed, layers, data_centre)
        return _make_chain(best, layers)

    def _plans_for(
        self, usable: Sequence[EngineView], layers: int, data_centre: str
    ) -> _Plans:
        key = (usable[0].model, layers)
        signature = self._signature(usable, data_centre)
        known = self._plans.get(key)
        if known is not None and known.signature == signature:
            return known
        local = [e for e in usable if e.data_centre == data_centre]
        links = self._links({e.data_centre for e in usable})
        plans = _Plans(
            signature,
            {e.instance: group_of(e) for e in usable},
            make_plan(local, layers),
            make_plan(usable, layers, links),
        )
        self._plans[key] = plans
        return plans

    def _signature(
        self, usable: Sequence[EngineView], data_centre: str
    ) -> _Signature:
        latencies = (
            (pair, round(math.log(max(ms, 1.0), _CHANGE_OF_LATENCY)))
            for pair, ms in sorted(self.latencies.measured_ms.items())
        )
        engines = (
            (e.instance, e.first_layer, e.end_layer, e.tokens_per_s)
            for e in usable
        )
        return (data_centre, *latencies, *engines)

    def _links(self, data_centres: Collection[str]) -> list[Link]:
        return [
            Link(one, other, self.latencies.one_way_ms(one, other))
            for one in sorted(data_centres)
            for other in sorted(data_centres)
            if one != other
        ]

    def _best(
        self,
        plan: FlowPlan,
        members: _Members,
        layers: int,
        hashes: Sequence[int],
    ) -> list[EngineView] | None:
        if not plan.starts:
            return None
        picks: list[_Pick] = [self._less_loaded] * _DRAWS
        if hashes:
            picks.append(lambda engines: self._most_cached(engines, hashes))
        drawn = (self._draw(plan, members, layers, pick) for pick in picks)
        found = [engines for engines in drawn if engines is not None]
        if not found:
            return None
        return min(found, key=lambda engines: self._cost_ms(engines, hashes))

    def _draw(
        self, plan: FlowPlan, members: _Members, layers: int, pick: _Pick
    ) -> list[EngineView] | None:
        """Walks from layer 0 to the end, each turn weighted by its flow."""
        place = FlowNode(0, self._weighted(plan.starts))
        engines: list[EngineView] = []
        while place.layer < layers:
            groups = plan.groups.get(place, {})
            links = plan.links.get(place, {})
            turn = self._weighted({**groups, **links})
            if isinstance(turn, str):
                place = FlowNode(place.layer, turn)
                continue
            candidates = members.get(turn)
            if not candidates:
                return None
            engines.append(pick(candidates))
            place = FlowNode(turn.end_layer, turn.data_centre)
        return engines

    def _weighted(self, weights: Mapping[_T, float]) -> _T:
        options = list(weights)
        if len(options) == 1:
            return options[0]
        return self.rng.choices(options, list(weights.values()))[0]

    def _less_loaded(self, engines: Sequence[EngineView]) -> EngineView:
        if len(engines) == 1:
            return engines[0]
        one, other = self.rng.sample(engines, 2)
        return min(one, other, key=_wait_ms)

    def _most_cached(
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
        """Leaves the own data centre only when that is clearly better."""
        if local is None or whole is None:
            return local or whole
        here_ms = self._cost_ms(local, hashes)
        there_ms = self._cost_ms(whole, hashes)
        return local if here_ms <= there_ms * _SPILL else whole

    def _cost_ms(
        self, engines: Sequence[EngineView], hashes: Sequence[int]
    ) -> float:
        """Returns the cost of the next tokens, less what caches save.

        A position is saved only if every stage has it cached, and the saving
        is its prefill time; a longer wait than that outweighs it.
        """
        rounds_ms = _TOKENS_AHEAD * round_ms(engines, self.latencies)
        if not hashes:
            return rounds_ms
        cached = min(
            self.prefixes.cached_positions(e.instance, hashes) for e in engines
        )
        saved_ms = cached * sum(position_ms(e) for e in engines)
        return max(0.0, rounds_ms - saved_ms)


def _wait_ms(engine: EngineView) -> float:
    return (1 + engine.queue) * position_ms(engine)


def _make_chain(engines: Sequence[EngineView], layers: int) -> Chain:
    stages = []
    layer = 0
    for engine in engines:
        stages.append(make_stage(engine, layer, layers))
        layer = stages[-1].end_layer
    return Chain(tuple(stages))
