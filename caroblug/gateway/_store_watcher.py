"""Watching the platform's store for the configuration and backend servers."""

from collections.abc import Callable
from typing import TypeVar

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import (
    ConfigurationRead,
    NoChange,
    RefusedEntry,
    Registry,
    Unavailable,
)
from caroblug.gateway._listing_backup import ListingBackup
from caroblug.gateway._peers import Peers

_Read = TypeVar("_Read")

_MAX_LIST_AGE_MS = 700
"""Age of the list of backend servers at which the first reader of a data centre
reads it again. The other gateways receive it within half a second, so that
requests stop going to draining backend servers within two seconds. Each data
centre makes about 1.2 paid reads a second."""

_MAX_FOLLOWER_LIST_AGE_MS = 1300
"""Age of the list at which gateways other than the first reader read it. They
do so only if they don't receive it from a peer."""

_LIST_JITTER_MS = 200
"""Maximum random addition to the age at which the list is read, so that the
gateways don't read at the same moment."""

_LIST_RETRY_MS = 900
"""Pause after a failed read of the list. Rejected calls cost money, too."""

_MAX_LOGGED_ENTRIES = 10
"""Refused entries of one list that are logged; the others are only counted."""

_LIST_POLL_S = 0.05
_START_POLL_S = 0.005
_INITIAL_LIST_RETRY_MS = 150
"""Pause after a failed read while no list has been read yet."""

_RESTORE_DELAY_S = 0.1
"""Time that a start waits for the list before it reads the copies, unless
the first read fails earlier, in s."""

_RESTORE_RETRY_S = 0.5
"""Pause after an attempt to read the copies of the list, in s."""

_FIRST_READER_WAIT_MS = 3000
"""Duration of the first reader's wait for a change. A connection that went
silent reports nothing until its wait ends, and all gateways restart their waits
at the same moment, with each change. The first reader's short wait finds the
next change and distributes it, however long the waits of the others are."""

_FIRST_READER_OVERDUE_MS = 4000
"""Duration after which the wait of a gateway that has become the first reader
is restarted."""

_WAIT_PER_GATEWAY_MS = 1000
"""Time between the ends of two waits, over all gateways except first readers,
before bounds and jitter are applied."""

_FOLLOWER_POLL_S = 0.05
"""Interval at which a gateway that doesn't read the configuration itself checks
whether it has to."""

_MIN_WAIT_MS = 4000
_MAX_WAIT_MS = 20000
_WAIT_JITTER = 0.25
"""Maximum share by which a wait is shortened at random, so that the waits don't
all end at the same moment."""

_WAIT_SLACK_MS = 2000
"""Time beyond its duration after which a wait is aborted, in whatever state its
connection is."""

_READ_TIMEOUT_MS = 1500
_MAX_READ_TIMEOUT_MS = 12000
"""Timeout of a whole read and its maximum. The timeout doubles with each
consecutive failure, as a large configuration or list may take longer on a slow
link. A read may also hang."""

_RECOVERY_READ_WAIT_S = 0.2
"""How long the loop that reads the list waits for the configuration to be
reread."""

_RETRY_MS = 250
_MAX_RETRY_MS = 2000
"""Pause after a failed read of the configuration and its maximum. The pause
doubles with each consecutive failure, as rejected calls cost money, too. After
an outage, a successful read of the list triggers the next read earlier, and a
peer may deliver a newer configuration."""


class StoreWatcher:
    """Keeps the configuration and the list of backend servers up to date.

    Args:
        context: Shared state of the gateway's components.
        registry: Access to the platform's list and configuration.
        peers: Exchange of state with other gateways.
        backup: Copies of the list, for starts at which it can't be read.
    """

    def __init__(
        self,
        context: Context,
        registry: Registry,
        peers: Peers,
        backup: ListingBackup,
    ) -> None:
        self._context = context
        self._backup = backup
        self._peers = peers
        self._registry = registry
        self._lost: set[str] = set()
        self._refused: frozenset[RefusedEntry] = frozenset()
        self._list_failures = 0
        self._call: gevent.Greenlet | None = None
        self._waiting_since_ms: int | None = None

    def run_configuration(self) -> None:
        """Reads the configuration and its changes until the process ends."""
        end = None
        failures = 0
        while True:
            if not self._peers.reads_configuration():
                end = None
                gevent.sleep(_FOLLOWER_POLL_S)
                continue
            started_ms = self._context.clock.now_ms()
            read = self._read_next(end, failures)
            if read is None:
                end = None
                continue
            # The result of a read holds for when it started, and that of a wait
            # for when it ended.
            now_ms = self._context.clock.now_ms()
            self._apply_read(read, started_ms if end is None else now_ms)
            if isinstance(read, Unavailable):
                gevent.sleep(self._retry_delay_ms(failures) / 1000)
                failures += 1
                end = None
                continue
            failures = 0
            end = max(read.end, end or 0)

    def _retry_delay_ms(self, failures: int) -> int:
        """Returns the pause after a failed read of the configuration.

        Args:
            failures: Number of consecutive failures before it.
        """
        if self._context.configuration is None:
            # No request can be served before the first configuration.
            return _RETRY_MS
        return min(_MAX_RETRY_MS, _RETRY_MS << min(failures, 4))

    def _read_next(
        self, end: int | None, failures: int
    ) -> ConfigurationRead | NoChange | Unavailable | None:
        """Reads the newest configuration, or waits for one after `end`.

        Args:
            end: Position after which to wait for a change; None to read.
            failures: Number of consecutive failures so far.

        Returns:
            The result of the call; None if the call was aborted in order to
            read again.
        """
        registry = self._registry
        if end is None:
            call = gevent.spawn(registry.read_configuration)
            timeout_ms = _read_timeout_ms(failures)
        else:
            wait_ms = self._choose_wait_ms()
            call = gevent.spawn(registry.wait_for_change, end, wait_ms)
            timeout_ms = wait_ms + _WAIT_SLACK_MS
            self._waiting_since_ms = self._context.clock.now_ms()
        self._call = call
        call.join(timeout_ms / 1000)
        self._call = None
        self._waiting_since_ms = None
        if not call.ready():
            call.kill(block=False)
            return Unavailable(f"no answer within {timeout_ms} ms")
        read = call.get()
        return None if isinstance(read, gevent.GreenletExit) else read

    def _choose_wait_ms(self) -> int:
        if self._peers.is_first_local_reader():
            return _FIRST_READER_WAIT_MS
        context = self._context
        gateways = max(1, context.fleet.loads.gateways)
        wait_ms = min(
            _MAX_WAIT_MS, max(_MIN_WAIT_MS, _WAIT_PER_GATEWAY_MS * gateways)
        )
        jitter = context.rng.uniform(1 - _WAIT_JITTER, 1)
        return int(wait_ms * jitter)

    def _apply_read(self, read, confirmed_ms: int) -> None:
        """Applies the result of a read or wait.

        Args:
            read: The result.
            confirmed_ms: When the result was known to be current.
        """
        self._record_outcome("configuration", read)
        if isinstance(read, Unavailable):
            return
        if isinstance(
            read, ConfigurationRead
        ) and self._context.apply_configuration(
            read.configuration, read.raw, "store"
        ):
            self._peers.on_new_version(confirmed_ms)
        self._peers.reader_ranking.confirm_version(confirmed_ms)

    def on_store_moved(self) -> None:
        """Ends a wait at the store's former address."""
        if self._call is not None:
            self._call.kill(block=False)

    def _on_store_recovered(self) -> None:
        """Makes the configuration be read again after an outage of the store.

        Guards against a call that was sent while the store gave no answers. It
        is never answered, and a change would be applied only after its timeout.
        A successful read of the list is the first sign of the recovery. The
        loop that reads the list waits only briefly here, as this read may hang
        as well.
        """
        if self._call is None:
            gevent.spawn(self._reread_configuration).join(_RECOVERY_READ_WAIT_S)
        else:
            self._call.kill(block=False)

    def _reread_configuration(self) -> None:
        """Reads the newest configuration and applies it."""
        started_ms = self._context.clock.now_ms()
        read = _read_with_timeout(
            self._registry.read_configuration, _READ_TIMEOUT_MS
        )
        self._apply_read(read, started_ms)

    def _restart_long_wait(self) -> None:
        """Restarts a wait that is too long for the first reader.

        Guards against the failure of the previous first reader, as the next
        one may be in a long wait on a connection that went silent.
        """
        since_ms = self._waiting_since_ms
        if since_ms is None or not self._peers.is_first_local_reader():
            return
        if self._context.clock.now_ms() - since_ms > _FIRST_READER_OVERDUE_MS:
            self._call.kill(block=False)

    def run_restore(self) -> None:
        """Restores the list from its copies unless it is read in time.

        Guards against a start at which the store can't give the list. Every
        request would be refused although the backend servers are running.
        """
        fleet = self._context.fleet
        end_ms = self._context.clock.now_ms() + _RESTORE_DELAY_S * 1000
        while (
            not fleet.has_listing
            and not self._list_failures
            and self._context.clock.now_ms() < end_ms
        ):
            gevent.sleep(_START_POLL_S)
        while not fleet.has_listing and not self._backup.restore():
            gevent.sleep(_RESTORE_RETRY_S)

    def run_list(self) -> None:
        """Refreshes the list of backend servers until the process ends."""
        fleet = self._context.fleet
        while True:
            self._restart_long_wait()
            now_ms = self._context.clock.now_ms()
            if (
                fleet.has_listing
                and fleet.listing_age_ms(now_ms) < self._max_list_age_ms()
            ):
                gevent.sleep(_LIST_POLL_S)
                continue
            if not self._read_list():
                pause_ms = (
                    _LIST_RETRY_MS
                    if fleet.has_listing
                    else _INITIAL_LIST_RETRY_MS
                )
                gevent.sleep(pause_ms / 1000)

    def _max_list_age_ms(self) -> float:
        base_ms = (
            _MAX_LIST_AGE_MS
            if self._peers.is_first_local_reader()
            else _MAX_FOLLOWER_LIST_AGE_MS
        )
        return base_ms + self._context.rng.random() * _LIST_JITTER_MS

    def _read_list(self) -> bool:
        """Reads the list of backend servers; returns whether that succeeded."""
        context = self._context
        started_ms = context.clock.now_ms()
        timeout_ms = _read_timeout_ms(self._list_failures)
        listing = _read_with_timeout(self._registry.read_backends, timeout_ms)
        was_lost = "backends" in self._lost
        self._record_outcome("backends", listing)
        if isinstance(listing, Unavailable):
            self._list_failures += 1
            self._peers.reader_ranking.record_read(None)
            return False
        self._list_failures = 0
        self._peers.reader_ranking.record_read(
            context.clock.now_ms() - started_ms
        )
        self._record_refused(listing.refused)
        context.fleet.update_listing(listing, started_ms)
        if was_lost:
            self._on_store_recovered()
        context.telemetry.gauge("backends", len(listing.backends))
        return True

    def _record_refused(self, refused: tuple[RefusedEntry, ...]) -> None:
        """Counts the entries that name no server and logs the new ones."""
        before = self._refused
        self._refused = frozenset(refused)
        self._context.telemetry.gauge("refused_entries", len(refused))
        new = [entry for entry in refused if entry not in before]
        for entry in new[:_MAX_LOGGED_ENTRIES]:
            self._context.log.write(
                "backends.entry_refused",
                key=entry.key,
                reason=entry.reason,
                refused=len(refused),
            )

    def _record_outcome(self, what: str, read) -> None:
        """Counts a call to the store and logs when an outage begins or ends."""
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


def _read_timeout_ms(failures: int) -> int:
    """Returns the timeout of a read after consecutive failures."""
    return min(_MAX_READ_TIMEOUT_MS, _READ_TIMEOUT_MS << min(failures, 3))


def _read_with_timeout(
    read: Callable[[], _Read], timeout_ms: int
) -> _Read | Unavailable:
    """Returns the result of a read, or `Unavailable` after the timeout."""
    with gevent.Timeout(timeout_ms / 1000, False):
        return read()
    return Unavailable(f"no answer within {timeout_ms} ms")
