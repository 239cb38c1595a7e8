"""Tests of the check that received bytes are one sound response."""

import itertools

import httptools
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caroblug.core.responses import MalformedResponse, ResponseFilter

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = b"Content-Length: 2\r\n"
ALL_TOKEN_CHARACTERS = b"!#$%&'*+-.^_`|~059azAZ"

BROKEN_HEADS = {
    "status 000": b"HTTP/1.1 000 No\r\n",
    "status 099": b"HTTP/1.1 099 No\r\n",
    "status 600": b"HTTP/1.1 600 No\r\n",
    "status of two digits": b"HTTP/1.1 20 OK\r\n",
    "status of four digits": b"HTTP/1.1 2000 OK\r\n",
    "status with a letter": b"HTTP/1.1 2x0 OK\r\n",
    "negative status": b"HTTP/1.1 -20 OK\r\n",
    "no blank behind the status": b"HTTP/1.1 200\r\n",
    "two blanks before the status": b"HTTP/1.1  200 OK\r\n",
    "control byte in the reason": b"HTTP/1.1 200 O\x01K\r\n",
    "other protocol": b"HTTQ/1.1 200 OK\r\n",
    "other version": b"HTTP/2.0 200 OK\r\n",
    "version 0.9": b"HTTP/0.9 200 OK\r\n",
    "lower case": b"http/1.1 200 OK\r\n",
    "empty line first": b"\r\nHTTP/1.1 200 OK\r\n",
    "blank first": b" HTTP/1.1 200 OK\r\n",
    "bare line feed": b"HTTP/1.1 200 OK\n",
    "switch of protocols": b"HTTP/1.1 101 No\r\n",
    "content of 100": b"HTTP/1.1 100 Continue\r\n" + LENGTH,
    "content of 204": b"HTTP/1.1 204 No Content\r\n" + LENGTH,
    "chunks of 204": b"HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n",
    "chunks in HTTP/1.0": b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
}
BROKEN_LINES = {
    "blank in a name": b"Bad Name: x\r\n",
    "blank behind a name": b"Name : x\r\n",
    "blank before a name": b" Name: x\r\n",
    "tab in a name": b"Bad\tName: x\r\n",
    "control byte in a name": b"Bad\x01Name: x\r\n",
    "NUL in a name": b"Bad\0Name: x\r\n",
    "DEL in a name": b"Bad\x7fName: x\r\n",
    "eighth bit in a name": b"Bad\xe9Name: x\r\n",
    "separator in a name": b"Bad(Name): x\r\n",
    "no name": b": x\r\n",
    "no colon": b"Name\r\n",
    "folded line": b"Name: x\r\n y\r\n",
    "control byte in a value": b"Name: x\x01\r\n",
    "NUL in a value": b"Name: x\0\r\n",
    "DEL in a value": b"Name: x\x7f\r\n",
    "carriage return in a value": b"Name: x\ry\r\n",
    "line feed in a value": b"Name: x\ny\r\n",
    "two different lengths": LENGTH + b"Content-Length: 3\r\n",
    "two equal lengths": LENGTH * 2,
    "list of lengths": b"Content-Length: 2, 3\r\n",
    "length with a sign": b"Content-Length: +2\r\n",
    "negative length": b"Content-Length: -2\r\n",
    "hexadecimal length": b"Content-Length: 0x2\r\n",
    "length with a point": b"Content-Length: 2.0\r\n",
    "length with an underscore": b"Content-Length: 1_0\r\n",
    "length in other digits": b"Content-Length: \xb2\r\n",
    "empty length": b"Content-Length:\r\n",
    "huge length": b"Content-Length: " + b"9" * 30 + b"\r\n",
    "length and chunks": LENGTH + b"Transfer-Encoding: chunked\r\n",
    "other coding": b"Transfer-Encoding: gzip\r\n",
    "two codings": b"Transfer-Encoding: gzip, chunked\r\n",
    "chunked twice": b"Transfer-Encoding: chunked\r\n" * 2,
    "chunks that aren't last": b"Transfer-Encoding: chunked, gzip\r\n",
    "empty coding": b"Transfer-Encoding:\r\n",
    "identity": b"Transfer-Encoding: identity\r\n",
}
BROKEN_BODIES = {
    "no size": b"\r\nab\r\n0\r\n\r\n",
    "size with a sign": b"+2\r\nab\r\n0\r\n\r\n",
    "size with 0x": b"0x2\r\nab\r\n0\r\n\r\n",
    "size with a letter": b"2g\r\nab\r\n0\r\n\r\n",
    "blank before a size": b" 2\r\nab\r\n0\r\n\r\n",
    "blank behind a size": b"2 \r\nab\r\n0\r\n\r\n",
    "huge size": b"f" * 20 + b"\r\nab\r\n0\r\n\r\n",
    "extension without a name": b"2;\r\nab\r\n0\r\n\r\n",
    "extension with a control byte": b"2;a\x01\r\nab\r\n0\r\n\r\n",
    "open quotes": b'2;a="b\r\nab\r\n0\r\n\r\n',
    "bare line feed behind a size": b"2\nab\r\n0\r\n\r\n",
    "chunk that goes on": b"2\r\nabc\r\n0\r\n\r\n",
    "chunk that ends early": b"2\r\na\r\n0\r\n\r\n",
    "other bytes behind a chunk": b"2\r\nabXX0\r\n\r\n",
    "bare line feed behind a chunk": b"2\r\nab\n0\r\n\r\n",
    "blank in the name of a trailer": b"2\r\nab\r\n0\r\nA b: c\r\n\r\n",
    "control byte in a trailer": b"2\r\nab\r\n0\r\nA: \x01\r\n\r\n",
    "no colon in a trailer": b"2\r\nab\r\n0\r\nA\r\n\r\n",
    "length in a trailer": b"2\r\nab\r\n0\r\nContent-Length: 2\r\n\r\n",
}
BROKEN = (
    {name: head + LENGTH + b"\r\nab" for name, head in BROKEN_HEADS.items()}
    | {name: OK + line + b"\r\nab" for name, line in BROKEN_LINES.items()}
    | {
        f"{name}, with a length": OK + line + LENGTH + b"\r\nab"
        for name, line in BROKEN_LINES.items()
    }
    | {name: CHUNKED + body for name, body in BROKEN_BODIES.items()}
)

EARLY = {
    "length": OK + LENGTH + b"\r\na",
    "head": OK + LENGTH,
    "status line": b"HTTP/1.1 200 OK",
    "nothing": b"",
    "chunk": CHUNKED + b"2\r\na",
    "chunk size": CHUNKED + b"2",
    "end of a chunk": CHUNKED + b"2\r\nab",
    "last chunk": CHUNKED + b"2\r\nab\r\n",
    "size of the last chunk": CHUNKED + b"2\r\nab\r\n0",
    "trailers": CHUNKED + b"2\r\nab\r\n0\r\nA: b\r\n",
    "interim response": b"HTTP/1.1 100 Continue\r\n\r\n",
}

SOUND = {
    "length": (OK + LENGTH + b"\r\nab", b"ab"),
    "no blanks": (OK + b"Content-Length:2\r\n\r\nab", b"ab"),
    "blanks": (OK + b"Content-Length: \t2\t \r\n\r\nab", b"ab"),
    "leading zeros": (OK + b"Content-Length: 0002\r\n\r\nab", b"ab"),
    "other case": (OK + b"cOnTENT-lENGTH: 2\r\n\r\nab", b"ab"),
    "no body": (OK + b"Content-Length: 0\r\n\r\n", b""),
    "no reason": (b"HTTP/1.1 200 \r\n" + LENGTH + b"\r\nab", b"ab"),
    "reason in Latin-1": (
        b"HTTP/1.1 200 \xe9t\xe9\t!\r\n" + LENGTH + b"\r\nab",
        b"ab",
    ),
    "status 599": (b"HTTP/1.1 599 Odd\r\n" + LENGTH + b"\r\nab", b"ab"),
    "HTTP/1.0": (b"HTTP/1.0 200 OK\r\n" + LENGTH + b"\r\nab", b"ab"),
    "HTTP/1.2": (b"HTTP/1.2 200 OK\r\n" + LENGTH + b"\r\nab", b"ab"),
    "any token": (
        OK + ALL_TOKEN_CHARACTERS + b": x\r\n" + LENGTH + b"\r\nab",
        b"ab",
    ),
    "any value": (
        OK + b'A: \xff\x80 \t!~:;,"\\\r\nB:\r\n' + LENGTH + b"\r\nab",
        b"ab",
    ),
    "repeated name": (
        OK + b"A: 1\r\nA: 2\r\n" + LENGTH + b"\r\nab",
        b"ab",
    ),
    "names that are like lengths": (
        OK
        + b"X-Content-Length: 9\r\nContent-Length-X: 9\r\n"
        + LENGTH
        + b"\r\nab",
        b"ab",
    ),
    "interim responses": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\n"
        + OK
        + LENGTH
        + b"\r\nab",
        b"ab",
    ),
    "204": (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
    "304 with the length of its content": (
        b"HTTP/1.1 304 Not Modified\r\n" + LENGTH + b"\r\n",
        b"",
    ),
    "chunks": (CHUNKED + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", b"abc"),
    "chunked in other case": (
        OK + b"transfer-encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        b"ab",
    ),
    "sizes with zeros": (CHUNKED + b"0002\r\nab\r\n000\r\n\r\n", b"ab"),
    "size with many zeros": (
        CHUNKED + b"0" * 40 + b"2\r\nab\r\n0\r\n\r\n",
        b"ab",
    ),
    "sizes in either case": (
        CHUNKED + b"a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n",
        b"0123456789" * 2,
    ),
    "extensions": (
        CHUNKED + b'2;a;b=c;d="e;\\"\xff"\r\nab\r\n0;z\r\n\r\n',
        b"ab",
    ),
    "extensions with blanks": (
        CHUNKED + b'2 ; a = b\t;c ="d"\r\nab\r\n0 ;z\r\n\r\n',
        b"ab",
    ),
    "trailers": (CHUNKED + b"2\r\nab\r\n0\r\nA: b\r\nC:\r\n\r\n", b"ab"),
    "line ends in chunks": (
        CHUNKED + b"6\r\n\r\n0\r\n\r\r\n0\r\n\r\n",
        b"\r\n0\r\n\r",
    ),
}
NOT_REUSABLE = {"trailers"}


class Parsed:
    """What a library makes of what the filter passes on."""

    def __init__(self, bodiless: bool = False) -> None:
        self.filter = ResponseFilter(bodiless)
        self.body = b""
        self.complete = 0
        self.problem = None
        self._parser = httptools.HttpResponseParser(self)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete += 1

    def feed(self, data: bytes, step: int) -> "Parsed":
        """Feeds bytes in pieces until something is wrong with them."""
        for start in range(0, len(data), step):
            passed = self.filter.feed(data[start : start + step])
            if isinstance(passed, MalformedResponse):
                self.problem = passed
                break
            self._parser.feed_data(passed)
        return self


@pytest.mark.parametrize("step", [1, 2, 3, 7, 10_000])
@pytest.mark.parametrize("name", BROKEN)
def test_broken_response_is_refused(name, step):
    # Guards against a broken answer that is taken for a sound one.
    parsed = Parsed().feed(BROKEN[name], step)

    assert parsed.problem is not None
    assert parsed.problem.message
    assert not parsed.complete
    assert not parsed.filter.is_exact


@pytest.mark.parametrize("step", [1, 3, 10_000])
@pytest.mark.parametrize("name", EARLY)
def test_response_that_ends_early_is_incomplete(name, step):
    # Guards against a part of an answer that is taken for all of it.
    parsed = Parsed().feed(EARLY[name], step)

    assert parsed.problem is None
    assert not parsed.complete
    assert isinstance(parsed.filter.close(), MalformedResponse)
    assert not parsed.filter.ended


@pytest.mark.parametrize("step", [1, 2, 3, 7, 10_000])
@pytest.mark.parametrize("name", SOUND)
def test_sound_response_passes(name, step):
    # Guards against answers that are lost although the standard allows them.
    data, body = SOUND[name]

    parsed = Parsed().feed(data, step)

    assert parsed.problem is None
    assert parsed.filter.ended
    assert (parsed.body, parsed.complete) == (body, 1)
    assert parsed.filter.body_bytes == len(body)
    assert parsed.filter.received == len(data)
    assert parsed.filter.is_exact is (name not in NOT_REUSABLE)


@pytest.mark.parametrize("step", [1, 3, 10_000])
@pytest.mark.parametrize("name", SOUND)
@pytest.mark.parametrize(
    "behind", [b"\r\n", b"x", OK + LENGTH + b"\r\ncd", b"HTTP/1.1 000 No"]
)
def test_bytes_behind_the_end_belong_to_no_response(name, behind, step):
    # Guards against bytes that would be read as the next response.
    data, body = SOUND[name]

    parsed = Parsed().feed(data + behind, step)

    assert parsed.problem is None
    assert (parsed.body, parsed.complete) == (body, 1)
    assert not parsed.filter.is_exact


@pytest.mark.parametrize("step", [1, 10_000])
def test_body_without_a_length_ends_with_the_connection(step):
    parsed = Parsed().feed(OK + b"A: b\r\n\r\nab\r\n", step)

    assert not parsed.filter.ended
    assert parsed.filter.ends_by_close
    assert parsed.filter.close() is None
    assert parsed.filter.ended
    assert parsed.body == b"ab\r\n"
    assert not parsed.filter.is_exact


@pytest.mark.parametrize("lines", [LENGTH, b"Transfer-Encoding: chunked\r\n"])
@pytest.mark.parametrize("step", [1, 10_000])
def test_response_without_a_body_ends_with_its_head(lines, step):
    filter_ = ResponseFilter(bodiless=True)
    data = OK + lines + b"\r\n"

    for start in range(0, len(data), step):
        passed = filter_.feed(data[start : start + step])

    assert not isinstance(passed, MalformedResponse)
    assert filter_.ended
    assert filter_.is_exact


@pytest.mark.parametrize("name", BROKEN_LINES)
def test_head_of_a_response_without_a_body_is_checked(name):
    problem = ResponseFilter(bodiless=True).feed(
        OK + BROKEN_LINES[name] + b"\r\n"
    )

    assert isinstance(problem, MalformedResponse)


@pytest.mark.parametrize(
    "data",
    [
        b"\0\1\2",
        b"garbage",
        b"HTTP/1.1 200 OK\nContent-Length: 2\n\nab",
        b"HTTP/1.1 200 OK\r\nName: x\0",
        b"HTTP/1.1 200 OK\r\nName: x\ry",
        CHUNKED + b"x",
        CHUNKED + b"2\nab\n0\n\n",
        CHUNKED + b"2\r\nabX",
    ],
)
@pytest.mark.parametrize("step", [1, 10_000])
def test_bytes_that_begin_no_response_are_refused_at_once(data, step):
    # Guards against the wait for the end of a head that never comes.
    assert Parsed().feed(data, step).problem is not None


def test_problem_stays():
    filter_ = ResponseFilter()
    problem = filter_.feed(b"x")

    assert filter_.feed(OK + LENGTH + b"\r\nab") is problem
    assert filter_.close() is problem


_PIECES = st.sampled_from(
    [
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 204 No",
        b"HTTP/1.0 200 OK",
        b"\r\n",
        b"\n",
        b"\r",
        b"Content-Length: 2",
        b"Content-Length: 0",
        b"Transfer-Encoding: chunked",
        b"Name: x",
        b" ",
        b":",
        b"2",
        b"0",
        b"ab",
        b";a=b",
        b"\0",
    ]
)


@settings(max_examples=400, deadline=None)
@given(st.lists(_PIECES, max_size=20), st.data())
def test_any_split_gives_the_same_result(pieces, data):
    # Guards against a check that depends on how bytes arrive.
    raw = b"".join(pieces)
    whole = Parsed().feed(raw, max(1, len(raw)))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=5)))
    split = Parsed()

    for begin, end in itertools.pairwise([0, *cuts, len(raw)]):
        if split.problem is None:
            split.feed(raw[begin:end], max(1, end - begin))

    assert (split.problem is None) is (whole.problem is None)
    assert split.filter.ended is whole.filter.ended
    assert split.complete == whole.complete
    if whole.problem is None:
        assert split.body == whole.body


@settings(max_examples=400, deadline=None)
@given(st.sampled_from(sorted(SOUND)), st.data())
def test_what_passes_is_complete_for_the_parser_as_well(name, data):
    # Guards against a parser that reads another end than the check.
    raw = bytearray(SOUND[name][0])
    at = data.draw(st.integers(0, len(raw) - 1))
    raw[at : at + data.draw(st.integers(0, 2))] = data.draw(
        st.binary(max_size=2)
    )

    parsed = Parsed().feed(bytes(raw), len(raw) or 1)

    if parsed.problem is None:
        assert parsed.complete == int(parsed.filter.ended)
        assert len(parsed.body) == parsed.filter.body_bytes
