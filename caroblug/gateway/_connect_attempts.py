"""Connection attempts of one request to the engines that may run it.

An engine without power accepts no connection. Neither does a healthy engine
while the gateway's own link is cut or full. A single failed attempt can't tell
the two cases apart, so an engine counts as unreachable only after another
engine has accepted a connection.
"""

_FIRST_TIMEOUT_S = 0.1
"""Timeout of the first attempt. Engines accept within a few ms, and after this
timeout a second engine can still deliver the first event in time."""

CONNECT_TIMEOUT_S = 0.25
"""Timeout of later attempts, and of all attempts of plain calls. A backend
server without power never accepts, and this leaves enough time to send the
request to another one."""

_MAX_FAILED_ATTEMPTS = 4
"""Failed attempts in a row after which the request is refused."""


class ConnectAttempts:
    """Tracks a request's connection attempts until one succeeds."""

    def __init__(self) -> None:
        self._unreachable: list[str] = []

    @property
    def timeout_s(self) -> float:
        """Timeout of the next attempt, in seconds."""
        return CONNECT_TIMEOUT_S if self._unreachable else _FIRST_TIMEOUT_S

    @property
    def exhausted(self) -> bool:
        """Whether the limit of failed attempts is reached."""
        return len(self._unreachable) >= _MAX_FAILED_ATTEMPTS

    def on_connect_failed(self, name: str) -> None:
        """Records an engine that accepted no connection."""
        self._unreachable.append(name)

    def on_connected(self) -> list[str]:
        """Returns the engines now known to be unreachable and forgets them."""
        unreachable, self._unreachable = self._unreachable, []
        return unreachable
