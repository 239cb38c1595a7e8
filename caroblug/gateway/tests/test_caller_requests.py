"""Tests of request parsing: framing, malformed requests and size limits."""

import hypothesis
import hypothesis.strategies as st

from caroblug.core.access import RequestLimits
from caroblug.gateway._caller_requests import BadRequest, RequestReader

POST = (
    b"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
CHUNKED = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)


def make_reader(header_bytes=1000, body_bytes=1000):
    limits = RequestLimits(header_bytes=header_bytes, body_bytes=body_bytes)
    return RequestReader(lambda: limits)


def test_request_with_a_length():
    (request,) = make_reader().feed(POST, 7)

    assert (request.method, request.target) == ("POST", "/a/b?c=d")
    assert request.path == "/a/b"
    assert request.get("x-a") == "1"
    assert request.body == b"hello"
    assert request.began_ms == 7


def test_request_in_chunks():
    (request,) = make_reader().feed(CHUNKED, 0)

    assert request.body == b"abcde"


def test_two_requests_in_one_read():
    first, second = make_reader().feed(POST + CHUNKED, 0)

    assert first.body == b"hello"
    assert second.body == b"abcde"


@hypothesis.given(st.lists(st.integers(0, len(POST + CHUNKED)), max_size=6))
def test_any_split_of_the_bytes_gives_the_same_requests(splits):
    data = POST + CHUNKED
    edges = sorted({0, len(data), *splits})
    reader = make_reader()
    found = []
    for start, end in zip(edges, edges[1:], strict=False):
        found.extend(reader.feed(data[start:end], start))

    assert [r.body for r in found] == [b"hello", b"abcde"]


def test_header_that_never_ends_is_refused():
    # Guards against endless headers that exhaust the gateway's memory.
    reader = make_reader(header_bytes=100)
    result = reader.feed(b"GET / HTTP/1.1\r\n", 0)
    for _ in range(20):
        if isinstance(result, BadRequest):
            break
        result = reader.feed(b"X-Pad: aaaaaaaaaaaaaaaa\r\n", 0)

    assert result.status == 431


def test_body_over_its_limit_is_refused():
    declared = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"
    chunked = (
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"7d0\r\n" + b"x" * 2000
    )

    assert make_reader().feed(declared, 0).status == 413
    assert make_reader().feed(chunked, 0).status == 413


def test_bytes_that_are_not_http_are_refused():
    assert make_reader().feed(b"\x16\x03\x01 hello\r\n\r\n", 0).status == 400


def test_content_length_with_chunked_encoding_is_refused():
    # Guards against request smuggling by two framings of one request.
    smuggled = (
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"
    )

    assert make_reader().feed(smuggled, 0).status == 400


def test_partial_request_is_reported():
    reader = make_reader()
    reader.feed(POST[:20], 3)

    assert reader.in_head
    assert reader.began_ms == 3
    reader.feed(POST[20:-2], 4)
    assert reader.partial
    assert not reader.in_head
    reader.feed(POST[-2:], 5)
    assert not reader.partial


def test_head_of_the_largest_size_is_accepted():
    # Guards against lines that are counted as longer than they were sent.
    head = b"GET / HTTP/1.1\r\nHost:h\r\n"
    lines = b"a:b\r\n" * ((1000 - len(head) - 2) // 5)
    (request,) = make_reader(header_bytes=1000).feed(head + lines + b"\r\n", 0)

    assert len(request.headers) == 1 + len(lines) // 5


def test_trailers_are_no_headers():
    # Guards against trailers that pass for headers of the request.
    trailers = CHUNKED[:-2] + b"Authorization: Bearer k\r\n\r\n"
    (request,) = make_reader().feed(trailers, 0)

    assert request.get("authorization") is None


@hypothesis.given(
    st.sampled_from([b"a:b\r\n", b"a: " + b"b" * 400, b"b" * 300]),
    st.integers(1, 400),
)
def test_trailers_without_end_are_refused(piece, size):
    # Guards against trailers that exhaust the gateway's memory.
    reader = make_reader()
    reader.feed(CHUNKED[:-2], 0)
    stream = piece * 1000
    for start in range(0, len(stream), size):
        found = reader.feed(stream[start : start + size], 0)
        if isinstance(found, BadRequest):
            return
        assert reader.held_bytes < 5000
    raise AssertionError("nothing was refused")


def test_chunk_extension_without_end_is_refused():
    # Guards against a chunk size that goes on for ever.
    reader = make_reader()
    reader.feed(CHUNKED[: CHUNKED.index(b"3\r\n") + 1], 0)
    found = [reader.feed(b";" + b"x" * 99, 0) for _ in range(20)]

    assert any(isinstance(one, BadRequest) for one in found)


def test_header_lines_count_with_their_objects():
    # Guards against short lines that take many times their characters.
    reader = make_reader()
    reader.feed(b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 100, 0)

    assert reader.held_bytes > 100 * 160


def test_body_in_many_pieces_is_whole():
    body = bytes(range(256)) * 200
    reader = make_reader(body_bytes=len(body))
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    reader.feed(head % len(body), 0)
    found = []
    for start in range(0, len(body), 777):
        found = reader.feed(body[start : start + 777], 0)

    assert len(found[0].pieces) > 1
    assert found[0].body == body
    assert found[0].body_bytes == len(body)
    assert reader.held_bytes == 0
