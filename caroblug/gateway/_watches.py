"""Reading configuration and backend servers from the platform."""

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import (
    ConfigurationRead,
    Registry,
    Unavailable,
)

_LIST_MS = 1000
"""How often the list of backend servers is read. A read is paid for; one a
second keeps what is sent to leaving backend servers under two seconds."""

_START_LIST_MS = 150
"""The same until a first list has been read."""

_WAIT_MS = 20000
"""Longest wait for a change of the configuration; one call a wait."""

_AGAIN_MS = 250
"""Pause after a call to the store that failed."""


class Watches:
    """Keeps configuration and list of backend servers up to date.

    Args:
        context: What the gateway's parts share.
        registry: The platform's list and configuration.
    """

    def __init__(self, context: Context, registry: Registry) -> None:
        self._context = context
        self._registry = registry
        self._lost: set[str] = set()
        self._ignored = 0

    def run_configuration(self) -> None:
        """Follows the configuration."""
        end = None
        while True:
            if end is None:
                read = self._registry.read_configuration()
            else:
                read = self._registry.wait_for_change(end, _WAIT_MS)
            self._note("configuration", read)
            if isinstance(read, Unavailable):
                gevent.sleep(_AGAIN_MS / 1000)
                end = None
                continue
            end = max(read.end, end or 0)
            if isinstance(read, ConfigurationRead):
                self._context.take_configuration(
                    read.configuration, read.raw, "store"
                )

    def run_list(self) -> None:
        """Reads the list of backend servers again and again."""
        while True:
            began_ms = self._context.clock.now_ms()
            self._read_list()
            pause_ms = _LIST_MS if self._context.fleet.known else _START_LIST_MS
            took_ms = self._context.clock.now_ms() - began_ms
            gevent.sleep(max(20, pause_ms - took_ms) / 1000)

    def _read_list(self) -> None:
        """Reads the list of backend servers once."""
        context = self._context
        asked_ms = context.clock.now_ms()
        listing = self._registry.read_backends()
        self._note("backends", listing)
        if isinstance(listing, Unavailable):
            return
        if listing.ignored != self._ignored:
            self._ignored = listing.ignored
            context.log.write("backends.ignored", records=listing.ignored)
        context.fleet.take_listing(listing, asked_ms)
        context.tallies.gauge("backends", len(listing.backends))

    def _note(self, what: str, read) -> None:
        """Writes a line when a dependency is lost or regained."""
        self._context.tallies.count("store_calls", what=what)
        if isinstance(read, Unavailable):
            self._context.tallies.count("store_calls_failed", what=what)
            if what not in self._lost:
                self._lost.add(what)
                self._context.log.write(
                    "store.lost", what=what, reason=read.message
                )
        elif what in self._lost:
            self._lost.discard(what)
            self._context.log.write("store.regained", what=what)
