"""The lease of one engine, kept on the log."""

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
_SHARDS = 64


class EngineLease:
    """Takes and frees the lease of one engine.

    Args:
        log: The log service.
        engine: Name of the engine.
        holder: Identity of this life of this process.
        clock: Source of time.
        term_ms: How long a lease lasts.
    """

    def __init__(
        self,
        log: LogService,
        engine: str,
        holder: str,
        clock: Clock,
        term_ms: int,
    ) -> None:
        self._log = log
        shard = xxhash.xxh32_intdigest(engine.encode()) % _SHARDS
        self._stream = f"{_STREAM_PREFIX}{shard:02d}"
        self._clock = clock
        self._fold = LeaseFold(engine)
        self._holder = LeaseHolder(engine, holder, self._fold, term_ms)

    @property
    def number(self) -> int | None:
        """The number for an order sent right now, if it may be."""
        return self._holder.fencing_number(self._clock.now_ms())

    def refresh(self) -> bool:
        """Reads the log to its end; False while that is not possible."""
        return self._read()

    def acquire(self, version: int) -> bool:
        """Tries to take the lease once; False while it cannot be had.

        Args:
            version: Version of the bundle that asks for an order.
        """
        if not self._read():
            return False
        step = self._holder.next_step(self._clock.now_ms(), version)
        if isinstance(step, LeaseRecord):
            self._append(step)
        return self.number is not None

    def release(self) -> None:
        """Frees the lease, if it is held."""
        record = self._holder.release(self._clock.now_ms())
        if record is not None:
            self._append(record)

    def _append(self, record: LeaseRecord) -> None:
        """Appends a record and reads the log to its end.

        An append whose answer is lost is found by the read, or, if it takes
        effect later, does not follow the lease in force any more.
        """
        self._log.append(self._stream, encode_lease(record))
        self._read()

    def _read(self) -> bool:
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
