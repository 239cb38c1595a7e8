"""Checks shared by all HTTP resources: readiness, account, body size."""

import falcon

from caroblug.core.state import Head
from caroblug.entry._authentication import authenticate
from caroblug.node import BundleFollower, Lifetime, read_to_limit
from caroblug.utils import RefusalType, Refused

_RETRY_AFTER_MS = 1000
_NOT_READY = Refused(
    RefusalType.OVERLOADED,
    "this instance is not ready",
    retry_after_ms=_RETRY_AFTER_MS,
)
_INCOMPLETE_BODY = Refused(
    RefusalType.BAD_REQUEST, "the body ended before it was complete"
)


class RequestGuard:
    """Authenticates requests and reads their bodies.

    Args:
        bundles: Provides the bundle in force.
        lifetime: Tells whether the program still accepts requests.
    """

    def __init__(self, bundles: BundleFollower, lifetime: Lifetime) -> None:
        self._bundles = bundles
        self._lifetime = lifetime

    def authenticate_request(
        self, request: falcon.Request
    ) -> tuple[Head, str] | Refused:
        """Returns the head in force and the request's client account.

        Args:
            request: The request to authenticate.

        Returns:
            The head and the name of the account; a refusal if this instance
            is not ready or the key is not valid.
        """
        head = self._bundles.wait_for_newest_head()
        if head is None or not self._lifetime.accepting:
            return _NOT_READY
        account = authenticate(head.bundle, request.get_header("Authorization"))
        if isinstance(account, Refused):
            return account
        return head, account

    def read_body(self, request: falcon.Request, limit: int) -> bytes | Refused:
        """Returns the body, or a refusal if it isn't one of `limit` bytes."""
        encoding = request.get_header("Transfer-Encoding", default="")
        chunked = encoding.lower() == "chunked"
        if encoding and not chunked:
            return Refused(
                RefusalType.BAD_REQUEST,
                f"the transfer encoding {encoding!r} is not supported",
            )
        if chunked or (request.content_length or 0) <= limit:
            try:
                body = (
                    read_to_limit(request.stream.read, limit)
                    if chunked
                    else request.bounded_stream.read(limit + 1)
                )
            except OSError:
                return _INCOMPLETE_BODY
            if len(body) <= limit:
                return body
        return body_too_large(limit)


def body_too_large(limit: int) -> Refused:
    """Returns the refusal for a body of more than `limit` bytes."""
    return Refused(
        RefusalType.BODY_TOO_LARGE, f"the body is over {limit} bytes"
    )
