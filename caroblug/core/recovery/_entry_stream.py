"""State of one stream at the entry, which releases its tokens in order."""


class EntryStream:
    """Reassembles the tokens of one stream across attempts.

    Args:
        prompt: Tokens of the prompt.
        max_length: Number of tokens, prompt included, at which the stream is
            complete.
    """

    def __init__(self, prompt: list[int], max_length: int) -> None:
        self.prompt_length = len(prompt)
        self.max_length = max_length
        self._tokens = list(prompt)
        self._early: dict[int, int] = {}
        self._attempt = 0

    @property
    def attempt(self) -> int:
        """Number of the newest attempt; 0 before the first one."""
        return self._attempt

    @property
    def tokens(self) -> list[int]:
        """Prompt and accepted tokens."""
        return list(self._tokens)

    @property
    def generated(self) -> int:
        """Number of accepted tokens after the prompt."""
        return len(self._tokens) - self.prompt_length

    @property
    def complete(self) -> bool:
        """Whether all tokens have been accepted."""
        return len(self._tokens) >= self.max_length

    def begin_attempt(self) -> int:
        """Starts the next attempt and returns its number."""
        self._attempt += 1
        return self._attempt

    def is_current(self, attempt: int) -> bool:
        """Returns whether tokens of an attempt are accepted.

        Guards against two tokens for one position: a token of an older
        attempt may arrive late, after its position has been sampled again.
        The surviving stages resend the tokens that the entry lacks.
        """
        return attempt == self._attempt

    def on_token(self, position: int, token: int) -> list[int]:
        """Accepts a token and returns the tokens now released, in order.

        Guards against tokens that arrive twice, early or from an older
        attempt: a position is released once, and a second token for it must
        be equal.

        Args:
            position: Index of the token in the sequence, prompt included.
            token: The token.

        Returns:
            The released tokens.

        Raises:
            AssertionError: If the position is past the end or another token
                was accepted for it.
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
