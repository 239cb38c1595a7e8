"""Calls over HTTP that must not be sent twice."""

import gevent
import pytest
from gevent import server

from caroblug.transport._http import HttpFailure, HttpResponse, request_once

_ANSWER = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"


class _Service:
    """Counts requests and closes each connection without an answer."""

    def __init__(self, answer=b""):
        self.requests = 0
        self._answer = answer
        self._server = server.StreamServer(("127.0.0.1", 0), self._handle)

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *_):
        self._server.stop()

    @property
    def port(self):
        return self._server.server_port

    def _handle(self, sock, _):
        if sock.recv(65536):
            self.requests += 1
            sock.sendall(self._answer)
        sock.close()


def _once(port, method, may_send=lambda: True):
    arguments = ("127.0.0.1", port, 2000, method, "/seats", b"", {}, may_send)
    # The programs patch sockets; here a thread lets the server run meanwhile.
    return gevent.get_hub().threadpool.apply(request_once, arguments)


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
def test_broken_connection_is_never_sent_again(method):
    """A delivery is confirmed twice by one call.

    The service runs the call and dies before its answer; the HTTP client
    believes that PUT may always be sent again, and does so by itself.
    """
    with _Service() as service:
        answer = _once(service.port, method)
        assert isinstance(answer, HttpFailure)
        assert answer.sent
        assert service.requests == 1


def test_answer_is_passed_on():
    with _Service(_ANSWER) as service:
        answer = _once(service.port, "PUT")
        assert isinstance(answer, HttpResponse)
        assert (answer.status, answer.body) == (201, b"ok")


def test_not_sent_is_said_only_before_the_first_byte():
    with _Service(_ANSWER) as service:
        late = _once(service.port, "PUT", lambda: False)
        assert not late.sent
        assert service.requests == 0
        port = service.port
    refused = _once(port, "PUT")
    assert isinstance(refused, HttpFailure)
    assert not refused.sent
