"""Errors that end a greenlet without being handled."""

from collections.abc import Callable

import gevent


def handle_greenlet_errors(handler: Callable[[Exception], None]) -> None:
    """Calls a function for each uncaught exception that ends a greenlet.

    By default gevent only prints the traceback, and the process continues
    without that greenlet.

    Args:
        handler: Called before the traceback is printed.
    """
    hub = gevent.get_hub()
    handle_error = hub.handle_error

    def _handle_error(context, kind, value, trace) -> None:
        ends_greenlet = isinstance(context, gevent.Greenlet)
        if ends_greenlet and isinstance(value, Exception):
            handler(value)
        handle_error(context, kind, value, trace)

    hub.handle_error = _handle_error
