"""Log lines, counters and gauges of admission control."""

import math
from collections.abc import Iterable

from caroblug.core.admission import Admission, Refuse, StreamRequest, Wait
from caroblug.core.placement import NoPath, Path, RoomReport
from caroblug.gateway._context import Context
from caroblug.gateway._stream_state import StreamState


class AdmissionLog:
    """Records the decisions of one service's admission control.

    Args:
        context: State shared by the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._measured_ms: int | None = None

    def on_update(
        self,
        admission: Admission,
        ranks: list[int],
        reports: Iterable[RoomReport],
        service: str,
        now_ms: int,
    ) -> None:
        """Records the memory kept for each rank and the age of the reports."""
        measured = [report.measured_ms for report in reports]
        self._measured_ms = max(measured, default=self._measured_ms)
        if len(ranks) < 2:
            return
        for rank in ranks:
            self._context.telemetry.gauge(
                "admission_kept",
                admission.reserved(rank, now_ms),
                service=service,
                rank=str(rank),
            )

    def on_admitted(self, request: StreamRequest) -> None:
        """Counts a stream that has a path."""
        self._count("admitted", request)

    def on_wait(
        self,
        state: StreamState,
        admission: Admission,
        request: StreamRequest,
        decision: Wait,
    ) -> None:
        """Records that a stream begins to wait."""
        self._count("waits", request)
        now_ms = state.now_ms
        self._context.log.write(
            "admission.waits",
            request=state.pending.caller.id,
            rank=request.rank,
            tokens=request.tokens,
            late=request.late,
            max_use=round(admission.need(request, now_ms).max_use, 3),
            waiting=admission.waiting,
            displaced=len(decision.displaced),
            expected_ms=_round_finite(decision.expected_ms),
            longest_ms=decision.until_ms - now_ms,
            reports_age_ms=self._reports_age_ms(now_ms),
        )

    def on_wait_ended(
        self,
        state: StreamState,
        request: StreamRequest,
        outcome: Path | NoPath | Refuse,
        waited_ms: int,
    ) -> None:
        """Records how long a stream has waited, and its path if it has one."""
        self._context.telemetry.record_ms(
            "admission_wait", waited_ms, rank=str(request.rank)
        )
        if not isinstance(outcome, Path):
            return
        self._context.log.write(
            "admission.admitted",
            request=state.pending.caller.id,
            rank=request.rank,
            tokens=request.tokens,
            late=request.late,
            waited_ms=waited_ms,
            use=round(outcome.use, 3),
            path=outcome.names,
            reports_age_ms=self._reports_age_ms(state.now_ms),
        )

    def on_refused(
        self, state: StreamState, request: StreamRequest, refusal: Refuse
    ) -> None:
        """Records that a stream is refused."""
        self._count("refused", request)
        self._context.log.write(
            "admission.refused",
            request=state.pending.caller.id,
            rank=request.rank,
            tokens=request.tokens,
            late=request.late,
            reason=refusal.reason,
            retry_after_ms=refusal.retry_after_ms,
            reports_age_ms=self._reports_age_ms(state.now_ms),
        )

    def _count(self, outcome: str, request: StreamRequest) -> None:
        self._context.telemetry.count(
            "admissions", outcome=outcome, rank=str(request.rank)
        )

    def _reports_age_ms(self, now_ms: int) -> int | None:
        """Returns the age of the newest report; None if there was none."""
        if self._measured_ms is None:
            return None
        return now_ms - self._measured_ms


def _round_finite(value: float) -> int | None:
    """Returns a rounded value; None if it is infinite."""
    return round(value) if math.isfinite(value) else None
