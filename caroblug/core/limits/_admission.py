"""Admission at the entry: refused early, before anything runs."""

from caroblug.utils import RefusalType, Refused

_RETRY_AFTER_MS = 1000


class Admission:
    """Counts open streams by client account and in all.

    Args:
        streams: Streams that this entry may have open at once.
    """

    def __init__(self, streams: int) -> None:
        self.streams = streams
        self._open: dict[str, int] = {}
        self._total = 0

    def admit(self, client_account: str, allowed: int) -> Refused | None:
        """Takes a place for a stream, or refuses it.

        Args:
            client_account: Whose stream it is.
            allowed: Streams that the account may have open at once.
        """
        if self._total >= self.streams:
            return Refused(
                RefusalType.OVERLOADED,
                "this instance is full",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        held = self._open.get(client_account, 0)
        if held >= allowed:
            return Refused(
                RefusalType.LIMIT_REACHED,
                f"{allowed} streams are open already",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        self._open[client_account] = held + 1
        self._total += 1
        return None

    def release(self, client_account: str) -> None:
        """Gives a place back."""
        held = self._open[client_account] - 1
        if held:
            self._open[client_account] = held
        else:
            del self._open[client_account]
        self._total -= 1
