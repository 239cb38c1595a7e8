"""Conversion of refusals to HTTP responses."""

import math
from typing import Any

import falcon

from caroblug.utils import RefusalType, Refused

_STATUS = {
    RefusalType.BAD_REQUEST: falcon.HTTP_400,
    RefusalType.UNAUTHENTICATED: falcon.HTTP_401,
    RefusalType.UNKNOWN_MODEL: falcon.HTTP_404,
    RefusalType.UNKNOWN_SERVICE: falcon.HTTP_404,
    RefusalType.NOT_FOUND: falcon.HTTP_404,
    RefusalType.KEY_CONFLICT: falcon.HTTP_409,
    RefusalType.ANSWER_NOT_KEPT: falcon.HTTP_409,
    RefusalType.BODY_TOO_LARGE: falcon.HTTP_413,
    RefusalType.LIMIT_REACHED: falcon.HTTP_429,
    RefusalType.QUARANTINED: falcon.HTTP_429,
    RefusalType.BACKEND_FAILED: falcon.HTTP_502,
    RefusalType.OUTCOME_UNKNOWN: falcon.HTTP_502,
    RefusalType.DEADLINE_EXCEEDED: falcon.HTTP_504,
}
_MS_PER_S = 1000


def refusal_body(refused: Refused) -> dict[str, Any]:
    """Returns the JSON body of a refusal."""
    return {
        "error": {
            "type": refused.type.value,
            "message": refused.message,
            "ran": refused.ran.value,
            "retry_after_ms": refused.retry_after_ms,
        }
    }


def write_refusal(response: falcon.Response, refused: Refused) -> None:
    """Writes a refusal's status, body and `Retry-After` header."""
    response.status = _STATUS.get(refused.type, falcon.HTTP_503)
    response.media = refusal_body(refused)
    if refused.retry_after_ms:
        seconds = math.ceil(refused.retry_after_ms / _MS_PER_S)
        response.set_header("Retry-After", str(seconds))
