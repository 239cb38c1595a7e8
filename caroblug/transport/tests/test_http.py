"""Tests that an HTTP request is sent at most once."""

import gevent
import pytest
from gevent import server

from caroblug.transport._http import HttpFailure, HttpResponse, request_once

_ANSWER = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"


class _Service:
    """Counts requests and closes each connection, by default unanswered."""

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


def _request_in_thread(port, method, may_send=lambda: True):
    arguments = ("127.0.0.1", port, 2000, method, "/seats", b"", {}, may_send)
    # The programs monkey-patch sockets. Here sockets are not patched, so the
    # request runs in a thread and does not block the server.
    return gevent.get_hub().threadpool.apply(request_once, arguments)


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
def test_request_is_not_resent_after_a_broken_connection(method):
    """Guards against a service that runs one request twice.

    The service closes the connection before it responds, and an HTTP client
    that treats PUT as idempotent resends the request by itself.
    """
    with _Service() as service:
        answer = _request_in_thread(service.port, method)
        assert isinstance(answer, HttpFailure)
        assert answer.sent
        assert service.requests == 1


def test_response_is_returned():
    with _Service(_ANSWER) as service:
        answer = _request_in_thread(service.port, "PUT")
        assert isinstance(answer, HttpResponse)
        assert (answer.status, answer.body) == (201, b"ok")


def test_failure_is_marked_not_sent_only_before_the_first_byte():
    with _Service(_ANSWER) as service:
        late = _request_in_thread(service.port, "PUT", lambda: False)
        assert not late.sent
        assert service.requests == 0
        port = service.port
    refused = _request_in_thread(port, "PUT")
    assert isinstance(refused, HttpFailure)
    assert not refused.sent
