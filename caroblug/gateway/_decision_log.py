"""Non-blocking structured log on standard output.

Lines go through eliot into a buffer of bounded size, and from there to
standard output as fast as its reader accepts them. Lines that don't fit are
dropped and counted, and the count is written with the next line that fits.
"""

import collections
import json
import os
from typing import Any

import eliot
import gevent
from gevent import os as gevent_os
from gevent import socket

from caroblug.utils import Clock

_MAX_BUFFERED_LINES = 2000
"""Limit on the lines buffered while standard output is not read. It amounts to
0.6 MB at 300 bytes a line."""

_MAX_BUFFERED_BYTES = 1 << 20
_MAX_LINE_BYTES = 16384
_MAX_TEXT_CHARACTERS = 1024
"""Limits on the buffer, a line and a text in it. Callers choose ids, hosts and
paths, which may be as long as their headers."""

_MAX_LINES_PER_S = {
    "connection.evicted": 10,
    "request": 100,
    "request.denied": 100,
    "admission.admitted": 20,
    "admission.refused": 20,
    "admission.waits": 20,
    "backends.entry_refused": 10,
    "peer.unreadable": 5,
    "quarantine.record_refused": 10,
    "request.quarantined": 20,
    "request.suspected": 20,
    "retry.denied": 20,
}
"""Rate limit of the frequent kinds, in lines a second. Failures are limited
only by the size of the buffer, so that they take precedence over successes. A
denied retry is counted, and the failed request has its own line."""

_FLUSH_INTERVAL_S = 0.1
_WRITABLE_TIMEOUT_S = 1.0


class DecisionLog:
    """Writes one log line for each decision.

    Args:
        instance: Name of the instance, written in every line.
        clock: Source of time.
        fd: File descriptor that the lines are written to.
    """

    def __init__(self, instance: str, clock: Clock, fd: int = 1) -> None:
        self._instance = instance
        self._clock = clock
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self._second = 0
        self._lines_in_second: collections.Counter[str] = collections.Counter()

    @property
    def dropped(self) -> int:
        """Lines dropped since the last line that reported the count."""
        return self._dropped

    def start(self) -> None:
        """Registers the log with eliot and starts the writing greenlet."""
        gevent_os.make_nonblocking(self._fd)
        eliot.add_destinations(self.enqueue)
        gevent.spawn(self._run)

    def write(self, kind: str, /, **fields: Any) -> None:
        """Writes one line unless its kind exceeds the rate limit.

        Args:
            kind: Kind of the line.
            fields: Fields of the line. They must not hold secrets.
        """
        if not self._within_rate(kind):
            self._dropped += 1
            return
        eliot.log_message(message_type=kind, **fields)

    def enqueue(self, message: dict) -> None:
        """Adds a message from eliot to the buffer; drops it if that is full."""
        if (
            len(self._lines) >= _MAX_BUFFERED_LINES
            or self._buffered_bytes >= _MAX_BUFFERED_BYTES
        ):
            self._dropped += 1
            return
        line = _encode(
            {**message, "instance": self._instance, "left_out": self._dropped}
        )
        if len(line) > _MAX_LINE_BYTES:
            self._dropped += 1
            return
        self._dropped = 0
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Writes as much as standard output accepts without blocking."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed: drop the lines and go on serving.
                self._dropped += len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def _run(self) -> None:
        while True:
            gevent.sleep(_FLUSH_INTERVAL_S)
            self.flush()
            if self._lines:
                self._wait_for_reader()

    def _wait_for_reader(self) -> None:
        try:
            socket.wait_write(self._fd, timeout=_WRITABLE_TIMEOUT_S)
        except OSError:
            # The wait timed out, or the file doesn't support polling: try again
            # after the next interval.
            return

    def _within_rate(self, kind: str) -> bool:
        limit = _MAX_LINES_PER_S.get(kind)
        if limit is None:
            return True
        second = self._clock.now_ms() // 1000
        if second != self._second:
            self._second = second
            self._lines_in_second.clear()
        self._lines_in_second[kind] += 1
        return self._lines_in_second[kind] <= limit


def _encode(message: dict) -> bytes:
    """Returns a message as a line, its long texts shortened."""
    fields = {
        key: value[:_MAX_TEXT_CHARACTERS] if isinstance(value, str) else value
        for key, value in message.items()
        if key != "left_out" or value
    }
    text = json.dumps(fields, default=str, separators=(",", ":"))
    return text.encode() + b"\n"
