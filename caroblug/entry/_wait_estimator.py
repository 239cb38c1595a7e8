"""Estimates the wait of a new stream from the engines' load reports."""

import attrs

from caroblug.core.limits import EngineLoad, UnreportedStreams, estimate_wait_ms
from caroblug.entry._report_expiry import report_expiry_ms
from caroblug.gen.wire import ttypes as wire
from caroblug.utils import Clock


@attrs.frozen
class _EngineReport:
    """The load that an engine last reported, and when it expires."""

    model: str
    load: EngineLoad
    expires_ms: int


class WaitEstimator:
    """Estimates waits from the latest load report of each engine.

    Streams opened since an engine's last report are added to its load.

    Args:
        clock: Source of time.
        report_age_ms: Minimum age at which a load report expires.
    """

    def __init__(self, clock: Clock, report_age_ms: int) -> None:
        self._clock = clock
        self._report_age_ms = report_age_ms
        self._reports: dict[str, _EngineReport] = {}
        self._unreported = UnreportedStreams()

    def on_report(self, report: wire.LoadReport) -> None:
        """Updates an engine's load from its report."""
        self._unreported.on_report(report.instance)
        if not report.end_layer or report.leaving:
            self._reports.pop(report.instance, None)
            return
        load = EngineLoad(
            report.first_layer,
            report.end_layer,
            report.tokens_per_s,
            report.streams or 0,
            report.client_accounts or 0,
        )
        self._reports[report.instance] = _EngineReport(
            report.target,
            load,
            report_expiry_ms(report, self._clock.now_ms(), self._report_age_ms),
        )

    def remove(self, instance: str) -> None:
        """Removes an instance whose connection is lost."""
        self._reports.pop(instance, None)
        self._unreported.on_report(instance)

    def on_open(self, instances: tuple[str, ...]) -> None:
        """Counts a stream that was opened at the given engines."""
        self._unreported.on_open(instances)

    def wait_ms(self, model: str, layers: int, account_streams: int) -> float:
        """Returns the expected wait per token of one more stream.

        Args:
            model: The model to run.
            layers: Number of its layers.
            account_streams: Streams that the account has at all entries.

        Returns:
            The wait in milliseconds; 0 without any report, because the chain
            chooser decides whether a chain exists.
        """
        now_ms = self._clock.now_ms()
        loads = [
            attrs.evolve(
                report.load,
                streams=report.load.streams + self._unreported.count(instance),
            )
            for instance, report in self._reports.items()
            if report.model == model and now_ms <= report.expires_ms
        ]
        if not loads:
            return 0.0
        return estimate_wait_ms(loads, layers, account_streams)
