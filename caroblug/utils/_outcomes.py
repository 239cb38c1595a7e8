"""Outcomes that are not successes, as values."""

import dataclasses
import enum


class ExecutionStatus(enum.StrEnum):
    """Whether the work behind a refused request has run."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class RefusalType(enum.StrEnum):
    """The kinds of refusal that a caller can meet."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    KEY_CONFLICT = "key_conflict"
    LIMIT_REACHED = "limit_reached"
    OVERLOADED = "overloaded"
    NO_CAPACITY = "no_capacity"
    QUARANTINED = "quarantined"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    LOG_UNAVAILABLE = "log_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    LEAVING = "leaving"
    BACKEND_FAILED = "backend_failed"
    NOT_FOUND = "not_found"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request that is given up, with its final answer.

    Attributes:
        type: Kind of refusal.
        message: What happened, for the caller; holds no secret.
        ran: `ExecutionStatus.NO` only where it is proved that nothing ran.
        retry_after_ms: When to come back; 0 means never with this request.
    """

    type: RefusalType
    message: str
    ran: ExecutionStatus = ExecutionStatus.NO
    retry_after_ms: int = 0


CALLER_ERRORS = frozenset(
    {
        RefusalType.BAD_REQUEST,
        RefusalType.UNAUTHENTICATED,
        RefusalType.UNKNOWN_MODEL,
        RefusalType.UNKNOWN_SERVICE,
        RefusalType.BODY_TOO_LARGE,
        RefusalType.KEY_CONFLICT,
        RefusalType.LIMIT_REACHED,
        RefusalType.QUARANTINED,
        RefusalType.NOT_FOUND,
    }
)
"""Refusals that the caller brought about; they spend no budget."""
