"""Client of the platform's log service: append-only streams with offsets."""

import abc
import base64
import dataclasses

import attrs

from caroblug.transport._http import HttpFailure, JsonHttpClient
from caroblug.utils import DECODE_ERRORS

_CREATED = 201
_OK = 200
_LONG_POLL_SLACK_MS = 2000


@attrs.frozen
class LogRecord:
    """One record of a stream."""

    offset: int
    data: bytes


@attrs.frozen
class Appended:
    """A successful append; the record is in the stream at `offset`."""

    offset: int


@attrs.frozen
class RecordBatch:
    """Records read from a stream.

    Attributes:
        records: Records in offset order; empty if none arrived in time.
        next_offset: Offset at which to continue.
        end_offset: One past the last record of the stream.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogUnavailable:
    """A failed call to the log service.

    Attributes:
        message: Description of the failure.
        maybe_written: Whether the record may have been appended anyway.
    """

    message: str
    maybe_written: bool = False


class LogService(abc.ABC):
    """Interface of a client of the log service."""

    @abc.abstractmethod
    def append(self, stream: str, data: bytes) -> Appended | LogUnavailable:
        """Appends one record."""

    @abc.abstractmethod
    def read(
        self, stream: str, offset: int, limit: int = 100, wait_ms: int = 0
    ) -> RecordBatch | LogUnavailable:
        """Reads records from `offset` on.

        If records from `offset` on have expired, reading begins at the oldest
        retained record.

        Args:
            stream: Name of the stream.
            offset: Offset of the first record to read.
            limit: Maximum number of records.
            wait_ms: How long to wait for a first record.
        """


class HttpLogService(LogService):
    """A log service client over HTTP and JSON.

    Args:
        host: IP address.
        port: Port.
        timeout_ms: Timeout of a call, in addition to the wait of a read.
    """

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._client = JsonHttpClient(host, port, timeout_ms)
        self._long_poll_client = JsonHttpClient(
            host, port, timeout_ms + _LONG_POLL_SLACK_MS
        )

    def append(self, stream: str, data: bytes) -> Appended | LogUnavailable:
        """Appends one record."""
        body = {"data": base64.b64encode(data).decode()}
        response = self._client.request("POST", f"/streams/{stream}", body)
        if isinstance(response, HttpFailure):
            return LogUnavailable(response.message, maybe_written=response.sent)
        if response.status != _CREATED:
            return LogUnavailable(f"status {response.status}")
        try:
            return Appended(int(response.json()["offset"]))
        except DECODE_ERRORS:
            return LogUnavailable("response is not valid", maybe_written=True)

    def read(
        self, stream: str, offset: int, limit: int = 100, wait_ms: int = 0
    ) -> RecordBatch | LogUnavailable:
        """Reads records from `offset` on."""
        client = self._long_poll_client if wait_ms else self._client
        path = f"/streams/{stream}?offset={offset}&limit={limit}"
        response = client.request("GET", f"{path}&wait_ms={wait_ms}")
        if isinstance(response, HttpFailure):
            return LogUnavailable(response.message)
        if response.status != _OK:
            return LogUnavailable(f"status {response.status}")
        try:
            return _parse_records(response.json())
        except DECODE_ERRORS:
            return LogUnavailable("response is not valid")


def _parse_records(body: dict) -> RecordBatch:
    records = tuple(
        LogRecord(int(r["offset"]), base64.b64decode(r["data"]))
        for r in body["records"]
    )
    return RecordBatch(records, int(body["next"]), int(body["end"]))


def make_log_service(
    host: str, port: int, timeout_ms: int = 1000
) -> LogService:
    """Returns a client of the log service at an address."""
    return HttpLogService(host, port, timeout_ms)
