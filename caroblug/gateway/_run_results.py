"""How one run of a stream ended."""

import enum

import attrs

from caroblug.gateway._exchange_results import ResponseHead
from caroblug.gateway._interfaces import AnswerMetadata


class RunEnd(enum.Enum):
    """How a run ended."""

    WHOLE = "whole"
    NOT_SENT = "not_sent"
    NO_PATH = "no_path"
    TURNED_AWAY = "turned_away"
    ANSWERED = "answered"
    LOST = "lost"
    OUT_OF_TIME = "out_of_time"


@attrs.frozen
class RunResult:
    """How a run ended, and what was seen.

    Attributes:
        end: How it ended.
        reason: What was seen, for the log.
        head: The head of an answer that is no stream.
        facts: What that head says.
        body: Its body.
    """

    end: RunEnd
    reason: str = ""
    head: ResponseHead | None = None
    facts: AnswerMetadata | None = None
    body: bytes = b""
