"""Passes the tokens of a running stream on to its HTTP response."""

from collections.abc import Callable, Iterator

import gevent

from caroblug.entry._admission import Permit
from caroblug.entry._streams import EntryStreams, RunningStream
from caroblug.utils import (
    CALLER_ERRORS,
    Clock,
    ExecutionStatus,
    Metrics,
    RefusalType,
    Refused,
)

_MS_PER_S = 1000
_OUTCOMES_WITHOUT_FAILURE = {"answered", "cancelled", *CALLER_ERRORS}
_RETRY_AFTER_MS = 1000
_DEADLINE_EXCEEDED = Refused(
    RefusalType.DEADLINE_EXCEEDED,
    "the answer took too long",
    ExecutionStatus.UNKNOWN,
    _RETRY_AFTER_MS,
)


class StreamReader:
    """Iterates over the tokens of a stream and records their latency.

    Yields lists of tokens. A refusal, if there is one, comes last. The stream
    ends when the iteration does, also on an error or when the caller
    disconnects.

    Args:
        stream: The stream to read.
        streams: The entry's streams, which end it.
        permit: The request's permit.
        clock: Source of time.
        metrics: Where latencies and outcomes are recorded.
    """

    def __init__(
        self,
        stream: RunningStream,
        streams: EntryStreams,
        permit: Permit,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.stream = stream
        self._streams = streams
        self._permit = permit
        self._clock = clock
        self._metrics = metrics
        self._received_ms = 0
        self._group = ""
        self._closed = False

    def start_timing(self, received_ms: int, group: str) -> None:
        """Sets the start time and the group for this request's metrics."""
        self._received_ms = received_ms
        self._group = group

    def __iter__(self) -> Iterator[list[int] | Refused]:
        last_ms = self._received_ms
        record_ms = self._recorder("first_token")
        record_next_ms = self._recorder("between_tokens")
        outcome = "answered"
        output = self.stream.output
        deadline = self._start_deadline()
        try:
            while True:
                item = output.get()
                if item is None:
                    break
                if isinstance(item, Refused):
                    outcome = item.type.value
                    yield item
                    break
                self._permit.on_tokens()
                now_ms = self._clock.now_ms()
                record_ms(now_ms - last_ms)
                record_ms, last_ms = record_next_ms, now_ms
                yield item
        except GeneratorExit:
            outcome = "cancelled"
            raise
        finally:
            deadline.kill(block=False)
            self._finish(outcome)

    def close(self) -> None:
        """Ends the stream, which closes its permit; idempotent."""
        if self._closed:
            return
        self._closed = True
        self._streams.end(self.stream)

    def _start_deadline(self) -> gevent.Greenlet:
        """Starts a timer that ends the stream at its deadline.

        There is one timer per stream because a timer costs 10 µs, which is
        too much for each token.
        """
        left_ms = max(0, self.stream.end_ms - self._clock.now_ms())
        return gevent.spawn_later(
            left_ms / _MS_PER_S, self.stream.output.put, _DEADLINE_EXCEEDED
        )

    def _recorder(self, name: str) -> Callable[[float], None]:
        model = self.stream.request.model
        return self._metrics.recorder(name, service=model, group=self._group)

    def _finish(self, outcome: str) -> None:
        self.close()
        self._recorder("request")(self._clock.now_ms() - self._received_ms)
        self._metrics.count(
            "requests",
            service=self.stream.request.model,
            group=self._group,
            outcome=outcome,
        )
        if outcome not in _OUTCOMES_WITHOUT_FAILURE:
            self._metrics.count_account_failure(
                self.stream.request.client_account
            )
