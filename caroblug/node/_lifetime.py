"""The lifetime of a program: settings, signals, draining, exit codes."""

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
    load_settings,
    log_state,
    start_logging,
)

_T = TypeVar("_T")

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_BROKEN = 70
_DRAIN_POLL_S = 0.05
_LATE_MS = 20_000
_LATE_EVERY_MS = 1000


class Lifetime:
    """Whether the program is running, draining or done.

    Args:
        clock: Source of time.
        drain_ms: How long running work may take after SIGTERM.
        linger_ms: Shortest time from SIGTERM to the exit.
    """

    def __init__(self, clock: Clock, drain_ms: int, linger_ms: int = 0) -> None:
        self._clock = clock
        self._drain_ms = drain_ms
        self._linger_ms = linger_ms
        self._leaving = event.Event()
        self._left_ms = 0

    @property
    def leaving(self) -> bool:
        """Whether a stop was asked for."""
        return self._leaving.is_set()

    @property
    def accepting(self) -> bool:
        """Whether callers' requests are still taken.

        Guards against requests that the balancer sends to an instance which
        has just said that it is no longer ready: it learns that late.
        """
        if not self.leaving:
            return True
        return self._clock.now_ms() - self._left_ms < self._linger_ms

    def install_signal_handlers(self) -> None:
        """Lets SIGTERM and SIGINT begin the drain."""
        gevent.signal_handler(signal.SIGTERM, self.leave)
        gevent.signal_handler(signal.SIGINT, self.leave)

    def leave(self) -> None:
        """Begins the drain."""
        if not self.leaving:
            log_state("program.leaving")
            self._left_ms = self._clock.now_ms()
            self._leaving.set()

    def wait(
        self,
        on_leave: Callable[[], None],
        busy: Callable[[], bool],
        on_late: Callable[[], None] | None = None,
    ) -> None:
        """Blocks until the program has drained.

        Args:
            on_leave: Called once when the drain begins.
            busy: Tells whether work is still running.
            on_late: Called now and then once the end of the drain is near
                and work is still running.
        """
        self._leaving.wait()
        on_leave()
        end_ms = self._left_ms + self._drain_ms
        late_ms = end_ms - min(self._drain_ms // 2, _LATE_MS)
        while self.accepting or busy():
            now_ms = self._clock.now_ms()
            if now_ms >= end_ms:
                break
            if on_late is not None and now_ms >= late_ms:
                on_late()
                late_ms = now_ms + _LATE_EVERY_MS
            gevent.sleep(_DRAIN_POLL_S)
        log_state("program.stopped", cut_short=busy())


def stop_on_broken_invariant() -> None:
    """Lets an exception that ends a greenlet stop the process.

    Guards against a greenlet that dies alone: gevent would print the trace
    and the process would go on without its watch or with a state known to be
    wrong, and look alive. Failures that are expected are values and never
    end a greenlet.
    """
    hub = gevent.get_hub()
    handle_error = hub.handle_error

    def _handle_error(context, kind, value, trace) -> None:
        ends = isinstance(context, gevent.Greenlet)
        if ends and kind is not None and issubclass(kind, Exception):
            report_broken_invariant(value)
        handle_error(context, kind, value, trace)

    hub.handle_error = _handle_error


def report_broken_invariant(error: BaseException) -> None:
    """Logs the trace of a broken invariant and ends the process."""
    trace = "".join(traceback.format_exception(error))
    log_state("invariant.broken", trace=trace)
    sys.stderr.flush()
    os._exit(EXIT_BROKEN)


def run_program(
    name: str,
    description: str,
    settings_class: type[_T],
    serve: Callable[[_T], None],
    arguments: list[str] | None = None,
) -> int:
    """Parses the command line, checks the settings and serves.

    Args:
        name: Name of the program.
        description: One line for `--help`.
        settings_class: The attrs class of its settings.
        serve: Runs until the program has drained.
        arguments: The command line without the program; None takes the
            process's own.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(name, description=description)
    parser.add_argument("--config", required=True, metavar="FILE.toml")
    parser.add_argument(
        "--check-config",
        action="store_true",
        help="check the settings, say what is wrong with them, and exit",
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
