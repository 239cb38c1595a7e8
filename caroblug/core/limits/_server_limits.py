"""Request rates that backend servers ask all gateways to keep."""

import attrs


@attrs.define
class _ServerLimit:
    """What is known of one server's limit.

    Attributes:
        rate_per_s: Requests a second that the server accepts from all gateways
            together; None if it names no limit any more.
        named_ms: When it last named a limit.
    """

    rate_per_s: float | None
    named_ms: int


class ServerLimits:
    """Tracks the limits that backend servers name in their responses."""

    def __init__(self) -> None:
        self._limits: dict[str, _ServerLimit] = {}

    def on_response(
        self, server: str, rate_per_s: float | None, sent_ms: int, now_ms: int
    ) -> bool:
        """Records the limit that a response names, or that it names none.

        Args:
            server: Name of the server.
            rate_per_s: The limit; None if the response names none.
            sent_ms: When the request was sent. A response without a limit
                counts only if its request was sent after a limit was last
                named, as responses may overtake each other.
            now_ms: Current time.

        Returns:
            Whether the limit has changed.
        """
        limit = self._limits.get(server)
        if rate_per_s is None:
            if limit is None or sent_ms <= limit.named_ms:
                return False
            del self._limits[server]
            return True
        self._limits[server] = _ServerLimit(rate_per_s, now_ms)
        return limit is None or limit.rate_per_s != rate_per_s
