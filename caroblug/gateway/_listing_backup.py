"""Backup of the list of backend servers for gateways that start.

A gateway without a list refuses every request. A running gateway keeps the last
list while the store can't give it, and hands it to its peers, but after all
gateways have lost power there is nobody to ask. The store keeps each list in
one of its partitions, so that a partial outage can hide the list and nothing
else. The active gateway therefore saves copies of the list in other partitions.

A restored list may be outdated. Requests name the backend server that they are
meant for, and an engine that has given up its layers rejects them, so that an
outdated entry costs a retry. The list itself replaces the copy as soon as it
can be read.
"""

from collections.abc import Callable

import gevent

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import Registry, Unavailable

_MIN_SAVE_INTERVAL_MS = 2000
"""Minimum time between two saves, in ms. Engines that load their layers change
the list several times a second, and each save costs several calls."""

_MAX_SAVED_AGE_MS = 3000
"""Age up to which a list is saved, in ms. A gateway that was paused has an
older one when it resumes, and would replace the copies of a newer list."""

_CHECK_INTERVAL_S = 0.25


class ListingBackup:
    """Saves the list of backend servers and restores it at a start.

    Args:
        context: Shared state of the gateway's components.
        registry: Access to the copies.
        is_active: Returns whether this gateway is the one that saves the list.
    """

    def __init__(
        self,
        context: Context,
        registry: Registry,
        is_active: Callable[[], bool],
    ) -> None:
        self._context = context
        self._registry = registry
        self._is_active = is_active
        self._saved_digest = ""
        self._attempted_ms: int | None = None

    def run(self) -> None:
        """Saves changes of the list until the process ends."""
        while True:
            gevent.sleep(_CHECK_INTERVAL_S)
            self.save_if_due()

    def save_if_due(self) -> None:
        """Saves the list if it has changed since this gateway last saved it."""
        fleet = self._context.fleet
        now_ms = self._context.clock.now_ms()
        if not self._is_active():
            # Another gateway may save a newer list meanwhile.
            self._saved_digest = ""
            return
        listing = fleet.listing
        if listing.digest == self._saved_digest or not self._may_save(now_ms):
            return
        self._attempted_ms = now_ms
        problem = self._registry.save_backends(listing)
        self._context.telemetry.count("listing_saves")
        if problem is None:
            self._saved_digest = listing.digest
        else:
            self._context.telemetry.count("listing_saves_failed")
            self._context.log.write(
                "backends.not_saved", reason=problem.message
            )

    def _may_save(self, now_ms: int) -> bool:
        """Returns whether the list is recent and the last save long ago."""
        fleet = self._context.fleet
        if not fleet.has_confirmed_listing:
            return False
        if fleet.listing_age_ms(now_ms) > _MAX_SAVED_AGE_MS:
            return False
        return (
            self._attempted_ms is None
            or now_ms - self._attempted_ms >= _MIN_SAVE_INTERVAL_MS
        )

    def restore(self) -> bool:
        """Restores the list from its copies unless a list is known.

        Returns:
            Whether a list was restored.
        """
        listing = self._registry.read_saved_backends()
        if isinstance(listing, Unavailable):
            self._context.log.write(
                "backends.not_restored", reason=listing.message
            )
            return False
        restored = self._context.fleet.restore_listing(
            listing, self._context.clock.now_ms()
        )
        if restored:
            self._context.log.write(
                "backends.restored",
                backends=len(listing.backends),
                end=listing.end,
            )
        return restored
