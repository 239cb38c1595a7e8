"""Tests of the check that received bytes are exactly one response."""

import pytest

from caroblug.gateway._response_extent import ResponseExtent

LENGTH = ("Content-Length", "2")
CHUNKED = ("Transfer-Encoding", "chunked")
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


@pytest.mark.parametrize(
    ("headers", "body", "exact"),
    [
        ([LENGTH], b"ab", True),
        ([LENGTH], b"ab\r\n", False),
        ([LENGTH], b"abHTTP/1.1 200 OK\r\n", False),
        ([CHUNKED], b"2\r\nab\r\n0\r\n\r\n", True),
        ([CHUNKED], b"0\r\n\r\n", True),
        ([CHUNKED], b"2\r\nab\r\n0\r\n\r\n\r\n", False),
        ([CHUNKED], b"2\r\nab\r\n0\r\nName: value\r\n\r\n", False),
        ([CHUNKED, LENGTH], b"2\r\nab\r\n0\r\n\r\n", False),
        ([LENGTH, LENGTH], b"ab", False),
        ([("Content-Length", "+2")], b"ab", False),
        ([], b"ab", False),
    ],
)
@pytest.mark.parametrize("step", [1, 3, 100])
def test_bytes_after_the_end_are_found(headers, body, exact, step):
    # Guards against bytes that would be read as the next response.
    data = HEAD + body
    extent = ResponseExtent()

    for start in range(0, len(data), step):
        extent.add(data[start : start + step])

    assert extent.is_one_response(headers) is exact
    assert extent.received == len(data)
