"""One stream at the entry: tokens released once, in order."""


class EntryStream:
    """Reassembles the tokens of one stream, whichever attempt brings them.

    Args:
        prompt: Tokens of the prompt.
        max_length: Tokens after which the stream is complete.
    """

    def __init__(self, prompt: list[int], max_length: int) -> None:
        self.prompt_length = len(prompt)
        self.max_length = max_length
        self._tokens = list(prompt)
        self._early: dict[int, int] = {}
        self._attempt = 0

    @property
    def attempt(self) -> int:
        """Number of the newest attempt; 0 before the first."""
        return self._attempt

    @property
    def tokens(self) -> list[int]:
        """Prompt and accepted tokens."""
        return list(self._tokens)

    @property
    def generated(self) -> int:
        """How many tokens have been accepted after the prompt."""
        return len(self._tokens) - self.prompt_length

    @property
    def complete(self) -> bool:
        """Whether every token has been accepted."""
        return len(self._tokens) >= self.max_length

    def begin_attempt(self) -> int:
        """Starts the next attempt and returns its number."""
        self._attempt += 1
        return self._attempt

    def is_current(self, attempt: int) -> bool:
        """Tells whether a token of this attempt may be taken.

        Guards against two tokens for one position: a token of an older
        attempt may be late, and its position sampled anew meanwhile. The
        stages that live on send again what the entry lacks.
        """
        return attempt == self._attempt

    def on_token(self, position: int, token: int) -> list[int]:
        """Takes a token and returns those now released, in order.

        Guards against tokens that come twice, early or from an older attempt:
        a position is released once, and a second token for it must be equal.
        """
        if position >= self.max_length:
            raise AssertionError(f"token past the end, at {position}")
        if position < len(self._tokens):
            if self._tokens[position] != token:
                raise AssertionError(f"two tokens for position {position}")
            return []
        self._early[position] = token
        released = []
        while len(self._tokens) in self._early:
            released.append(self._early.pop(len(self._tokens)))
            self._tokens.append(released[-1])
        return released
