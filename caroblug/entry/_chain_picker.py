"""Selects chains of engines for new streams and for recovery."""

from collections.abc import Collection

import attrs

from caroblug.core.routing import (
    Chain,
    ChainChooser,
    EngineView,
    LatencyTable,
    Stage,
    check_deadline,
)
from caroblug.entry._directory import SideDirectory
from caroblug.entry._stream_request import StreamRequest
from caroblug.utils import Clock, ExecutionStatus, RefusalType, Refused

_BROKEN_LINK_RETRY_MS = 5000
_MAX_CHOICES = 4


class ChainPicker:
    """Selects chains that avoid excluded instances and broken links.

    Args:
        directory: The known engines.
        chooser: Strategy that chooses a complete chain.
        latencies: Latencies between data centres.
        clock: Source of time.
        data_centre: Data centre of this entry.
    """

    def __init__(
        self,
        directory: SideDirectory,
        chooser: ChainChooser,
        latencies: LatencyTable,
        clock: Clock,
        data_centre: str,
    ) -> None:
        self._directory = directory
        self._chooser = chooser
        self._latencies = latencies
        self._clock = clock
        self._data_centre = data_centre
        self._broken_links: dict[tuple[str, str], int] = {}

    def on_broken_link(self, sender: str, receiver: str) -> None:
        """Records that one side process cannot reach another.

        The entry may still reach both of them. Without this record every
        new stream over the link would wait for a timeout first. A broken
        link is tried again after `_BROKEN_LINK_RETRY_MS`.

        Args:
            sender: Instance that could not connect.
            receiver: Instance that it could not reach.
        """
        now_ms = self._clock.now_ms()
        self._broken_links = {
            link: end_ms
            for link, end_ms in self._broken_links.items()
            if end_ms > now_ms
        }
        self._broken_links[sender, receiver] = now_ms + _BROKEN_LINK_RETRY_MS

    def on_peer_lost(self, instance: str) -> None:
        """Drops the broken links of an instance that has been lost.

        The instance was the cause, not its links. It may return at any
        moment.
        """
        self._broken_links = {
            link: end_ms
            for link, end_ms in self._broken_links.items()
            if instance not in link
        }

    def pick(
        self, request: StreamRequest, excluded: Collection[str]
    ) -> Chain | None:
        """Returns a complete chain, or None if there is none.

        If every chain found has a broken link, returns the first choice
        anyway, because the link may work again.

        Args:
            request: The request to run.
            excluded: Instances that must not be used.
        """
        engines = self._directory.engines(request.model)
        skipped = set(excluded)

        def _choose(*also: str) -> Chain | None:
            return self._chooser.choose(
                engines,
                request.layers,
                self._data_centre,
                skipped | set(also),
                request.prompt,
            )

        first = chain = _choose()
        for _ in range(_MAX_CHOICES):
            if chain is None:
                return first
            link = self._find_broken_link(chain)
            if link is None:
                return chain
            sender, receiver = link
            chain = _choose(receiver)
            skipped.add(receiver if chain is not None else sender)
            chain = chain or _choose()
        return first

    def refuse_unmeetable_deadline(
        self, chain: Chain, request: StreamRequest
    ) -> Refused | None:
        """Returns a refusal if the chain can't meet the request's deadline."""
        views = self._directory.chain_engines(chain)
        if len(views) < len(chain.stages):
            return None
        missed = check_deadline(
            views,
            self._latencies,
            len(request.prompt),
            request.max_tokens,
            request.deadline_ms,
        )
        if missed is None:
            return None
        return Refused(
            RefusalType.DEADLINE_EXCEEDED,
            "the deadline can't be met at the present load",
            ExecutionStatus.NO,
            missed.retry_after_ms,
        )

    def replace_stages(
        self, chain: Chain, model: str, excluded: Collection[str]
    ) -> Chain | None:
        """Returns the chain with only its excluded stages replaced.

        The remaining stages keep their caches and journals, so their layers
        need not run again for any position.

        Args:
            chain: The chain to repair.
            model: The model that it runs.
            excluded: Instances to replace and not to choose.

        Returns:
            The repaired chain; None if a stage has no replacement or a link
            of the repaired chain is broken.
        """
        engines = self._directory.engines(model)
        data_centres = {
            engine.instance: engine.data_centre for engine in engines
        }
        stages: list[Stage] = []
        for index, stage in enumerate(chain.stages):
            if stage.instance not in excluded:
                stages.append(stage)
                continue
            neighbours = _neighbours(chain, stages, index)
            best = min(
                (
                    engine
                    for engine in engines
                    if self._can_replace(engine, stage, neighbours)
                    and engine.instance not in excluded
                    and engine.instance not in chain.instances
                ),
                key=lambda e, b=neighbours: _replacement_cost(
                    e, [data_centres.get(i) for i in b]
                ),
                default=None,
            )
            if best is None:
                return None
            stages.append(
                attrs.evolve(
                    stage,
                    instance=best.instance,
                    host=best.host,
                    port=best.port,
                )
            )
        replaced = Chain(tuple(stages))
        return None if self._find_broken_link(replaced) else replaced

    def _can_replace(
        self, engine: EngineView, stage: Stage, neighbours: list[str]
    ) -> bool:
        """Returns whether an engine can replace a stage.

        Args:
            engine: The candidate.
            stage: The stage to replace.
            neighbours: Instances of the stages before and after it; an empty
                string if there is none.
        """
        before, after = neighbours
        return (
            not engine.leaving
            and engine.first_layer <= stage.first_layer
            and engine.end_layer >= stage.end_layer
            and not self._is_link_broken(before, engine.instance)
            and not self._is_link_broken(engine.instance, after)
        )

    def _find_broken_link(self, chain: Chain) -> tuple[str, str] | None:
        names = chain.instances
        links = [*zip(names, names[1:], strict=False), (names[-1], names[0])]
        for sender, receiver in links:
            if self._is_link_broken(sender, receiver):
                return sender, receiver
        return None

    def _is_link_broken(self, sender: str, receiver: str) -> bool:
        end_ms = self._broken_links.get((sender, receiver))
        return end_ms is not None and end_ms > self._clock.now_ms()


def _neighbours(chain: Chain, stages: list[Stage], index: int) -> list[str]:
    before = stages[-1].instance if stages else ""
    after = ""
    if index + 1 < len(chain.stages):
        after = chain.stages[index + 1].instance
    return [before, after]


def _replacement_cost(
    engine: EngineView, neighbours: list[str | None]
) -> tuple[int, float]:
    """Returns the sort key of a candidate; the lowest is the best.

    The number of neighbours in other data centres counts first, then the
    expected time of a step.
    """
    remote_neighbours = sum(
        neighbour not in (None, engine.data_centre) for neighbour in neighbours
    )
    load = engine.waiting + engine.running + engine.own_streams
    return remote_neighbours, (1 + load) / engine.tokens_per_s
