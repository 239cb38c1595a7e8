"""Quota of the idempotency keys that client accounts make a process remember.

A key can't be forgotten before its time, or its call might run twice. What
remains is to refuse new ones in time, and to leave a part of the memory to the
accounts that hold few.

References:
    Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory
    packet switches", 1998: nobody may hold more than what is free.
"""

import collections

import attrs

KEY_BYTES = 512
"""Memory of a remembered key."""

_STEP_MS = 1000
"""Time whose keys are counted together."""


@attrs.define
class _Step:
    """Keys that were added within one step.

    Attributes:
        began_ms: Beginning of the step.
        added: Keys by client account.
    """

    began_ms: int
    added: collections.Counter[str]


class KeyQuota:
    """Decides which client accounts may add a key.

    An account may add a key as long as it holds fewer than are free. A single
    account thus gets half of the memory, and two a third each.

    Args:
        max_keys: Keys that fit into the memory.
    """

    def __init__(self, max_keys: int) -> None:
        self._max_keys = max_keys
        self._held: collections.Counter[str] = collections.Counter()
        self._steps: collections.deque[_Step] = collections.deque()

    def held(self, client_account: str) -> int:
        """Returns the keys that an account holds."""
        return self._held[client_account]

    def wait_ms(
        self, client_account: str, known_keys: int, now_ms: int, window_ms: int
    ) -> int:
        """Returns the time until an account may add a key; 0 if it may now.

        Args:
            client_account: The account.
            known_keys: Keys that the process remembers, of all accounts.
            now_ms: Current time.
            window_ms: Time for which a key is remembered.
        """
        self._remove_expired(now_ms - window_ms)
        free = self._max_keys - known_keys
        if self._held[client_account] < free:
            return 0
        for step in self._steps:
            if client_account in step.added or free <= 0:
                return max(1, step.began_ms + _STEP_MS + window_ms - now_ms)
        return window_ms

    def on_added(self, client_account: str, now_ms: int) -> None:
        """Records that an account has added a key."""
        if not self._steps or now_ms - self._steps[-1].began_ms >= _STEP_MS:
            self._steps.append(_Step(now_ms, collections.Counter()))
        self._steps[-1].added[client_account] += 1
        self._held[client_account] += 1

    def _remove_expired(self, before_ms: int) -> None:
        while self._steps and self._steps[0].began_ms + _STEP_MS <= before_ms:
            self._held -= self._steps.popleft().added
