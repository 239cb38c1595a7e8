"""Reading configuration and backend servers from the platform."""

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import (
    ConfigurationRead,
    NothingNew,
    Registry,
    Unavailable,
)
from caroblug.gateway._peers import Peers

_LIST_MS = 700
"""Age of the list of backend servers from which the first by name of the
gateways of a data centre reads it again, in ms. It tells the others within
half a second, so that what is sent to leaving backend servers ends within two
seconds, and each data centre makes some 1.2 paid reads a second."""

_OTHERS_LIST_MS = 1300
"""The same for the other gateways, which read only if they hear nothing."""

_LIST_SPREAD_MS = 200
"""Added at random, so that gateways don't read at the same moment."""

_LIST_AGAIN_MS = 900
"""Pause after a read that failed; refused calls are paid for as well."""

_LIST_LOOK_S = 0.05
_START_LIST_MS = 150
"""Pause until a first list has been read."""

_WAIT_EACH_MS = 1000
"""Time between two ends of a wait for a change, over all gateways. A connection
that went silent tells nothing; of several gateways one waits anew each second,
and tells the others of a change."""

_WAIT_LEAST_MS = 4000
_WAIT_MOST_MS = 20000
_WAIT_SPREAD = 0.25
"""Share by which waits differ, so that they don't all end together."""

_AGAIN_MS = 250
_AGAIN_MOST_MS = 2000
"""Pause after a read of the configuration that failed, doubled with each one in
a row: calls that are refused are paid for as well. A list that is read again,
and other gateways, tell sooner that there is something to read."""


class Watches:
    """Keeps configuration and list of backend servers up to date.

    Args:
        context: What the gateway's parts share.
        registry: The platform's list and configuration.
        peers: Other gateways.
    """

    def __init__(
        self, context: Context, registry: Registry, peers: Peers
    ) -> None:
        self._context = context
        self._peers = peers
        self._registry = registry
        self._lost: set[str] = set()
        self._ignored = 0
        self._waiting: gevent.Greenlet | None = None

    def run_configuration(self) -> None:
        """Follows the configuration."""
        end = None
        failures = 0
        while True:
            if end is None:
                read = self._read_configuration()
            else:
                read = self._wait_for_change(end)
            if read is None:
                end = None
                continue
            if isinstance(read, Unavailable):
                gevent.sleep(self._again_ms(failures) / 1000)
                failures += 1
                end = None
                continue
            failures = 0
            end = max(read.end, end or 0)

    def _again_ms(self, failures: int) -> int:
        """Returns the pause after a failed read.

        Args:
            failures: Reads that had failed before it, in a row.
        """
        if self._context.configuration is None:
            # Nothing can be served before the first one.
            return _AGAIN_MS
        return min(_AGAIN_MOST_MS, _AGAIN_MS << min(failures, 4))

    def _read_configuration(self) -> ConfigurationRead | Unavailable:
        """Reads the newest configuration and takes it."""
        read = self._registry.read_configuration()
        self._take(read)
        return read

    def _wait_for_change(
        self, end: int
    ) -> ConfigurationRead | NothingNew | Unavailable | None:
        """Waits for the next configuration and takes it.

        Returns:
            What came; None if the wait was given up.
        """
        self._waiting = gevent.spawn(
            self._registry.wait_for_change, end, self._wait_ms()
        )
        read = self._waiting.get()
        self._waiting = None
        if isinstance(read, gevent.GreenletExit):
            return None
        self._take(read)
        return read

    def _wait_ms(self) -> int:
        context = self._context
        gateways = max(1, context.fleet.loads.gateways)
        wait_ms = min(
            _WAIT_MOST_MS, max(_WAIT_LEAST_MS, _WAIT_EACH_MS * gateways)
        )
        spread = context.rng.uniform(1 - _WAIT_SPREAD, 1)
        return int(wait_ms * spread)

    def _take(self, read) -> None:
        self._note("configuration", read)
        if isinstance(read, ConfigurationRead):
            self._context.take_configuration(
                read.configuration, read.raw, "store"
            )

    def _on_store_back(self) -> None:
        """Lets the configuration be read anew instead of waited for.

        Guards against a wait that was sent while the store answered nobody:
        it is never answered, and a change would be taken only when its time is
        over. The list shows first that the store is back.
        """
        if self._waiting is None:
            self._read_configuration()
        else:
            self._waiting.kill(block=False)

    def run_list(self) -> None:
        """Keeps the list of backend servers young until the process ends."""
        fleet = self._context.fleet
        while True:
            now_ms = self._context.clock.now_ms()
            if fleet.known and fleet.age_ms(now_ms) < self._due_age_ms():
                gevent.sleep(_LIST_LOOK_S)
                continue
            if not self._read_list():
                pause_ms = _LIST_AGAIN_MS if fleet.known else _START_LIST_MS
                gevent.sleep(pause_ms / 1000)

    def _due_age_ms(self) -> float:
        base_ms = (
            _LIST_MS if self._peers.is_first_at_home() else _OTHERS_LIST_MS
        )
        return base_ms + self._context.rng.random() * _LIST_SPREAD_MS

    def _read_list(self) -> bool:
        """Reads the list of backend servers once; returns whether it came."""
        context = self._context
        asked_ms = context.clock.now_ms()
        listing = self._registry.read_backends()
        was_lost = "backends" in self._lost
        self._note("backends", listing)
        if isinstance(listing, Unavailable):
            return False
        if listing.ignored != self._ignored:
            self._ignored = listing.ignored
            context.log.write("backends.ignored", records=listing.ignored)
        context.fleet.take_listing(listing, asked_ms)
        if was_lost:
            self._on_store_back()
        context.tallies.gauge("backends", len(listing.backends))
        return True

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
