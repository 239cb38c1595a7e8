"""Times in which backend servers accept no requests, as they themselves say."""

import attrs

_EXIT_RETENTION_MS = 600_000
"""Time for which an announced exit is remembered: longer than a server drains,
or than its entry may be missing from the list of servers."""


@attrs.frozen
class _AnnouncedExit:
    """The announcement of a server process that it is going to exit.

    Attributes:
        started_ms: When the process started, which tells it from the next one
            of the same name.
        announced_ms: When this gateway learned of it.
    """

    started_ms: int
    announced_ms: int


class ServerAvailability:
    """Tracks the rests that servers asked for and the exits they announced."""

    def __init__(self) -> None:
        self._rest_until_ms: dict[str, int] = {}
        self._exits: dict[str, _AnnouncedExit] = {}

    def on_rest(self, server: str, rest_ms: int, now_ms: int) -> None:
        """Records that a server wants no requests from this gateway.

        A shorter rest that is asked for later doesn't shorten this one, nor do
        responses to earlier requests.

        Args:
            server: Name of the server.
            rest_ms: Time for which it wants none.
            now_ms: Current time.
        """
        until_ms = max(
            now_ms + rest_ms, self._rest_until_ms.get(server, now_ms)
        )
        self._rest_until_ms = {
            name: end_ms
            for name, end_ms in self._rest_until_ms.items()
            if end_ms > now_ms
        }
        self._rest_until_ms[server] = until_ms

    def is_at_rest(self, server: str, now_ms: int) -> bool:
        """Returns whether a server wants no requests at this time."""
        return self._rest_until_ms.get(server, now_ms) > now_ms

    def on_exit_announced(
        self, server: str, started_ms: int, now_ms: int
    ) -> bool:
        """Records that a server process says that it is draining.

        Args:
            server: Name of the server.
            started_ms: When the process started.
            now_ms: Current time.

        Returns:
            Whether this is new.
        """
        if self.is_exiting(server, started_ms):
            return False
        self._exits = {
            name: announced
            for name, announced in self._exits.items()
            if now_ms - announced.announced_ms <= _EXIT_RETENTION_MS
        }
        self._exits[server] = _AnnouncedExit(started_ms, now_ms)
        return True

    def is_exiting(self, server: str, started_ms: int) -> bool:
        """Returns whether a process, or a later one, has announced its exit."""
        announced = self._exits.get(server)
        return announced is not None and started_ms <= announced.started_ms

    def exits(self) -> dict[str, int]:
        """Returns the start of each process that has announced its exit.

        Returns:
            Start in ms, by name of the server.
        """
        return {
            server: announced.started_ms
            for server, announced in self._exits.items()
        }
