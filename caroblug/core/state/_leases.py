"""Leases of engines: a fold of the log, and what one holder may do."""

import dataclasses

import attrs
import orjson

_WAIT_SHARE = 1.05


@attrs.frozen
class LeaseRecord:
    """Takes or frees the lease of an engine.

    Attributes:
        engine: Name of the engine.
        holder: One life of one side process.
        attempt: Counts the holder's records.
        after: Number of the lease that this one follows; -1 for the first.
        term_ms: How long the lease lasts; 0 frees it.
        version: Version of the bundle that the holder follows.
    """

    engine: str
    holder: str
    attempt: int
    after: int
    term_ms: int
    version: int


@attrs.frozen
class Lease:
    """A lease in force, or the last one.

    Attributes:
        number: Offset of its record: a later lease has a higher one.
        record: The record.
    """

    number: int
    record: LeaseRecord


def encode_lease(record: LeaseRecord) -> bytes:
    """Returns the record as JSON."""
    return orjson.dumps({"kind": "lease", **attrs.asdict(record)})


def decode_lease(data: bytes) -> LeaseRecord | None:
    """Returns the record, or None if these bytes are not one."""
    try:
        body = orjson.loads(data)
        if body["kind"] != "lease":
            return None
        return LeaseRecord(
            str(body["engine"]),
            str(body["holder"]),
            int(body["attempt"]),
            int(body["after"]),
            int(body["term_ms"]),
            int(body["version"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


class LeaseFold:
    """Folds the records of one engine's lease.

    A record counts only if it follows the lease in force: of two successors
    that have waited out the same lease, the first in the log's order wins.

    Args:
        engine: Name of the engine; records of others are passed over.
    """

    def __init__(self, engine: str) -> None:
        self._engine = engine
        self._next_offset = 0
        self._lease: Lease | None = None

    @property
    def next_offset(self) -> int:
        """Offset of the first record not yet folded."""
        return self._next_offset

    @property
    def lease(self) -> Lease | None:
        """The lease in force or the last one; None before the first."""
        return self._lease

    def on_record(self, offset: int, data: bytes) -> None:
        """Folds the record at an offset."""
        if offset < self._next_offset:
            return
        self._next_offset = offset + 1
        record = decode_lease(data)
        if record is None or record.engine != self._engine:
            return
        # After the whole stream has expired, the first record kept begins
        # anew: every lease before it has ended long ago.
        if self._lease is None or self._follows(record, self._lease):
            self._lease = Lease(offset, record)

    def _follows(self, record: LeaseRecord, lease: Lease) -> bool:
        """Tells whether a record may follow a lease.

        Guards against a side process that wakes up with the bundle of an
        hour ago, takes a free lease and orders what was in force then.
        """
        if record.version < lease.record.version:
            return False
        return record.after == lease.number

    def skip_to(self, offset: int) -> None:
        """Passes over records that have expired unread."""
        self._next_offset = max(self._next_offset, offset)


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The lease is held; `number` fences the orders."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWait:
    """Another one's lease may be in force for this long."""

    ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutdatedBundle:
    """The engine was ordered by a newer bundle than the own one."""


class LeaseHolder:
    """One side process's part in the lease of its engine.

    Clocks are never compared: a holder counts its term from before it
    appended the record, a successor from when it read that record, which is
    later. The successor waits a twentieth longer, for clocks that run apart.

    Args:
        engine: Name of the engine.
        holder: Identity of this life of this process.
        fold: The fold; the caller feeds it and calls `on_read`.
        term_ms: How long a lease lasts.
    """

    def __init__(
        self, engine: str, holder: str, fold: LeaseFold, term_ms: int
    ) -> None:
        self._engine = engine
        self._holder = holder
        self._fold = fold
        self._term_ms = term_ms
        self._attempt = 0
        self._began_ms: dict[int, int] = {}
        self._seen: Lease | None = None
        self._seen_ms = 0

    def on_read(self, now_ms: int) -> None:
        """Notes when the lease in force was first seen."""
        if self._fold.lease != self._seen:
            self._seen = self._fold.lease
            self._seen_ms = now_ms

    def next_step(
        self, now_ms: int, version: int
    ) -> LeaseRecord | Held | LeaseWait | OutdatedBundle:
        """Returns a record to append, the lease, or how long to wait.

        After a record has been appended, or may have been, the log must be
        read to its end before the next call.
        """
        number = self.fencing_number(now_ms)
        if number is not None:
            return Held(number)
        lease = self._seen
        if lease is not None and version < lease.record.version:
            return OutdatedBundle()
        if lease is not None and not self._is_over(lease, now_ms):
            return LeaseWait(self._ends_ms(lease) - now_ms)
        after = -1 if lease is None else lease.number
        return self._make(now_ms, after, self._term_ms, version)

    def release(self, now_ms: int) -> LeaseRecord | None:
        """Returns the record that frees the lease; None if it isn't held."""
        number = self.fencing_number(now_ms)
        if number is None:
            return None
        return self._make(now_ms, number, 0, self._seen.record.version)

    def fencing_number(self, now_ms: int) -> int | None:
        """Returns the number for an order sent right now, if it may be.

        Guards against a holder that was paused past its term and does not
        know: its own clock shows it. To be asked right before each send.
        """
        lease = self._seen
        if lease is None or lease.record.holder != self._holder:
            return None
        began_ms = self._began_ms.get(lease.record.attempt)
        if began_ms is None or now_ms >= began_ms + lease.record.term_ms:
            return None
        return lease.number

    def _make(
        self, now_ms: int, after: int, term_ms: int, version: int
    ) -> LeaseRecord:
        self._attempt += 1
        self._began_ms = {
            attempt: began_ms
            for attempt, began_ms in self._began_ms.items()
            if now_ms < began_ms + self._term_ms
        }
        self._began_ms[self._attempt] = now_ms
        return LeaseRecord(
            self._engine,
            self._holder,
            self._attempt,
            after,
            term_ms,
            version,
        )

    def _is_over(self, lease: Lease, now_ms: int) -> bool:
        if lease.record.holder == self._holder:
            return True
        return now_ms >= self._ends_ms(lease)

    def _ends_ms(self, lease: Lease) -> int:
        return self._seen_ms + int(lease.record.term_ms * _WAIT_SHARE) + 1
