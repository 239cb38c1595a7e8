"""Lease of one engine, stored on the log."""

import xxhash

from caroblug.core.state import (
    LeaseFold,
    LeaseHolder,
    LeaseRecord,
    encode_lease,
)
from caroblug.transport import LogService, LogUnavailable
from caroblug.utils import Clock

_STREAM_PREFIX = "caroblug.leases."
_STREAM_SHARDS = 64


class EngineLease:
    """Acquires and releases the lease of one engine.

    The holder of the lease is the only instance that may send orders to the
    engine.

    Args:
        log: Client of the log service.
        engine: Name of the engine.
        holder_id: Identifier of this process, unique to each start.
        clock: Source of time.
        term_ms: Duration of a lease.
    """

    def __init__(
        self,
        log: LogService,
        engine: str,
        holder_id: str,
        clock: Clock,
        term_ms: int,
    ) -> None:
        self._log = log
        shard = xxhash.xxh32_intdigest(engine.encode()) % _STREAM_SHARDS
        self._stream = f"{_STREAM_PREFIX}{shard:02d}"
        self._clock = clock
        self._fold = LeaseFold(engine)
        self._holder = LeaseHolder(engine, holder_id, self._fold, term_ms)

    @property
    def fencing_number(self) -> int | None:
        """Fencing number for an order; None while the lease is not held."""
        return self._holder.fencing_number(self._clock.now_ms())

    def refresh(self) -> bool:
        """Reads the log to its end and returns whether this succeeded."""
        return self._read_to_end()

    def acquire(self, version: int) -> bool:
        """Tries once to acquire the lease.

        Args:
            version: Version of the bundle that requires an order.

        Returns:
            Whether the lease is held.
        """
        if not self._read_to_end():
            return False
        step = self._holder.next_step(self._clock.now_ms(), version)
        if isinstance(step, LeaseRecord):
            self._append(step)
        return self.fencing_number is not None

    def release(self) -> None:
        """Releases the lease if it is held."""
        record = self._holder.release(self._clock.now_ms())
        if record is not None:
            self._append(record)

    def _append(self, record: LeaseRecord) -> None:
        """Appends a record and reads the log to its end.

        If the response to the append is lost, the read finds the record. A
        record that appears only after the read no longer follows the lease in
        force and has no effect.
        """
        self._log.append(self._stream, encode_lease(record))
        self._read_to_end()

    def _read_to_end(self) -> bool:
        while True:
            records = self._log.read(self._stream, self._fold.next_offset)
            if isinstance(records, LogUnavailable):
                return False
            for record in records.records:
                self._fold.on_record(record.offset, record.data)
            self._fold.skip_to(records.next_offset)
            if self._fold.next_offset >= records.end_offset:
                self._holder.on_read(self._clock.now_ms())
                return True
