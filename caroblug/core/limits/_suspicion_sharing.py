"""Choice of the suspicions that instances tell each other.

A crash of a server brings a suspicion against each request that ran on it, and
all but one of these requests are innocent. A message has room for few of them.
New suspicions are therefore told a few times only, which is enough to bring two
suspicions against the same request together at some instance. Requests
suspected of several crashes are told to every instance that doesn't know them.
"""

import collections
import hashlib

from caroblug.core.limits._suspicions import Suspicion, SuspicionSource

MAX_TOLD = 24
"""Suspicions in one message."""

_MAX_REPEATED_TOLD = 12
"""Suspicions of several crashes in one message while new ones wait."""

_MAX_CLEARINGS = 1000
_OWN_TELLINGS = 8
_RELAYED_TELLINGS = 2
"""Messages that contain a new suspicion, by an instance that observed the crash
and by one that was told of it. With two, four fifths of all instances learn of
each suspicion, however many there are."""


class SuspicionSharing:
    """Suspicions that one instance has yet to tell.

    Args:
        suspicions: Suspicions known to the instance.
    """

    def __init__(self, suspicions: SuspicionSource) -> None:
        self._suspicions = suspicions
        self._tellings: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._clearings: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._repeated: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def on_cleared(self, suspicion: Suspicion, own: bool) -> None:
        """Adds a suspicion that has been cleared.

        Args:
            suspicion: The suspicion.
            own: Whether this instance has observed that the request ran well.
        """
        key = (suspicion.fingerprint, suspicion.crash)
        self._tellings.pop(key, None)
        left = _OWN_TELLINGS if own else _RELAYED_TELLINGS
        self._clearings[key] = max(left, self._clearings.get(key, 0))
        if len(self._clearings) > _MAX_CLEARINGS:
            self._clearings.popitem(last=False)

    def choose_cleared(self) -> list[tuple[str, str]]:
        """Returns fingerprint and crash of cleared suspicions to tell."""
        return list(self._clearings)[:MAX_TOLD]

    def on_cleared_told(self, told: list[tuple[str, str]]) -> None:
        """Counts clearings that another instance has received."""
        for key in told:
            left = self._clearings.pop(key, 0) - 1
            if left > 0:
                self._clearings[key] = left

    @property
    def untold(self) -> int:
        """Number of suspicions that are yet to be told."""
        return len(self._tellings)

    def on_new(self, suspicion: Suspicion, own: bool, now_ms: int) -> None:
        """Adds a suspicion that has just been recorded.

        Args:
            suspicion: The suspicion.
            own: Whether this instance has observed the crash.
            now_ms: Current time.
        """
        fingerprint = suspicion.fingerprint
        key = (fingerprint, suspicion.crash)
        self._tellings[key] = _OWN_TELLINGS if own else _RELAYED_TELLINGS
        if self._suspicions.common_state(fingerprint, now_ms):
            self._repeated[fingerprint] = None
        if own or fingerprint in self._repeated:
            self._tellings.move_to_end(key, last=False)

    def digest(self, now_ms: int) -> str:
        """Returns a digest of the requests suspected of several crashes.

        Instances with equal digests need not tell each other of them.
        """
        self._remove_cleared(now_ms)
        crashes = sorted(
            f"{fingerprint}:{crash}"
            for fingerprint in self._repeated
            for crash in self._suspicions.common_state(fingerprint, now_ms)
        )
        text = "\n".join(crashes).encode()
        return hashlib.blake2b(text, digest_size=8).hexdigest()

    def choose(self, peer_digest: str | None, now_ms: int) -> list[Suspicion]:
        """Returns the suspicions for a message to another instance.

        Args:
            peer_digest: Digest that the other instance last sent; None if it
                has sent none.
            now_ms: Current time.
        """
        chosen: dict[tuple[str, str], Suspicion] = {}
        repeated = []
        if peer_digest != self.digest(now_ms):
            repeated = [
                suspicion
                for fingerprint in self._repeated
                for suspicion in self._suspicions.uncleared(fingerprint, now_ms)
            ]
        for suspicion in repeated[:_MAX_REPEATED_TOLD]:
            chosen[suspicion.fingerprint, suspicion.crash] = suspicion
        for key in list(self._tellings):
            if len(chosen) >= MAX_TOLD:
                break
            suspicion = self._find(key, now_ms)
            if suspicion is None:
                del self._tellings[key]
            else:
                chosen[key] = suspicion
        for suspicion in repeated[_MAX_REPEATED_TOLD:]:
            if len(chosen) >= MAX_TOLD:
                break
            chosen[suspicion.fingerprint, suspicion.crash] = suspicion
        return list(chosen.values())

    def on_told(self, told: list[tuple[str, str]]) -> None:
        """Counts suspicions that another instance has received.

        Args:
            told: Fingerprint and crash of each suspicion.
        """
        for fingerprint, crash in told:
            if fingerprint in self._repeated:
                self._repeated.move_to_end(fingerprint)
            key = (fingerprint, crash)
            left = self._tellings.pop(key, 0) - 1
            if left > 0:
                # Those that were told less often come first.
                self._tellings[key] = left

    def _find(self, key: tuple[str, str], now_ms: int) -> Suspicion | None:
        known = self._suspicions.uncleared(key[0], now_ms)
        return next((s for s in known if s.crash == key[1]), None)

    def _remove_cleared(self, now_ms: int) -> None:
        for fingerprint in list(self._repeated):
            if not self._suspicions.common_state(fingerprint, now_ms):
                del self._repeated[fingerprint]
