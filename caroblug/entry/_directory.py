"""Directory of the side processes, built from their load reports."""

import itertools
from collections.abc import Collection

import attrs

from caroblug.core.routing import Chain, EngineView
from caroblug.entry._report_expiry import report_expiry_ms
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress
from caroblug.utils import Clock


@attrs.define
class PlainServiceView:
    """State of one side process of a plain service."""

    address: PeerAddress
    service: str
    running: int
    leaving: bool


class SideDirectory:
    """Engines and plain services that are connected and have reported.

    Args:
        clock: Source of time.
        report_age_ms: Minimum age at which a load report expires.
    """

    def __init__(self, clock: Clock, report_age_ms: int) -> None:
        self._clock = clock
        self._report_age_ms = report_age_ms
        self._engines: dict[str, EngineView] = {}
        self._plain_services: dict[str, PlainServiceView] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._expires_ms: dict[str, int] = {}
        self._starts: dict[str, int] = {}
        self._start_numbers = itertools.count(1)

    def __len__(self) -> int:
        return len(self._engines) + len(self._plain_services)

    def on_report(self, report: wire.LoadReport) -> bool:
        """Updates the directory from a load report.

        Returns:
            Whether an engine has become available by it.
        """
        before = self.last_start(report.instance)
        leaving = report.leaving or report.instance in self._listed_leaving
        self._expires_ms[report.instance] = report_expiry_ms(
            report, self._clock.now_ms(), self._report_age_ms
        )
        if report.end_layer:
            self._update_engine(report, leaving)
        elif report.target:
            address = PeerAddress(report.instance, report.host, report.port)
            self._plain_services[report.instance] = PlainServiceView(
                address, report.target, report.running or 0, leaving
            )
        elif report.instance in self._engines:
            self._engines[report.instance].leaving = True
        return self.last_start(report.instance) > before

    def on_listed(self, leaving: Collection[str]) -> None:
        """Marks instances that the platform lists as leaving.

        A side process may not know that its instance is being withdrawn. Its
        own reports would continue to show it as available.

        Args:
            leaving: Names of all instances listed as leaving.
        """
        self._listed_leaving = frozenset(leaving)
        for instance in self._listed_leaving:
            for views in (self._engines, self._plain_services):
                if instance in views:
                    views[instance].leaving = True

    def remove(self, instance: str) -> None:
        """Removes an instance whose connection is lost."""
        self._engines.pop(instance, None)
        self._plain_services.pop(instance, None)
        self._expires_ms.pop(instance, None)
        self._starts.pop(instance, None)

    def last_start(self, instance: str) -> int:
        """Returns when an engine last became available.

        Returns:
            A number that grows with each engine that becomes available; 0 if
            the engine isn't known.
        """
        return self._starts.get(instance, 0)

    def engines(self, model: str) -> list[EngineView]:
        """Returns the engines of a model whose last report has not expired."""
        return [
            engine
            for engine in self._engines.values()
            if engine.model == model and self._is_fresh(engine.instance)
        ]

    def plain_services(self, service: str) -> list[PlainServiceView]:
        """Returns the side processes of a plain service that accept calls."""
        return [
            view
            for view in self._plain_services.values()
            if view.service == service
            and not view.leaving
            and self._is_fresh(view.address.instance)
        ]

    def chain_engines(self, chain: Chain) -> list[EngineView]:
        """Returns those engines of a chain that are known, in chain order."""
        return [
            self._engines[instance]
            for instance in chain.instances
            if instance in self._engines
        ]

    def own_streams(self, instance: str) -> int:
        """Returns the number of this entry's streams at an engine."""
        engine = self._engines.get(instance)
        return engine.own_streams if engine is not None else 0

    def add_streams(self, instances: tuple[str, ...], change: int) -> None:
        """Adds `change` to the count of this entry's streams at engines."""
        for instance in instances:
            engine = self._engines.get(instance)
            if engine is not None:
                engine.own_streams = max(0, engine.own_streams + change)

    def _is_fresh(self, instance: str) -> bool:
        return self._clock.now_ms() <= self._expires_ms[instance]

    def _update_engine(self, report: wire.LoadReport, leaving: bool) -> None:
        previous = self._engines.get(report.instance)
        if not leaving and (previous is None or previous.leaving):
            self._starts[report.instance] = next(self._start_numbers)
        self._engines[report.instance] = EngineView(
            report.instance,
            report.host,
            report.port,
            report.data_centre,
            report.target,
            report.first_layer,
            report.end_layer,
            report.tokens_per_s,
            report.waiting,
            report.running,
            leaving,
            previous.own_streams if previous else 0,
            report.streams or 0,
            report.backlog or 0,
            previous.own_streams if previous else 0,
        )
