"""Requests that may be what crashes engines.

A request that was in an engine when it crashed is suspected of that crash
until it has run on past the place where it was; one that is suspected of two
crashes is quarantined. Records are sets of crash names, so that instances can
tell each other in any order and as often as they like.
"""

import collections
import enum

import attrs

QUARANTINE_CRASHES = 2
_MAX_RECORDS = 4096
_MAX_CRASHES = 8


class Verdict(enum.IntEnum):
    """What is known against a request."""

    CLEAR = 0
    SUSPECT = 1
    QUARANTINED = 2


@attrs.frozen
class Suspicion:
    """One request and one crash.

    Attributes:
        fingerprint: The request: client account, service and body.
        client_account: Whose request it is.
        crash: Name of the crash, unique in the fleet.
        position: One past the last position that was in the engine; 0 for
            a call of a plain service.
        cleared: Whether the request has since run on past that position.
        remaining_ms: After this it is forgotten.
    """

    fingerprint: str
    client_account: str
    crash: str
    position: int
    cleared: bool
    remaining_ms: int


@attrs.define
class _Crash:
    position: int
    cleared: bool


@attrs.define
class _Record:
    client_account: str
    end_ms: int
    crashes: dict[str, _Crash] = attrs.field(factory=dict)

    @property
    def uncleared(self) -> int:
        return sum(not crash.cleared for crash in self.crashes.values())


class Suspicions:
    """What one instance knows of crashes; bounded, oldest forgotten first.

    Args:
        quarantine_crashes: Crashes after which a request is quarantined.
    """

    def __init__(self, quarantine_crashes: int = QUARANTINE_CRASHES) -> None:
        self._quarantine_crashes = quarantine_crashes
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def on_suspicion(self, suspicion: Suspicion, now_ms: int) -> bool:
        """Takes a suspicion; returns whether it was news."""
        end_ms = now_ms + suspicion.remaining_ms
        if suspicion.remaining_ms <= 0:
            return False
        record = self._live(suspicion.fingerprint, now_ms)
        if record is None:
            record = self._make(suspicion, end_ms)
        known = record.crashes.get(suspicion.crash)
        if known is None and len(record.crashes) >= _MAX_CRASHES:
            return False
        if known is not None and (known.cleared or not suspicion.cleared):
            return False
        record.crashes[suspicion.crash] = _Crash(
            suspicion.position, suspicion.cleared
        )
        record.end_ms = max(record.end_ms, end_ms)
        return True

    def verdict(self, fingerprint: str, now_ms: int) -> Verdict:
        """Returns what is known against a request."""
        record = self._live(fingerprint, now_ms)
        if record is None:
            return Verdict.CLEAR
        if record.uncleared >= self._quarantine_crashes:
            return Verdict.QUARANTINED
        return Verdict.SUSPECT if record.uncleared else Verdict.CLEAR

    def remaining_ms(self, fingerprint: str, now_ms: int) -> int:
        """Returns when a request is forgotten; 0 if nothing is known."""
        record = self._live(fingerprint, now_ms)
        return record.end_ms - now_ms if record else 0

    def isolate_until(self, fingerprint: str, now_ms: int) -> int:
        """Returns the position up to which a request is to run alone."""
        record = self._live(fingerprint, now_ms)
        if record is None:
            return 0
        crashes = record.crashes.values()
        return max((c.position for c in crashes if not c.cleared), default=0)

    def clear(
        self, fingerprint: str, length: int, now_ms: int
    ) -> list[Suspicion]:
        """Clears crashes that a request has run on past.

        The token that follows the last position in the engine can't have
        been sampled before the crash, so that having it proves that every
        stage has run that position since. A quarantined request stays so.

        Args:
            fingerprint: The request.
            length: Its tokens, prompt included.
            now_ms: Time now.

        Returns:
            What to tell others.
        """
        if self.verdict(fingerprint, now_ms) is not Verdict.SUSPECT:
            return []
        cleared = []
        for name, crash in self._records[fingerprint].crashes.items():
            if not crash.cleared and length > crash.position:
                crash.cleared = True
                cleared.append(name)
        known = self.for_request(fingerprint, now_ms)
        return [s for s in known if s.crash in cleared]

    def for_request(self, fingerprint: str, now_ms: int) -> list[Suspicion]:
        """Returns everything known of one request."""
        record = self._live(fingerprint, now_ms)
        if record is None:
            return []
        return [
            Suspicion(
                fingerprint,
                record.client_account,
                name,
                crash.position,
                crash.cleared,
                record.end_ms - now_ms,
            )
            for name, crash in record.crashes.items()
        ]

    def quarantined(self, now_ms: int) -> list[Suspicion]:
        """Returns everything known of quarantined requests."""
        return [
            suspicion
            for fingerprint in list(self._records)
            if self.verdict(fingerprint, now_ms) is Verdict.QUARANTINED
            for suspicion in self.for_request(fingerprint, now_ms)
        ]

    def all_live(self, now_ms: int) -> list[Suspicion]:
        """Returns everything known against any request."""
        return [
            suspicion
            for fingerprint in list(self._records)
            for suspicion in self.for_request(fingerprint, now_ms)
        ]

    def count_quarantined(self, now_ms: int) -> int:
        """Returns how many requests are quarantined."""
        return sum(
            self.verdict(fingerprint, now_ms) is Verdict.QUARANTINED
            for fingerprint in list(self._records)
        )

    def _live(self, fingerprint: str, now_ms: int) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is not None and now_ms >= record.end_ms:
            del self._records[fingerprint]
            return None
        return record

    def _make(self, suspicion: Suspicion, end_ms: int) -> _Record:
        if len(self._records) >= _MAX_RECORDS:
            self._records.popitem(last=False)
        record = _Record(suspicion.client_account, end_ms)
        self._records[suspicion.fingerprint] = record
        return record
