"""Fair-queueing weight of each client account at one engine."""

import attrs


@attrs.define
class _Account:
    stream_weight: float = 0.0
    sessions: int = 0


class AccountWeights:
    """Computes the weight of each account from its streams at this engine.

    The weight of an account is divided among all its streams, at all engines,
    so that its weights at all engines add up to the weight of the account.
    The weight per stream changes as streams open and close; the value of the
    newest stream applies to all streams of the account.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._sessions: dict[str, str] = {}

    def __len__(self) -> int:
        """Returns the number of accounts with streams at this engine."""
        return len(self._accounts)

    def on_stream(
        self,
        client_account: str,
        session: str,
        stream_weight: float,
        max_weight: float,
    ) -> float:
        """Adds a stream if it is new and returns the weight of its account.

        Args:
            client_account: Account that the stream belongs to.
            session: Session name of the stream.
            stream_weight: Weight of one stream of the account, > 0.
            max_weight: Weight of the whole account, an upper bound of the
                result. In a burst, entries open streams before they know of
                each other's, and assign each stream too high a weight.

        Returns:
            The weight of the account at this engine.
        """
        account = self._accounts.setdefault(client_account, _Account())
        if session not in self._sessions:
            self._sessions[session] = client_account
            account.sessions += 1
            account.stream_weight = stream_weight
        return min(max_weight, account.stream_weight * account.sessions)

    def on_end(self, session: str) -> None:
        """Removes a stream; an unknown one is ignored."""
        client_account = self._sessions.pop(session, None)
        if client_account is None:
            return
        account = self._accounts[client_account]
        account.sessions -= 1
        if not account.sessions:
            del self._accounts[client_account]
