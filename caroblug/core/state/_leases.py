"""Leases of engines on the log: the fold and the lease holder's protocol.

Only the holder of an engine's lease may send it orders.
"""

import dataclasses

import attrs
import orjson

_WAIT_FACTOR = 1.05


@attrs.frozen
class LeaseRecord:
    """A log record that acquires or releases the lease of an engine.

    Attributes:
        engine: Name of the engine.
        holder: Identity of one run of a side process.
        attempt: Sequence number of the record at this holder.
        after: Number of the preceding lease; -1 for the first lease.
        term_ms: Duration of the lease; 0 releases it.
        version: Version of the bundle that the holder applies.
    """

    engine: str
    holder: str
    attempt: int
    after: int
    term_ms: int
    version: int


@attrs.frozen
class Lease:
    """A lease that is in force or has ended.

    Attributes:
        number: Log offset of its record. Later leases have higher numbers,
            so that the number serves as a fencing token.
        record: The record.
    """

    number: int
    record: LeaseRecord


def encode_lease(record: LeaseRecord) -> bytes:
    """Returns the record as JSON."""
    return orjson.dumps({"kind": "lease", **attrs.asdict(record)})


def decode_lease(data: bytes) -> LeaseRecord | None:
    """Returns the record, or None if the data does not encode one."""
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
    """Folds the lease records of one engine.

    A record takes effect only if it names the last lease as its predecessor.
    If two successors wait for the same lease to end, the one whose record
    comes first in the log wins.

    Args:
        engine: Name of the engine; records of other engines are ignored.
    """

    def __init__(self, engine: str) -> None:
        self._engine = engine
        self._next_offset = 0
        self._lease: Lease | None = None

    @property
    def next_offset(self) -> int:
        """Offset of the first record that is not folded yet."""
        return self._next_offset

    @property
    def lease(self) -> Lease | None:
        """The last lease, in force or not; None before the first."""
        return self._lease

    def on_record(self, offset: int, data: bytes) -> None:
        """Folds the record at an offset."""
        if offset < self._next_offset:
            return
        self._next_offset = offset + 1
        record = decode_lease(data)
        if record is None or record.engine != self._engine:
            return
        # If all earlier records have expired, the first retained record
        # starts a new sequence. Every lease before it ended long ago.
        if self._lease is None or self._follows(record, self._lease):
            self._lease = Lease(offset, record)

    def _follows(self, record: LeaseRecord, lease: Lease) -> bool:
        """Returns whether a record may follow a lease.

        A side process that resumes after a long pause may still have an old
        bundle. It must not take a free lease and order the engine to apply
        that bundle.
        """
        if record.version < lease.record.version:
            return False
        return record.after == lease.number

    def skip_to(self, offset: int) -> None:
        """Skips records that expired before they were read."""
        self._next_offset = max(self._next_offset, offset)


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The lease is held.

    Attributes:
        number: Fencing number for the orders.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWait:
    """The lease of another holder may still be in force.

    Attributes:
        ms: Time until it has ended.
    """

    ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutdatedBundle:
    """The last holder applied a newer bundle than this process has."""


class LeaseHolder:
    """Acquires, checks and releases the lease of one engine.

    Clocks of different processes are never compared. A holder measures its
    term from before it appends the record. A successor measures it from when
    it reads that record, which is later, and waits 5% longer to allow for
    clock drift.

    Args:
        engine: Name of the engine.
        holder: Identity of this run of this process.
        fold: The fold of the lease records. The caller adds the records and
            calls `on_read` after each read.
        term_ms: Duration of a lease.
    """

    def __init__(
        self, engine: str, holder: str, fold: LeaseFold, term_ms: int
    ) -> None:
        self._engine = engine
        self._holder = holder
        self._fold = fold
        self._term_ms = term_ms
        self._attempt = 0
        self._attempt_start_ms: dict[int, int] = {}
        self._last_lease: Lease | None = None
        self._last_lease_read_ms = 0

    def on_read(self, now_ms: int) -> None:
        """Notes when the last lease was first read."""
        if self._fold.lease != self._last_lease:
            self._last_lease = self._fold.lease
            self._last_lease_read_ms = now_ms

    def next_step(
        self, now_ms: int, version: int
    ) -> LeaseRecord | Held | LeaseWait | OutdatedBundle:
        """Returns the next step to acquire the lease.

        After a record has been appended, or may have been, the caller must
        read the log to its end before the next call.

        Args:
            now_ms: Current time.
            version: Version of the bundle to apply.

        Returns:
            A record to append, the held lease, the time to wait, or that the
            bundle is outdated.
        """
        number = self.fencing_number(now_ms)
        if number is not None:
            return Held(number)
        lease = self._last_lease
        if lease is not None and version < lease.record.version:
            return OutdatedBundle()
        if lease is not None and not self._has_ended(lease, now_ms):
            return LeaseWait(self._end_ms(lease) - now_ms)
        after = -1 if lease is None else lease.number
        return self._make_record(now_ms, after, self._term_ms, version)

    def release(self, now_ms: int) -> LeaseRecord | None:
        """Returns the record that releases the lease; None if it isn't held."""
        number = self.fencing_number(now_ms)
        if number is None:
            return None
        return self._make_record(
            now_ms, number, 0, self._last_lease.record.version
        )

    def fencing_number(self, now_ms: int) -> int | None:
        """Returns the fencing number for an order, or None if not allowed.

        A holder may have been paused beyond its term without noticing, so the
        term is checked by its own clock. Call this right before each send.
        """
        lease = self._last_lease
        if lease is None or lease.record.holder != self._holder:
            return None
        start_ms = self._attempt_start_ms.get(lease.record.attempt)
        if start_ms is None or now_ms >= start_ms + lease.record.term_ms:
            return None
        return lease.number

    def _make_record(
        self, now_ms: int, after: int, term_ms: int, version: int
    ) -> LeaseRecord:
        self._attempt += 1
        self._attempt_start_ms = {
            attempt: start_ms
            for attempt, start_ms in self._attempt_start_ms.items()
            if now_ms < start_ms + self._term_ms
        }
        self._attempt_start_ms[self._attempt] = now_ms
        return LeaseRecord(
            self._engine,
            self._holder,
            self._attempt,
            after,
            term_ms,
            version,
        )

    def _has_ended(self, lease: Lease, now_ms: int) -> bool:
        if lease.record.holder == self._holder:
            return True
        return now_ms >= self._end_ms(lease)

    def _end_ms(self, lease: Lease) -> int:
        return (
            self._last_lease_read_ms
            + int(lease.record.term_ms * _WAIT_FACTOR)
            + 1
        )
