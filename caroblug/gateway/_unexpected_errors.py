"""Errors that no part of the gateway expects, and loops that outlast them.

Expected failures are returned as values. Any other error ends one loop or the
handling of one request. The process doesn't end: if data that all gateways read
causes the error, all of them would end, again after each start. So the loop is
restarted, and the error is logged and counted.
"""

import traceback
from collections.abc import Callable

import gevent

from caroblug.gateway._context import Context
from caroblug.utils import shorten

_MAX_CAUSES = 64
"""Causes that are logged; any further ones are only counted."""

_MAX_TRACE_FRAMES = 6
_MIN_PAUSE_MS = 100
_MAX_PAUSE_MS = 2000
"""Pause before a loop is restarted and its maximum. It doubles with each
failure in a row. A list or configuration is to be read within 2 s."""

_STEADY_MS = 30_000
"""Time after which a loop that fails again begins with the shortest pause."""


class UnexpectedErrors:
    """Counts unexpected errors and logs each cause once.

    Args:
        context: State shared by the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._causes: set[tuple[str, str]] = set()

    def record(self, part: str, error: BaseException) -> None:
        """Records an error.

        Args:
            part: The loop or handler that it ended.
            error: The error.
        """
        self._context.telemetry.count("unexpected_errors", part=part)
        frames = traceback.extract_tb(error.__traceback__)
        trace = [
            f"{frame.filename}:{frame.lineno} {frame.name}"
            for frame in frames[-_MAX_TRACE_FRAMES:]
        ]
        cause = (part, trace[-1] if trace else type(error).__name__)
        if cause in self._causes or len(self._causes) >= _MAX_CAUSES:
            return
        self._causes.add(cause)
        self._context.log.write(
            "unexpected.error", part=part, reason=shorten(error), trace=trace
        )

    def run_loop(self, name: str, loop: Callable[[], None]) -> None:
        """Runs a loop until it returns; restarts it after an error.

        Args:
            name: Name of the loop in the log and in metrics.
            loop: The loop, which must be able to start again at any time.
        """
        clock = self._context.clock
        pause_ms = _MIN_PAUSE_MS
        while True:
            began_ms = clock.now_ms()
            try:
                loop()
            except (Exception, gevent.Timeout) as error:
                self.record(name, error)
            else:
                return
            if clock.now_ms() - began_ms >= _STEADY_MS:
                pause_ms = _MIN_PAUSE_MS
            gevent.sleep(pause_ms / 1000)
            pause_ms = min(_MAX_PAUSE_MS, pause_ms * 2)
