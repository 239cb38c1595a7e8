"""What can come of talking to another process."""

import enum

import attrs


class Failure(enum.Enum):
    """Why an exchange gave no whole answer."""

    CONNECT = "connect"
    REFUSED = "refused"
    SILENT = "silent"
    RESET = "reset"
    CUT_SHORT = "cut_short"
    NOT_HTTP = "not_http"
    WRONG_ANSWER = "wrong_answer"


@attrs.frozen
class Broken:
    """An exchange that ended without a whole answer.

    Attributes:
        failure: What was seen.
        sent: Whether a byte of the request may have left. Only if none has
            is it certain that the other side did no work.
    """

    failure: Failure
    sent: bool


@attrs.frozen
class Quiet:
    """Nothing came in the time given; the connection still stands."""


@attrs.frozen
class End:
    """The answer is whole."""


@attrs.frozen
class Head:
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
class Answer:
    """A whole answer."""

    head: Head
    body: bytes
