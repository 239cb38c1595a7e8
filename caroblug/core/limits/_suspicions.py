"""Suspicion and quarantine of requests that may crash engines.

A request that was in an engine when it crashed is suspected of that crash
until it has run past the position where it was. A request suspected of
several crashes, two by default, is quarantined. The records are sets of crash
names, so that instances can exchange them in any order and repeatedly.
"""

import abc
import collections
import enum

import attrs

QUARANTINE_CRASHES = 2
_MAX_RECORDS = 4096
_MAX_CRASHES = 8
_REPEATED_CRASHES = 2


class Verdict(enum.IntEnum):
    """Degree of suspicion against a request."""

    CLEAR = 0
    SUSPECT = 1
    QUARANTINED = 2


@attrs.frozen
class Suspicion:
    """Suspicion that one request has caused one crash.

    Attributes:
        fingerprint: Hash of the request: client account, service and body.
        client_account: Account that has sent the request. For a part of
            prompts, the request that was lost, and how long it had written.
        crash: Name of the crash, unique in the fleet.
        position: One past the last position that was in the engine; 0 for
            a call of a plain service.
        cleared: Whether the request has since run past that position.
        remaining_ms: Time after which the suspicion expires.
    """

    fingerprint: str
    client_account: str
    crash: str
    position: int
    cleared: bool
    remaining_ms: int


@attrs.define
class _Crash:
    learned_ms: int
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


class SuspicionSource(abc.ABC):
    """Suspicions that instances exchange."""

    @abc.abstractmethod
    def for_request(self, fingerprint: str, now_ms: int) -> list[Suspicion]:
        """Returns all suspicions of a fingerprint, cleared ones included."""

    def uncleared(self, fingerprint: str, now_ms: int) -> list[Suspicion]:
        """Returns the suspicions of a fingerprint that aren't cleared."""
        known = self.for_request(fingerprint, now_ms)
        return [suspicion for suspicion in known if not suspicion.cleared]

    def common_state(self, fingerprint: str, now_ms: int) -> tuple[str, ...]:
        """Returns what every instance is to know of a fingerprint.

        Instances for which it is equal need not tell each other. It is empty
        for a single crash, which is told a few times only.
        """
        names = sorted(s.crash for s in self.uncleared(fingerprint, now_ms))
        return tuple(names) if len(names) >= _REPEATED_CRASHES else ()


class Suspicions(SuspicionSource):
    """Suspicions known to one instance, for a bounded number of requests.

    When the bound is reached, the oldest record of a single crash is dropped,
    or the oldest one if there is none.

    Args:
        quarantine_crashes: Number of crashes at which a request is
            quarantined.
    """

    def __init__(self, quarantine_crashes: int = QUARANTINE_CRASHES) -> None:
        self._quarantine_crashes = quarantine_crashes
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def on_suspicion(self, suspicion: Suspicion, now_ms: int) -> bool:
        """Records a suspicion and returns whether it changed the record."""
        end_ms = now_ms + suspicion.remaining_ms
        if suspicion.remaining_ms <= 0:
            return False
        record = self._live_record(suspicion.fingerprint, now_ms)
        if record is None:
            record = self._add_record(suspicion, end_ms)
        known = record.crashes.get(suspicion.crash)
        if known is None and not _make_room(record):
            return False
        if known is not None and (known.cleared or not suspicion.cleared):
            return False
        record.crashes[suspicion.crash] = _Crash(
            now_ms, suspicion.position, suspicion.cleared
        )
        record.end_ms = max(record.end_ms, end_ms)
        return True

    def extend(self, fingerprint: str, remaining_ms: int, now_ms: int) -> None:
        """Keeps a record for `remaining_ms` at least."""
        record = self._live_record(fingerprint, now_ms)
        if record is not None:
            record.end_ms = max(record.end_ms, now_ms + remaining_ms)

    def verdict(self, fingerprint: str, now_ms: int) -> Verdict:
        """Returns the degree of suspicion against a request."""
        record = self._live_record(fingerprint, now_ms)
        if record is None:
            return Verdict.CLEAR
        if record.uncleared >= self._quarantine_crashes:
            return Verdict.QUARANTINED
        return Verdict.SUSPECT if record.uncleared else Verdict.CLEAR

    def count_crashes(self, fingerprint: str, now_ms: int) -> int:
        """Returns how many crashes a request is suspected of."""
        record = self._live_record(fingerprint, now_ms)
        return record.uncleared if record is not None else 0

    def remaining_ms(self, fingerprint: str, now_ms: int) -> int:
        """Returns the time until a record expires; 0 if there is none."""
        record = self._live_record(fingerprint, now_ms)
        return record.end_ms - now_ms if record else 0

    def learned_ms(
        self, fingerprint: str, crash: str, now_ms: int
    ) -> int | None:
        """Returns when a request was first suspected of a crash, if it is."""
        record = self._live_record(fingerprint, now_ms)
        known = record.crashes.get(crash) if record else None
        return known.learned_ms if known else None

    def isolate_until(self, fingerprint: str, now_ms: int) -> int:
        """Returns the position up to which a request is to run isolated."""
        record = self._live_record(fingerprint, now_ms)
        if record is None:
            return 0
        crashes = record.crashes.values()
        return max((c.position for c in crashes if not c.cleared), default=0)

    def clear(
        self, fingerprint: str, length: int, now_ms: int
    ) -> list[Suspicion]:
        """Clears suspicions whose position a request has run past.

        The token that follows the last position in the engine can't have
        been sampled before the crash, so its presence proves that every
        stage has run that position since. A quarantined request is never
        cleared.

        Args:
            fingerprint: Fingerprint of the request.
            length: Number of tokens of the request, prompt included.
            now_ms: Current time.

        Returns:
            The cleared suspicions, to be sent to other instances.
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

    def remove_expired(self, now_ms: int) -> None:
        """Removes the records that have expired."""
        for fingerprint in list(self._records):
            self._live_record(fingerprint, now_ms)

    def absolve(self, fingerprint: str, now_ms: int) -> list[Suspicion]:
        """Clears all suspicions of a request that has run to its end.

        Returns:
            The cleared suspicions, to be sent to other instances.
        """
        uncleared = [
            suspicion
            for suspicion in self.for_request(fingerprint, now_ms)
            if not suspicion.cleared
        ]
        for suspicion in uncleared:
            crash = self._records[fingerprint].crashes[suspicion.crash]
            crash.cleared = True
        return uncleared

    def is_cleared(self, fingerprint: str, crash: str, now_ms: int) -> bool:
        """Returns whether a suspicion is known and has been cleared."""
        record = self._live_record(fingerprint, now_ms)
        known = record.crashes.get(crash) if record else None
        return known is not None and known.cleared

    def for_request(self, fingerprint: str, now_ms: int) -> list[Suspicion]:
        """Returns all suspicions against one request, cleared ones included."""
        record = self._live_record(fingerprint, now_ms)
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
        """Returns all suspicions against quarantined requests."""
        return [
            suspicion
            for fingerprint in list(self._records)
            if self.verdict(fingerprint, now_ms) is Verdict.QUARANTINED
            for suspicion in self.for_request(fingerprint, now_ms)
        ]

    def all_live(self, now_ms: int) -> list[Suspicion]:
        """Returns all suspicions that have not expired."""
        return [
            suspicion
            for fingerprint in list(self._records)
            for suspicion in self.for_request(fingerprint, now_ms)
        ]

    def count_quarantined(self, now_ms: int) -> int:
        """Returns the number of quarantined requests."""
        return sum(
            self.verdict(fingerprint, now_ms) is Verdict.QUARANTINED
            for fingerprint in list(self._records)
        )

    def _live_record(self, fingerprint: str, now_ms: int) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is not None and now_ms >= record.end_ms:
            del self._records[fingerprint]
            return None
        return record

    def _add_record(self, suspicion: Suspicion, end_ms: int) -> _Record:
        if len(self._records) >= _MAX_RECORDS:
            del self._records[self._least_suspected()]
        record = _Record(suspicion.client_account, end_ms)
        self._records[suspicion.fingerprint] = record
        return record

    def _least_suspected(self) -> str:
        """Returns the fingerprint of the record to drop."""
        for fingerprint, record in self._records.items():
            if record.uncleared <= 1:
                return fingerprint
        return next(iter(self._records))


def _make_room(record: _Record) -> bool:
    """Returns whether a record has room, for which a cleared crash may go."""
    if len(record.crashes) < _MAX_CRASHES:
        return True
    for name, crash in record.crashes.items():
        if crash.cleared:
            del record.crashes[name]
            return True
    return False
