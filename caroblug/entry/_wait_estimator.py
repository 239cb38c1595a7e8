"""How long a new stream would wait, from the engines' load reports."""

import attrs

from caroblug.core.limits import EngineLoad, UnreportedStreams, estimate_wait_ms
from caroblug.entry._report_expiry import report_expiry_ms
from caroblug.gen.wire import ttypes as wire
from caroblug.utils import Clock


@attrs.frozen
class _EngineReport:
    model: str
    load: EngineLoad
    expires_ms: int


class WaitEstimator:
    """The newest load report of each engine.

    Args:
        clock: Source of time.
        report_age_ms: Least age at which a report no longer counts.
    """

    def __init__(self, clock: Clock, report_age_ms: int) -> None:
        self._clock = clock
        self._report_age_ms = report_age_ms
        self._reports: dict[str, _EngineReport] = {}
        self._unreported = UnreportedStreams()

    def on_report(self, report: wire.LoadReport) -> None:
        """Takes a load report."""
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
        """Drops an instance whose connection is lost."""
        self._reports.pop(instance, None)
        self._unreported.on_report(instance)

    def on_open(self, instances: tuple[str, ...]) -> None:
        """Counts a stream that was opened at some engines."""
        self._unreported.on_open(instances)

    def wait_ms(self, model: str, layers: int, account_streams: int) -> float:
        """Returns the wait for each token that one more stream would meet.

        Without any report the answer is 0: the chain chooser knows better
        than this whether there is a chain at all.
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
