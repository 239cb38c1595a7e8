"""What can come of talking to another process."""

import enum

import attrs


class FailureKind(enum.Enum):
    """Why an exchange gave no whole answer."""

    CONNECT = "connect"
    REFUSED = "refused"
    SILENT = "silent"
    RESET = "reset"
    CUT_SHORT = "cut_short"
    NOT_HTTP = "not_http"
    WRONG_ANSWER = "wrong_answer"


@attrs.frozen
class ExchangeFailure:
    """An exchange that ended without a whole answer.

    Attributes:
        failure: What was seen.
        sent: Whether a byte of the request may have left. Only if none has
            is it certain that the other side did no work.
    """

    failure: FailureKind
    sent: bool


@attrs.frozen
class ReadTimeout:
    """Nothing came in the time given; the connection still stands."""


@attrs.frozen
class EndOfBody:
    """The answer is whole."""


@attrs.frozen
class ResponseHead:
    """Status line and headers of an answer.

    Attributes:
        status: Status code.
        headers: Names as sent and values, in order.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Returns the first value of a header, named in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@attrs.frozen
class HttpResponse:
    """A whole answer."""

    head: ResponseHead
    body: bytes
