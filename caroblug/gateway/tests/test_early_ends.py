"""Tests of answers that end with their connection before the request is read.

An answer without a length ends with its connection. It is complete only if
the server has received the whole request and has not reset the connection.
"""

import pytest

from caroblug.gateway import ExchangeFailure, format_parts
from caroblug.gateway._exchange_results import FailureKind, ResponseHead
from caroblug.gateway._http_client import Exchange, send_and_read
from caroblug.gateway.tests.raw_server import End, RawServer

UPLOAD = (b"x" * 8192,) * 384
LONG_UPLOAD = UPLOAD * 4
"""More than the kernel buffers, so that a write of it meets the reset."""

UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\npart"
FRAMED = b"HTTP/1.1 413 No\r\nContent-Length: 4\r\n\r\npart"
TIMEOUT_S = 5.0
TRIES = 8
"""Tries of each case, since the order of reset and reads varies."""


def exchange(answer, end, upload=UPLOAD):
    """Sends a request and returns the body of the answer, or the failure."""
    server = RawServer(answer, end)
    request = Exchange(server.address)
    parts = format_parts("POST", "/", [("Host", "h")], upload)
    try:
        problem = request.connect(TIMEOUT_S) or request.send(parts, TIMEOUT_S)
        if problem is not None:
            return problem
        head = request.read_head(TIMEOUT_S)
        if not isinstance(head, ResponseHead):
            return head
        return request.read_body(TIMEOUT_S)
    finally:
        request.close()
        server.stop()


@pytest.mark.parametrize("status", [b"200 OK", b"500 Error"])
@pytest.mark.parametrize("end", [End.CLOSE, End.RESET, End.FINISH])
@pytest.mark.parametrize("upload", [UPLOAD, LONG_UPLOAD], ids=["3M", "12M"])
def test_answer_that_ends_before_the_request_is_read_is_incomplete(
    status, end, upload
):
    # Guards against a part of an answer that is taken for all of it.
    answer = UNFRAMED.replace(b"200 OK", status)

    results = [exchange(answer, end, upload) for _ in range(TRIES)]

    assert all(isinstance(result, ExchangeFailure) for result in results)
    assert all(result.sent for result in results)


def test_store_peer_or_order_answer_that_is_reset_is_incomplete():
    server = RawServer(UNFRAMED, End.CLOSE)
    request = Exchange(server.address)
    data = b"".join(format_parts("POST", "/", [("Host", "h")], LONG_UPLOAD))
    request.connect(TIMEOUT_S)

    response = send_and_read(request, data, TIMEOUT_S, TIMEOUT_S)

    server.stop()
    assert isinstance(response, ExchangeFailure)
    assert response.failure in (FailureKind.CUT_SHORT, FailureKind.RESET)


@pytest.mark.parametrize("end", [End.CLOSE, End.FINISH])
def test_early_answer_with_a_length_is_complete(end):
    # Guards against a rejection of a long request that is lost.
    results = [exchange(FRAMED, end, LONG_UPLOAD) for _ in range(TRIES)]

    assert results == [b"part"] * TRIES


@pytest.mark.parametrize(
    ("end", "upload"), [(End.DRAIN, UPLOAD), (End.CLOSE, (b"short",))]
)
def test_answer_that_ends_with_its_connection_is_complete(end, upload):
    results = [exchange(UNFRAMED, end, upload) for _ in range(TRIES)]

    assert results == [b"part"] * TRIES
