"""Structured log lines on standard output, bounded and never waited for.

Lines go through eliot into a buffer of bounded size, and from there to
standard output as fast as its reader takes them. What is left out is counted
and the count is written with the next line that has room.
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
"""Lines kept while nobody reads: 0.6 MB at 300 bytes a line."""

_MAX_LINES_PER_S = {"request": 100}
"""Lines a second of the kinds that are many; failures have no bound of their
own but the buffer's, so that they go before successes."""

_FLUSH_INTERVAL_S = 0.1
_WRITABLE_TIMEOUT_S = 1.0


class DecisionLog:
    """Writes one line for each decision.

    Args:
        instance: Name of the instance, in every line.
        clock: Source of time.
        fd: File descriptor that lines go to.
    """

    def __init__(self, instance: str, clock: Clock, fd: int = 1) -> None:
        self._instance = instance
        self._clock = clock
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._second = 0
        self._lines_in_second: collections.Counter[str] = collections.Counter()

    @property
    def dropped(self) -> int:
        """Lines left out since the last line that told of them."""
        return self._dropped

    def start(self) -> None:
        """Begins to write."""
        gevent_os.make_nonblocking(self._fd)
        eliot.add_destinations(self.enqueue)
        gevent.spawn(self._run)

    def write(self, kind: str, /, **fields: Any) -> None:
        """Writes one line; `fields` hold no secret."""
        if not self._within_rate(kind):
            self._dropped += 1
            return
        eliot.log_message(message_type=kind, **fields)

    def enqueue(self, message: dict) -> None:
        """Takes a message from eliot into the buffer."""
        if len(self._lines) >= _MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        message["instance"] = self._instance
        if self._dropped:
            message["left_out"] = self._dropped
            self._dropped = 0
        text = json.dumps(message, default=str, separators=(",", ":"))
        self._lines.append(text.encode() + b"\n")

    def flush(self) -> None:
        """Writes what standard output takes without waiting."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read: keep counting, keep serving.
                self._dropped += len(self._lines)
                self._lines.clear()
                return
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
            # Timed out, or a file that can't be polled: look again later.
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
