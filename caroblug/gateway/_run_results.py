"""Result of one run of a streaming request."""

import enum

import attrs

from caroblug.gateway._exchange_results import ResponseHead
from caroblug.gateway._interfaces import AnswerMetadata


class RunEnd(enum.Enum):
    """How a run ended."""

    COMPLETE = "whole"
    NOT_SENT = "not_sent"
    NO_PATH = "no_path"
    NO_ROOM = "no_room"
    LIMITED = "limited"
    REJECTED = "turned_away"
    ERROR_RESPONSE = "answered"
    LOST = "lost"
    OUT_OF_TIME = "out_of_time"
    QUARANTINED = "quarantined"


QUARANTINED_REASON = "quarantined"


@attrs.frozen
class RunResult:
    """How a run ended, and why.

    Attributes:
        end: How the run ended.
        reason: Why the run failed, for the log and the caller.
        head: Head of a response that is not a stream.
        metadata: Information decoded from that head.
        body: Body of that response.
    """

    end: RunEnd
    reason: str = ""
    head: ResponseHead | None = None
    metadata: AnswerMetadata | None = None
    body: bytes = b""


def make_quarantined_result() -> RunResult:
    """Returns the result of a request that must not run any more."""
    return RunResult(RunEnd.QUARANTINED, QUARANTINED_REASON)
