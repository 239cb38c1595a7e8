"""Value types for refused requests."""

import dataclasses
import enum


class ExecutionStatus(enum.StrEnum):
    """Whether the work of a refused request was executed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class RefusalType(enum.StrEnum):
    """Reasons for which a caller's request can be refused."""

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
    """Final answer to a request that is not served.

    Attributes:
        type: Kind of refusal.
        message: Description for the caller; contains no secret.
        ran: `ExecutionStatus.NO` only if it is certain that nothing ran.
        retry_after_ms: Time until the caller may retry; 0 means that it should
            not retry this request.
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
"""Refusals caused by the caller; they do not consume the error budget."""
