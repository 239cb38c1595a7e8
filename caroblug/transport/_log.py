"""The platform's log service: append-only streams with offsets."""

import abc
import base64
import dataclasses

import attrs
import orjson

from caroblug.transport._http import HttpFailure, JsonHttpClient

_CREATED = 201
_OK = 200
_READ_SLACK_MS = 2000


@attrs.frozen
class LogRecord:
    """One record of a stream."""

    offset: int
    data: bytes


@attrs.frozen
class Appended:
    """The record is in the stream at `offset`."""

    offset: int


@attrs.frozen
class RecordBatch:
    """Records read from a stream.

    Attributes:
        records: In offset order; empty if there were none in time.
        next_offset: Where to read on.
        end_offset: One past the last record of the stream.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The log gave no answer.

    Attributes:
        message: What was seen.
        maybe_written: Whether the record may be in the stream all the same.
    """

    message: str
    maybe_written: bool = False


class LogService(abc.ABC):
    """A client of the log service."""

    @abc.abstractmethod
    def append(self, stream: str, data: bytes) -> Appended | LogUnavailable:
        """Appends one record."""

    @abc.abstractmethod
    def read(
        self, stream: str, offset: int, limit: int = 100, wait_ms: int = 0
    ) -> RecordBatch | LogUnavailable:
        """Reads from `offset`, waiting up to `wait_ms` for a first record.

        Where older records have expired, reading begins at the oldest kept.
        """


class HttpLogService(LogService):
    """The log service over HTTP and JSON.

    Args:
        host: IP address.
        port: Port.
        timeout_ms: Bound on one call, without the time asked to wait.
    """

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._short = JsonHttpClient(host, port, timeout_ms)
        self._waiting = JsonHttpClient(host, port, timeout_ms + _READ_SLACK_MS)

    def append(self, stream: str, data: bytes) -> Appended | LogUnavailable:
        """Appends one record."""
        body = {"data": base64.b64encode(data).decode()}
        answer = self._short.request("POST", f"/streams/{stream}", body)
        if isinstance(answer, HttpFailure):
            return LogUnavailable(answer.message, maybe_written=answer.sent)
        if answer.status != _CREATED:
            return LogUnavailable(f"status {answer.status}")
        return Appended(int(answer.json()["offset"]))

    def read(
        self, stream: str, offset: int, limit: int = 100, wait_ms: int = 0
    ) -> RecordBatch | LogUnavailable:
        """Reads from `offset`."""
        client = self._waiting if wait_ms else self._short
        path = f"/streams/{stream}?offset={offset}&limit={limit}"
        answer = client.request("GET", f"{path}&wait_ms={wait_ms}")
        if isinstance(answer, HttpFailure):
            return LogUnavailable(answer.message)
        if answer.status != _OK:
            return LogUnavailable(f"status {answer.status}")
        try:
            return _parse_records(answer.json())
        except (KeyError, TypeError, ValueError, orjson.JSONDecodeError):
            return LogUnavailable("answer does not parse")


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
