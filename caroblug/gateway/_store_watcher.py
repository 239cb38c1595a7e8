"""Reading configuration and backend servers from the platform."""

from collections.abc import Callable
from typing import TypeVar

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import (
    ConfigurationRead,
    NoChange,
    Registry,
    Unavailable,
)
from caroblug.gateway._peers import Peers

_Read = TypeVar("_Read")

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

_FIRST_WAIT_MS = 3000
"""Wait for a change of the first by name of the gateways of a data centre. A
connection that went silent tells nothing until its wait ends, and all gateways
begin to wait anew at the same moment, with each change: this one finds a change
and tells the others, however long theirs are."""

_FIRST_OVERDUE_MS = 4000
"""Age from which the wait of a gateway that has become the first is ended."""

_WAIT_EACH_MS = 1000
"""Time between two ends of a wait, over all other gateways."""

_FOLLOW_LOOK_S = 0.05
"""How often a gateway that follows others looks whether it still may."""

_WAIT_LEAST_MS = 4000
_WAIT_MOST_MS = 20000
_WAIT_SPREAD = 0.25
"""Share by which waits differ, so that they don't all end together."""

_WAIT_SLACK_MS = 2000
"""Added to a wait before it is given up, whatever its connection does."""

_READ_MS = 1500
_READ_MOST_MS = 12000
"""Bound on a whole read, doubled with each one in a row that failed: a large
configuration or list may take longer on a slow link, and a read may also
hang."""

_BACK_READ_S = 0.2
"""How long the list waits for a read of the configuration."""

_AGAIN_MS = 250
_AGAIN_MOST_MS = 2000
"""Pause after a read of the configuration that failed, doubled with each one in
a row: calls that are refused are paid for as well. A list that is read again,
and other gateways, tell sooner that there is something to read."""


class StoreWatcher:
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
        self._list_failures = 0
        self._call: gevent.Greenlet | None = None
        self._waiting_since_ms: int | None = None

    def run_configuration(self) -> None:
        """Follows the configuration."""
        end = None
        failures = 0
        while True:
            if not self._peers.reads_configuration():
                end = None
                gevent.sleep(_FOLLOW_LOOK_S)
                continue
            asked_ms = self._context.clock.now_ms()
            read = self._read_next(end, failures)
            if read is None:
                end = None
                continue
            # A wait tells of the moment in which it ends.
            now_ms = self._context.clock.now_ms()
            self._take(read, asked_ms if end is None else now_ms)
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

    def _read_next(
        self, end: int | None, failures: int
    ) -> ConfigurationRead | NoChange | Unavailable | None:
        """Reads the newest configuration, or waits for one after `end`.

        Args:
            end: Where to wait; None to read.
            failures: Reads that have failed, in a row.

        Returns:
            What came; None if the call was given up to read anew.
        """
        registry = self._registry
        if end is None:
            call = gevent.spawn(registry.read_configuration)
            bound_ms = _read_bound_ms(failures)
        else:
            wait_ms = self._wait_ms()
            call = gevent.spawn(registry.wait_for_change, end, wait_ms)
            bound_ms = wait_ms + _WAIT_SLACK_MS
            self._waiting_since_ms = self._context.clock.now_ms()
        self._call = call
        call.join(bound_ms / 1000)
        self._call = None
        self._waiting_since_ms = None
        if not call.ready():
            call.kill(block=False)
            return Unavailable(f"no answer within {bound_ms} ms")
        read = call.get()
        return None if isinstance(read, gevent.GreenletExit) else read

    def _wait_ms(self) -> int:
        if self._peers.is_first_local_reader():
            return _FIRST_WAIT_MS
        context = self._context
        gateways = max(1, context.fleet.loads.gateways)
        wait_ms = min(
            _WAIT_MOST_MS, max(_WAIT_LEAST_MS, _WAIT_EACH_MS * gateways)
        )
        spread = context.rng.uniform(1 - _WAIT_SPREAD, 1)
        return int(wait_ms * spread)

    def _take(self, read, confirmed_ms: int) -> None:
        """Takes what was read.

        Args:
            read: What came.
            confirmed_ms: When it was the newest for certain.
        """
        self._note("configuration", read)
        if isinstance(read, Unavailable):
            return
        if isinstance(
            read, ConfigurationRead
        ) and self._context.apply_configuration(
            read.configuration, read.raw, "store"
        ):
            self._peers.on_new_version(confirmed_ms)
        self._peers.readers.confirm_version(confirmed_ms)

    def _on_store_back(self) -> None:
        """Lets the configuration be read anew.

        Guards against a call that was sent while the store answered nobody:
        it is never answered, and a change would be taken only when its time is
        over. The list shows first that the store is back; it doesn't wait long
        for a read, which may hang like any other.
        """
        if self._call is None:
            gevent.spawn(self._read_once).join(_BACK_READ_S)
        else:
            self._call.kill(block=False)

    def _read_once(self) -> None:
        """Reads the newest configuration and takes it."""
        asked_ms = self._context.clock.now_ms()
        read = _bounded(self._registry.read_configuration, _READ_MS)
        self._take(read, asked_ms)

    def _renew_wait(self) -> None:
        """Ends a wait that is too long for the first of a data centre.

        Guards against the end of the gateway that was the first before: the
        next one may be in a long wait on a connection that went silent.
        """
        since_ms = self._waiting_since_ms
        if since_ms is None or not self._peers.is_first_local_reader():
            return
        if self._context.clock.now_ms() - since_ms > _FIRST_OVERDUE_MS:
            self._call.kill(block=False)

    def run_list(self) -> None:
        """Keeps the list of backend servers young until the process ends."""
        fleet = self._context.fleet
        while True:
            self._renew_wait()
            now_ms = self._context.clock.now_ms()
            if (
                fleet.has_listing
                and fleet.listing_age_ms(now_ms) < self._due_age_ms()
            ):
                gevent.sleep(_LIST_LOOK_S)
                continue
            if not self._read_list():
                pause_ms = (
                    _LIST_AGAIN_MS if fleet.has_listing else _START_LIST_MS
                )
                gevent.sleep(pause_ms / 1000)

    def _due_age_ms(self) -> float:
        base_ms = (
            _LIST_MS if self._peers.is_first_local_reader() else _OTHERS_LIST_MS
        )
        return base_ms + self._context.rng.random() * _LIST_SPREAD_MS

    def _read_list(self) -> bool:
        """Reads the list of backend servers once; returns whether it came."""
        context = self._context
        asked_ms = context.clock.now_ms()
        bound_ms = _read_bound_ms(self._list_failures)
        listing = _bounded(self._registry.read_backends, bound_ms)
        was_lost = "backends" in self._lost
        self._note("backends", listing)
        if isinstance(listing, Unavailable):
            self._list_failures += 1
            self._peers.readers.note_read(None)
            return False
        self._list_failures = 0
        self._peers.readers.note_read(context.clock.now_ms() - asked_ms)
        if listing.ignored != self._ignored:
            self._ignored = listing.ignored
            context.log.write("backends.ignored", records=listing.ignored)
        context.fleet.update_listing(listing, asked_ms)
        if was_lost:
            self._on_store_back()
        context.telemetry.gauge("backends", len(listing.backends))
        return True

    def _note(self, what: str, read) -> None:
        """Writes a line when a dependency is lost or regained."""
        self._context.telemetry.count("store_calls", what=what)
        if isinstance(read, Unavailable):
            self._context.telemetry.count("store_calls_failed", what=what)
            if what not in self._lost:
                self._lost.add(what)
                self._context.log.write(
                    "store.lost", what=what, reason=read.message
                )
        elif what in self._lost:
            self._lost.discard(what)
            self._context.log.write("store.regained", what=what)


def _read_bound_ms(failures: int) -> int:
    """Returns the bound on a read after failures in a row."""
    return min(_READ_MOST_MS, _READ_MS << min(failures, 3))


def _bounded(read: Callable[[], _Read], bound_ms: int) -> _Read | Unavailable:
    """Reads; returns `Unavailable` if that takes longer than the bound."""
    with gevent.Timeout(bound_ms / 1000, False):
        return read()
    return Unavailable(f"no answer within {bound_ms} ms")
