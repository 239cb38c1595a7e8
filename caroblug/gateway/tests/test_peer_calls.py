"""Tests of calls between gateways, invalid messages included."""

import pytest

from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._peer_calls import PeerCalls
from caroblug.gateway.tests.fakes import make_context


class FakeReply:
    """Records the answer that a handler sends."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""

    def send(self, status, headers, body=b""):
        self.status = status
        self.body = body


def handle(path: str, body: bytes) -> FakeReply:
    calls = PeerCalls(make_context())
    calls.register("/double", lambda message: {"twice": message["number"] * 2})
    reply = FakeReply()
    calls.handle_request(RawRequest("POST", path, [], body, False, 0), reply)
    return reply


def test_message_is_passed_to_the_handler_of_its_path():
    reply = handle("/double", b'{"number":21}')

    assert (reply.status, reply.body) == (200, b'{"twice":42}')


def test_unknown_path_is_not_found():
    assert handle("/nothing", b"{}").status == 404


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b"7",
        b'"text"',
        b"[" * 100_000,
        b'{"number": Infinity}',
        b"\xff",
    ],
)
def test_message_with_an_unexpected_structure_is_a_bad_request(body):
    # Guards against a gateway that terminates because of a message sent by
    # another version.
    assert handle("/double", body).status == 400


def test_number_of_a_message_that_overflows_is_a_bad_request():
    # Guards against a call that is never answered because of its numbers.
    calls = PeerCalls(make_context())
    calls.register("/count", lambda message: {"n": int(message["number"])})
    reply = FakeReply()
    body = b'{"number": 1e999}'
    calls.handle_request(
        RawRequest("POST", "/count", [], body, False, 0), reply
    )

    assert reply.status == 400
