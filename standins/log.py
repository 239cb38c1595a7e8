"""Stand-in for the log service, with faults that tests switch on."""

from gevent import monkey

monkey.patch_all()

import argparse
import collections
import time
from typing import Any

import attrs
import falcon
import gevent
from gevent import event

from standins._serve import make_app, serve

_SILENCE_S = 5.0


@attrs.define
class _Stream:
    """Records of one stream.

    Attributes:
        start: Offset of the oldest retained record.
        records: Retained records with the time of their append.
        changed: Set when a record is appended.
    """

    start: int = 0
    records: collections.deque = attrs.field(factory=collections.deque)
    changed: event.Event = attrs.field(factory=event.Event)

    @property
    def end(self) -> int:
        return self.start + len(self.records)


class Log:
    """State of the log service.

    Tests set its public attributes through the control resource.

    Args:
        retention_s: How long records are retained.
        appends_per_s: Maximum number of appends per second.
    """

    def __init__(self, retention_s: float, appends_per_s: int) -> None:
        self.retention_s = retention_s
        self.appends_per_s = appends_per_s
        self.delay_ms = 0.0
        self.answer_delay_ms = 0.0
        self.down = False
        self.silent = False
        self.lose_answers = 0
        self.appends = 0
        self.reads = 0
        self._streams: dict[str, _Stream] = {}
        self._second = 0
        self._appends_in_second = 0

    def stream(self, name: str) -> _Stream:
        """Removes a stream's expired records and returns the stream."""
        stream = self._streams.setdefault(name, _Stream())
        oldest = time.monotonic() - self.retention_s
        while stream.records and stream.records[0][0] < oldest:
            stream.records.popleft()
            stream.start += 1
        return stream

    def append(self, name: str, data: str) -> int | None:
        """Appends a record to a stream.

        Args:
            name: Name of the stream.
            data: The record.

        Returns:
            The offset of the record; None if the rate limit is reached.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._appends_in_second = second, 0
        if self._appends_in_second >= self.appends_per_s:
            return None
        self._appends_in_second += 1
        self.appends += 1
        stream = self.stream(name)
        stream.records.append((time.monotonic(), data))
        stream.changed.set()
        stream.changed = event.Event()
        return stream.end - 1

    def read(
        self, name: str, offset: int, limit: int, wait_ms: int
    ) -> dict[str, Any]:
        """Reads records and waits for the first one if there is none yet.

        Args:
            name: Name of the stream.
            offset: Offset of the first record to read.
            limit: Maximum number of records.
            wait_ms: How long to wait for a record.

        Returns:
            The body of the response.
        """
        self.reads += 1
        stream = self.stream(name)
        if offset >= stream.end and wait_ms:
            stream.changed.wait(wait_ms / 1000)
            stream = self.stream(name)
        first = max(offset, stream.start)
        records = [
            {"offset": index, "data": stream.records[index - stream.start][1]}
            for index in range(first, min(first + limit, stream.end))
        ]
        return {
            "records": records,
            "next": first + len(records),
            "start": stream.start,
            "end": stream.end,
        }


class _RecordsResource:
    """Appends and reads the records of a stream, subject to the faults."""

    def __init__(self, log: Log) -> None:
        self._log = log

    def on_post(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        data = request.get_media()["data"]
        self._apply_faults()
        offset = self._log.append(name, data)
        if offset is None:
            response.status = falcon.HTTP_429
            return
        if self._log.lose_answers > 0:
            self._log.lose_answers -= 1
            gevent.sleep(_SILENCE_S)
            raise falcon.HTTPServiceUnavailable
        gevent.sleep(self._log.answer_delay_ms / 1000)
        response.status = falcon.HTTP_201
        response.media = {"offset": offset}

    def on_get(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        self._apply_faults()
        response.media = self._log.read(
            name,
            request.get_param_as_int("offset", default=0),
            request.get_param_as_int("limit", default=100),
            request.get_param_as_int("wait_ms", default=0),
        )
        gevent.sleep(self._log.answer_delay_ms / 1000)
        self._apply_faults()

    def _apply_faults(self) -> None:
        if self._log.delay_ms:
            gevent.sleep(self._log.delay_ms / 1000)
        if self._log.silent:
            gevent.sleep(_SILENCE_S)
        if self._log.down or self._log.silent:
            raise falcon.HTTPServiceUnavailable


class _ControlResource:
    """Sets attributes of the log for tests and returns its counters.

    Keys: `down`, `silent`, `lose_answers`, `delay_ms` (delay before an append
    takes effect), `answer_delay_ms` (delay of the response after it),
    `retention_s`, `appends_per_s`.
    """

    def __init__(self, log: Log) -> None:
        self._log = log

    def on_post(self, request: falcon.Request, response: falcon.Response):
        for key, value in request.get_media().items():
            if not hasattr(self._log, key):
                raise falcon.HTTPBadRequest(title=f"no order {key}")
            setattr(self._log, key, value)
        response.media = {}

    def on_get(self, request: falcon.Request, response: falcon.Response):
        del request
        response.media = {
            "appends": self._log.appends,
            "reads": self._log.reads,
        }


def main() -> None:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--retention-s", type=float, default=3600.0)
    parser.add_argument("--appends-per-s", type=int, default=500)
    options = parser.parse_args()
    log = Log(options.retention_s, options.appends_per_s)
    app = make_app()
    app.add_route("/streams/{name}", _RecordsResource(log))
    app.add_route("/control", _ControlResource(log))
    serve(app, options.port)


if __name__ == "__main__":
    main()
