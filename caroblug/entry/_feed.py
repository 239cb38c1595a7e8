"""From a running stream to its caller, timed and always ended."""

from collections.abc import Iterator

from gevent import queue

from caroblug.core.limits import Admission
from caroblug.entry._streams import EntryStreams, RunningStream
from caroblug.utils import Clock, Metrics, Ran, RefusalType, Refused

_MS_PER_S = 1000
_RETRY_AFTER_MS = 1000
_DEADLINE = Refused(
    RefusalType.DEADLINE_EXCEEDED,
    "the answer took too long",
    Ran.UNKNOWN,
    _RETRY_AFTER_MS,
)


class Feed:
    """Iterates over what a stream releases; ends it whatever happens."""

    def __init__(
        self,
        stream: RunningStream,
        streams: EntryStreams,
        admission: Admission,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.stream = stream
        self._streams = streams
        self._admission = admission
        self._clock = clock
        self._metrics = metrics
        self._since_ms = 0
        self._group = ""
        self._closed = False

    def begin(self, since_ms: int, group: str) -> None:
        """Notes when the request came and under which group it counts."""
        self._since_ms = since_ms
        self._group = group

    def __iter__(self) -> Iterator[list[int] | Refused]:
        last_ms = self._since_ms
        name = "first_token"
        outcome = "answered"
        try:
            while True:
                part = self._next()
                if part is None:
                    break
                if isinstance(part, Refused):
                    outcome = part.type.value
                    yield part
                    break
                now_ms = self._clock.now_ms()
                self._record(name, now_ms - last_ms)
                name, last_ms = "between_tokens", now_ms
                yield part
        except GeneratorExit:
            outcome = "cancelled"
            raise
        finally:
            self._finish(outcome)

    def close(self) -> None:
        """Ends the stream and gives its place back; twice does nothing."""
        if self._closed:
            return
        self._closed = True
        self._streams.end(self.stream)
        self._admission.release(self.stream.request.client_account)

    def _next(self) -> list[int] | Refused | None:
        left_ms = self.stream.end_ms - self._clock.now_ms()
        try:
            return self.stream.output.get(timeout=max(0, left_ms) / _MS_PER_S)
        except queue.Empty:
            return _DEADLINE

    def _record(self, name: str, ms: float) -> None:
        model = self.stream.request.model
        self._metrics.record_ms(name, ms, service=model, group=self._group)

    def _finish(self, outcome: str) -> None:
        self.close()
        self._record("request", self._clock.now_ms() - self._since_ms)
        self._metrics.count(
            "requests",
            service=self.stream.request.model,
            group=self._group,
            outcome=outcome,
        )
