"""Program lifetime: command line, signals, draining and exit codes."""

import argparse
import os
import signal
import sys
import traceback
from collections.abc import Callable
from typing import TypeVar

import gevent
from gevent import event

import caroblug
from caroblug.node._settings import check_shared_keys
from caroblug.utils import (
    Clock,
    SettingsRejected,
    handle_greenlet_errors,
    load_settings,
    log_state,
    start_logging,
)

_T = TypeVar("_T")

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_INVARIANT_BROKEN = 70
_DRAIN_POLL_INTERVAL_S = 0.05
_LATE_PHASE_MS = 20_000
_LATE_CALLBACK_INTERVAL_MS = 1000


class Lifetime:
    """Tracks whether the program is running or draining.

    Args:
        clock: Source of time.
        drain_ms: Maximum time for running work to finish after SIGTERM.
        linger_ms: Minimum time from SIGTERM to the exit.
    """

    def __init__(self, clock: Clock, drain_ms: int, linger_ms: int = 0) -> None:
        self._clock = clock
        self._drain_ms = drain_ms
        self._linger_ms = linger_ms
        self._leaving = event.Event()
        self._drain_start_ms = 0

    @property
    def leaving(self) -> bool:
        """Whether the drain has begun."""
        return self._leaving.is_set()

    @property
    def accepting(self) -> bool:
        """Whether callers' requests are still accepted.

        They are accepted for `linger_ms` after the drain has begun, because
        the load balancer notices late that the instance is not ready and
        still sends it requests.
        """
        if not self.leaving:
            return True
        return self._clock.now_ms() - self._drain_start_ms < self._linger_ms

    def install_signal_handlers(self) -> None:
        """Makes SIGTERM and SIGINT begin the drain."""
        gevent.signal_handler(signal.SIGTERM, self.leave)
        gevent.signal_handler(signal.SIGINT, self.leave)

    def leave(self) -> None:
        """Begins the drain; has no effect if it has already begun."""
        if not self.leaving:
            log_state("program.leaving")
            self._drain_start_ms = self._clock.now_ms()
            self._leaving.set()

    def wait(
        self,
        on_drain_start: Callable[[], None],
        busy: Callable[[], bool],
        on_late_drain: Callable[[], None] | None = None,
    ) -> None:
        """Blocks until the program has drained or the drain time has passed.

        Args:
            on_drain_start: Called once when the drain begins.
            busy: Returns whether work is still running.
            on_late_drain: Called every second in the last 20 s of the drain
                time, or in its last half if that is shorter, while work is
                still running.
        """
        self._leaving.wait()
        on_drain_start()
        end_ms = self._drain_start_ms + self._drain_ms
        next_late_ms = end_ms - min(self._drain_ms // 2, _LATE_PHASE_MS)
        while self.accepting or busy():
            now_ms = self._clock.now_ms()
            if now_ms >= end_ms:
                break
            if on_late_drain is not None and now_ms >= next_late_ms:
                on_late_drain()
                next_late_ms = now_ms + _LATE_CALLBACK_INTERVAL_MS
            gevent.sleep(_DRAIN_POLL_INTERVAL_S)
        log_state("program.stopped", cut_short=busy())


def stop_on_broken_invariant() -> None:
    """Ends the process when an uncaught exception ends a greenlet.

    It would otherwise continue without that greenlet or with an inconsistent
    state, while it looks healthy. Expected failures are returned as values and
    never end a greenlet.
    """
    handle_greenlet_errors(report_broken_invariant)


def report_broken_invariant(error: BaseException) -> None:
    """Logs the traceback of a broken invariant and ends the process."""
    trace = "".join(traceback.format_exception(error))
    log_state("invariant.broken", trace=trace)
    sys.stderr.flush()
    os._exit(EXIT_INVARIANT_BROKEN)


def run_program(
    name: str,
    description: str,
    settings_class: type[_T],
    serve: Callable[[_T], None],
    arguments: list[str] | None = None,
) -> int:
    """Parses the command line, checks the settings and runs the server.

    Args:
        name: Name of the program.
        description: One-line description for `--help`.
        settings_class: The attrs class of the program's settings.
        serve: Runs the server and returns once the program has drained.
        arguments: Command-line arguments without the program name; None for
            those of the process.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(name, description=description)
    parser.add_argument("--config", required=True, metavar="FILE.toml")
    parser.add_argument(
        "--check-config",
        action="store_true",
        help="check the settings, print every problem, and exit",
    )
    parser.add_argument(
        "--version", action="version", version=caroblug.__version__
    )
    options = parser.parse_args(arguments)
    settings = load_settings(options.config, settings_class)
    if isinstance(settings, SettingsRejected):
        for problem in settings.problems:
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    problem = check_shared_keys(settings, options.config)
    if problem is not None:
        print(problem, file=sys.stderr)
        return EXIT_USAGE
    if options.check_config:
        print(f"{options.config}: ok")
        return EXIT_OK
    start_logging(name, settings.instance)
    stop_on_broken_invariant()
    serve(settings)
    return EXIT_OK
