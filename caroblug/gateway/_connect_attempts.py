"""Connections that one request tries to get to its engines.

An engine without power takes no connection, and neither does a sound one while
the gateway's own link is cut or full. Only the comparison tells them apart:
an engine counts as gone once another one has taken a connection.
"""

_FIRST_S = 0.1
"""Bound on the first try: engines accept within some ms, and a second engine
still brings the first event in time."""

CONNECT_TIMEOUT_S = 0.25
"""Bound on the others, also for calls. A dark backend server never accepts, and
the request then goes to another one with time to spare."""

_MOST = 4
"""Tries without a connection after which the request is refused."""


class ConnectAttempts:
    """Tries of one request, until one of them gets a connection."""

    def __init__(self) -> None:
        self._unreachable: list[str] = []

    @property
    def timeout_s(self) -> float:
        """Bound on the next try, in seconds."""
        return CONNECT_TIMEOUT_S if self._unreachable else _FIRST_S

    @property
    def exhausted(self) -> bool:
        """Whether another try is of no use."""
        return len(self._unreachable) >= _MOST

    def on_connect_failed(self, name: str) -> None:
        """Notes an engine that took no connection."""
        self._unreachable.append(name)

    def on_connected(self) -> list[str]:
        """Notes a connection; returns the engines that count as gone."""
        gone, self._unreachable = self._unreachable, []
        return gone
