"""Results of an HTTP exchange with another process."""

import enum

import attrs


class FailureKind(enum.Enum):
    """Reason why an exchange returned no complete response."""

    CONNECT = "connect"
    REFUSED = "refused"
    SILENT = "silent"
    RESET = "reset"
    CUT_SHORT = "cut_short"
    NOT_HTTP = "not_http"
    WRONG_ANSWER = "wrong_answer"
    TOO_LONG = "too_long"


@attrs.frozen
class ExchangeFailure:
    """An exchange that ended without a complete response.

    Attributes:
        failure: Kind of failure.
        sent: Whether any byte of the request may have been sent. Only if
            none was is it certain that the peer did no work.
    """

    failure: FailureKind
    sent: bool


@attrs.frozen
class ReadTimeout:
    """No data arrived within the timeout; the connection is still open."""


@attrs.frozen
class EndOfBody:
    """The response body is complete.

    Attributes:
        by_close: Whether the peer's closing the connection ended a body with
            neither a length nor chunks. The end of the peer's process looks
            like that, too.
    """

    by_close: bool = False


@attrs.frozen
class ResponseHead:
    """Status line and headers of a response.

    Attributes:
        status: Status code.
        headers: Pairs of name and value, in the order and case received.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Returns the first value of a header.

        Args:
            name: Header name in lower case.

        Returns:
            The value, or None if the header is absent.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@attrs.frozen
class HttpResponse:
    """A complete response.

    Attributes:
        head: Status line and headers.
        body: Decoded body.
    """

    head: ResponseHead
    body: bytes
