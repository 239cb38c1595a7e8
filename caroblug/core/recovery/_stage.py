"""State machine of one stream at one stage of a chain.

A stage accepts only the next position of the newest attempt that it knows. It
retains its outputs in a bounded journal. A replacement of the next stage is
fed from this journal, so that the engine of this stage runs no position twice.

References:
    Borzunov et al., "Petals: Collaborative Inference and Fine-tuning of Large
    Models", 2022: a client-side journal of stage inputs; here the previous
    stage holds the journal.
"""

import enum

from caroblug.core.recovery._effects import (
    Effect,
    FailStream,
    ForwardOpen,
    RunUnit,
    SendNeed,
    SendStates,
    SendToken,
)

DEFAULT_JOURNAL_POSITIONS = 8192
_GAP_FRAMES_PER_NEED = 16


class StageFailure(enum.StrEnum):
    """Reason for which a stage refuses or ends a stream."""

    JOURNAL_LOST = "journal_lost"
    ENGINE_FAILED = "engine_failed"
    PEER_UNREACHABLE = "peer_unreachable"
    LEAVING = "leaving"
    HANDED_ON = "handed_on"
    WRONG_LAYERS = "wrong_layers"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"


class StageStream:
    """State of one stream at one stage.

    The methods take events and return the effects to carry out.

    Args:
        is_first: Whether this is the first stage of the chain, whose inputs
            are tokens.
        is_last: Whether this is the last stage of the chain, which samples.
        journal_positions: Maximum number of outputs retained for the next
            stage.
    """

    def __init__(
        self,
        *,
        is_first: bool,
        is_last: bool,
        journal_positions: int = DEFAULT_JOURNAL_POSITIONS,
    ) -> None:
        self.is_first = is_first
        self.is_last = is_last
        self.journal_positions = journal_positions
        self._attempt = 0
        self._prompt_length = 0
        self._max_length = 0
        self._tokens: list[int] = []
        self._submitted = 0
        self._done = 0
        self._journal: list[bytes] = []
        self._journal_start = 0
        self._sampled: dict[int, int] = {}
        self._known_length = 0
        self._send_from = 0
        self._requested = -1
        self._gap_frames = 0

    @property
    def attempt(self) -> int:
        """Number of the newest known attempt; 0 before the first open."""
        return self._attempt

    @property
    def tokens(self) -> list[int]:
        """Tokens known to the first stage, prompt included."""
        return list(self._tokens)

    @property
    def done(self) -> int:
        """Number of positions that the engine has run."""
        return self._done

    def open(
        self,
        attempt: int,
        tokens: list[int],
        known_length: int,
        prompt_length: int,
        max_length: int,
        sends_from: int = 0,
    ) -> list[Effect]:
        """Opens the stream, or reopens it under a newer attempt.

        Args:
            attempt: Number of the attempt, from 1.
            tokens: Prompt and accepted tokens, at the first stage only.
            known_length: Number of settled tokens, prompt included: those
                that the entry or the first stage has.
            prompt_length: Number of tokens of the prompt.
            max_length: Number of tokens, prompt included, at which the stream
                is complete.
            sends_from: First position that the previous stage sends without
                a request.

        Returns:
            The effects; none for an attempt that is not newer.
        """
        if attempt <= self._attempt:
            return []
        self._attempt = attempt
        self._prompt_length = prompt_length
        self._max_length = max_length
        self._known_length = max(known_length, len(self._tokens))
        self._send_from = self._done
        effects: list[Effect] = []
        if not self.is_last:
            effects.append(ForwardOpen(self._known_length, self._done))
        effects += self._resend_sampled()
        if self.is_first:
            effects += self._reopen_first(tokens)
        elif self._submitted != sends_from:
            effects.append(self._request_states())
        return effects

    def _resend_sampled(self) -> list[Effect]:
        """Returns effects that resend sampled tokens which may be lost.

        Guards against a token lost with the entry's connection or with the
        first stage: the entry then has fewer tokens than the last stage has
        sampled. The retained token is resent and never sampled again, so the
        caller can't see two tokens for one position.
        """
        return [
            SendToken(position, token)
            for position, token in sorted(self._sampled.items())
            if position >= self._known_length
        ]

    def _reopen_first(self, tokens: list[int]) -> list[Effect]:
        shared = min(len(tokens), len(self._tokens))
        if tokens[:shared] != self._tokens[:shared]:
            raise AssertionError("a stream was reopened with different tokens")
        effects: list[Effect] = [
            SendToken(position, self._tokens[position], to_first_stage=False)
            for position in range(len(tokens), len(self._tokens))
        ]
        self._tokens.extend(tokens[len(self._tokens) :])
        return effects + self._submit_tokens()

    def _submit_tokens(self) -> list[Effect]:
        end = min(len(self._tokens), self._max_length - 1)
        if end <= self._submitted:
            return []
        start = self._submitted
        self._submitted = end
        inputs = tuple(self._tokens[start:end])
        return [RunUnit(self._attempt, start, inputs)]

    def on_token(self, attempt: int, position: int, token: int) -> list[Effect]:
        """Accepts the token for `position` from the last stage."""
        if attempt != self._attempt or position > len(self._tokens):
            return []
        if position < len(self._tokens):
            if self._tokens[position] != token:
                raise AssertionError(f"two tokens for position {position}")
            return []
        self._tokens.append(token)
        return self._submit_tokens()

    def on_states(
        self, attempt: int, position: int, states: list[bytes]
    ) -> list[Effect]:
        """Accepts hidden states from the previous stage.

        Guards against frames that arrive twice, late or after a gap: only the
        part from the next position on is run, and missing positions are
        requested again. The request is sent once, and repeated only with
        every `_GAP_FRAMES_PER_NEED`-th frame after a gap: if every such frame
        caused one, the previous stage would resend its journal each time.
        """
        if attempt != self._attempt:
            return []
        if position > self._submitted:
            return self._on_gap()
        new_states = states[self._submitted - position :]
        if not new_states:
            return []
        start = self._submitted
        self._submitted += len(new_states)
        return [RunUnit(self._attempt, start, tuple(new_states))]

    def _on_gap(self) -> list[Effect]:
        self._gap_frames += 1
        if (
            self._requested == self._submitted
            and self._gap_frames % _GAP_FRAMES_PER_NEED
        ):
            return []
        return [self._request_states()]

    def _request_states(self) -> SendNeed:
        self._requested = self._submitted
        return SendNeed(self._submitted)

    def on_states_run(self, position: int, states: list[bytes]) -> list[Effect]:
        """Accepts the outputs of the engine, at every stage but the last.

        Args:
            position: First position that was run.
            states: One output per position.

        Returns:
            The effects, which send the outputs to the next stage.
        """
        self._check_next_run(position)
        self._done += len(states)
        self._journal.extend(states)
        self._trim_journal()
        start = max(position, self._send_from)
        if start >= self._done:
            return []
        return [SendStates(start, tuple(states[start - position :]))]

    def on_sampled(
        self, position: int, length: int, token: int
    ) -> list[Effect]:
        """Accepts the result of the engine at the last stage.

        Guards against two tokens for one position: a replacement that runs
        settled positions again also samples them, and a different kind of
        engine may sample another token. Tokens sampled for settled positions
        are never sent.

        Args:
            position: First position that was run.
            length: Number of positions that were run.
            token: Token sampled after the last of them.

        Returns:
            The effects, which send the token unless its position is settled.
        """
        self._check_next_run(position)
        self._done += length
        token_position = self._done
        if token_position < max(self._prompt_length, self._known_length):
            return []
        self._sampled[token_position] = token
        return [SendToken(token_position, token)]

    def on_need(self, attempt: int, position: int) -> list[Effect]:
        """Sends outputs from `position` on, even if they were sent before."""
        if attempt != self._attempt:
            return []
        self._send_from = position
        if position >= self._done:
            return []
        if position < self._journal_start:
            return [
                FailStream(
                    StageFailure.JOURNAL_LOST,
                    f"position {position} is no longer kept",
                )
            ]
        states = self._journal[position - self._journal_start :]
        return [SendStates(position, tuple(states))]

    def _check_next_run(self, position: int) -> None:
        if position != self._done:
            raise AssertionError(
                f"engine answered position {position}, not {self._done}"
            )

    def _trim_journal(self) -> None:
        excess = len(self._journal) - self.journal_positions
        if excess > 0:
            del self._journal[:excess]
            self._journal_start += excess
