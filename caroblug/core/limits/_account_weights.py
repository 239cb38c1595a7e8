"""The weight of each client account at one engine."""

import attrs


@attrs.define
class _Account:
    stream_weight: float = 0.0
    sessions: int = 0


class AccountWeights:
    """Adds up the weights of the streams that an account has here.

    An account's weight is split over all its streams, wherever they run, so
    that its weights at all engines add up to its own. Each stream was opened
    with the weight that was right then; the newest one is taken for all.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._sessions: dict[str, str] = {}

    def __len__(self) -> int:
        """Returns how many accounts have streams here."""
        return len(self._accounts)

    def on_stream(
        self,
        client_account: str,
        session: str,
        stream_weight: float,
        most: float,
    ) -> float:
        """Notes a stream, once, and returns its account's weight here.

        Args:
            client_account: Whose stream it is.
            session: The stream.
            stream_weight: Weight that one of the account's streams has, > 0.
            most: The account's own weight. Guards against a burst whose
                streams were opened before their entries heard of each other:
                each was given too much.
        """
        account = self._accounts.setdefault(client_account, _Account())
        if session not in self._sessions:
            self._sessions[session] = client_account
            account.sessions += 1
            account.stream_weight = stream_weight
        return min(most, account.stream_weight * account.sessions)

    def on_end(self, session: str) -> None:
        """Forgets a stream; one that is not known does nothing."""
        client_account = self._sessions.pop(session, None)
        if client_account is None:
            return
        account = self._accounts[client_account]
        account.sessions -= 1
        if not account.sessions:
            del self._accounts[client_account]
