"""One stream at one stage: which positions it accepts, keeps and sends.

A stage accepts just the next position of the newest attempt it knows. It
keeps its outputs in a bounded journal, so that a replacement of the next
stage is fed again from here, and this stage's engine does not run a position
twice.

References:
    Borzunov et al., "Petals: Collaborative Inference and Fine-tuning of Large
    Models", 2022: a client-side journal of stage inputs; here the previous
    stage keeps it.
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
_GAPS_PER_NEED = 16


class StageFailure(enum.StrEnum):
    """Why a stage gives up a stream."""

    JOURNAL_LOST = "journal_lost"
    ENGINE_FAILED = "engine_failed"
    PEER_UNREACHABLE = "peer_unreachable"
    LEAVING = "leaving"
    HANDED_ON = "handed_on"
    WRONG_LAYERS = "wrong_layers"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"


class StageStream:
    """The state of one stream at one stage.

    Args:
        is_first: Whether it is the chain's first stage, fed by tokens.
        is_last: Whether it is the chain's last stage, which samples.
        journal_positions: Outputs kept for the next stage.
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
        self._asked = -1
        self._gaps = 0

    @property
    def attempt(self) -> int:
        """The newest attempt known; 0 before the first open."""
        return self._attempt

    @property
    def tokens(self) -> list[int]:
        """Tokens that the first stage has, prompt included."""
        return list(self._tokens)

    @property
    def done(self) -> int:
        """Positions that the engine has run."""
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
        """Opens the stream, or opens it again under a newer attempt.

        Args:
            attempt: Number of the attempt, from 1.
            tokens: Prompt and accepted tokens, at the first stage only.
            known_length: Tokens that are settled, prompt included.
            prompt_length: Tokens of the prompt.
            max_length: Tokens after which the stream is complete.
            sends_from: First position that the previous stage sends of its
                own accord.

        Returns:
            What to do; nothing for an attempt that is not newer.
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
        effects += self._tell_sampled()
        if self.is_first:
            effects += self._reopen_first(tokens)
        elif self._submitted != sends_from:
            effects.append(self._need())
        return effects

    def _tell_sampled(self) -> list[Effect]:
        """Sends again what the entry may have missed.

        Guards against a token lost with the entry's connection or with the
        stage that was to receive it: the entry's count of tokens is behind
        the last stage's. The kept token is sent again and never re-sampled,
        so the caller can't see two tokens for one position.
        """
        return [
            SendToken(position, token)
            for position, token in sorted(self._sampled.items())
            if position >= self._known_length
        ]

    def _reopen_first(self, tokens: list[int]) -> list[Effect]:
        shared = min(len(tokens), len(self._tokens))
        if tokens[:shared] != self._tokens[:shared]:
            raise AssertionError("one stream was given two sets of tokens")
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
        """Takes the token for `position` from the last stage."""
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
        """Takes hidden states from the previous stage.

        Guards against frames that come twice, late or after a gap: only the
        part from the next position on is run, a gap is asked for again. It
        is asked for once, and then only now and then: each frame behind the
        gap would else bring the whole journal.
        """
        if attempt != self._attempt:
            return []
        if position > self._submitted:
            return self._on_gap()
        fresh = states[self._submitted - position :]
        if not fresh:
            return []
        start = self._submitted
        self._submitted += len(fresh)
        return [RunUnit(self._attempt, start, tuple(fresh))]

    def _on_gap(self) -> list[Effect]:
        self._gaps += 1
        if self._asked == self._submitted and self._gaps % _GAPS_PER_NEED:
            return []
        return [self._need()]

    def _need(self) -> SendNeed:
        self._asked = self._submitted
        return SendNeed(self._submitted)

    def on_states_run(self, position: int, states: list[bytes]) -> list[Effect]:
        """Takes the engine's outputs, at every stage but the last.

        Args:
            position: First position that was run.
            states: One output per position.
        """
        self._expect_done(position)
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
        """Takes the last stage's answer for `length` positions.

        Args:
            position: First position that was run.
            length: Positions that were run.
            token: The token sampled after the last of them.

        Guards against two tokens for one position: a replacement that runs
        settled positions again samples too, and engines of another kind may
        sample otherwise. A settled token is never sent.
        """
        self._expect_done(position)
        self._done += length
        place = self._done
        if place < max(self._prompt_length, self._known_length):
            return []
        self._sampled[place] = token
        return [SendToken(place, token)]

    def on_need(self, attempt: int, position: int) -> list[Effect]:
        """Sends outputs from `position` on, again if they were sent."""
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

    def _expect_done(self, position: int) -> None:
        if position != self._done:
            raise AssertionError(
                f"engine answered position {position}, not {self._done}"
            )

    def _trim_journal(self) -> None:
        extra = len(self._journal) - self.journal_positions
        if extra > 0:
            del self._journal[:extra]
            self._journal_start += extra
