"""Callers that make an entry or a side process keep what they send."""

import itertools
import json
import socket
import struct

import pytest

from standins.crowd import Crowd, Footprint, in_pieces
from standins.site import MODEL, EngineSpec, EntrySpec, PlainSpec, make_site

MEMORY_MB = 256
MAX_DESCRIPTORS = 1000
LIMITS = {"memory_mb": MEMORY_MB, "max_sockets": MAX_DESCRIPTORS}
BODY_BYTES = 8 << 20
CONNECTIONS = 60
FRAME_BYTES = 16 << 20
_NODES = ("entry-a", "side-engine-0", "side-booking")


@pytest.fixture
def site():
    with make_site() as running:
        running.start_platform()
        running.add_account("school-1")
        running.bundle["limits"]["body_bytes"] = BODY_BYTES
        running.publish()
        running.start_engine(
            EngineSpec(
                name="engine-0",
                data_centre="muscat-a",
                first_layer=0,
                end_layer=24,
                side=LIMITS,
            )
        )
        running.start_plain(
            PlainSpec(name="booking", data_centre="muscat-a", side=LIMITS)
        )
        running.start_entry(
            EntrySpec(name="entry-a", data_centre="muscat-a", settings=LIMITS)
        )
        running.wait_ready()
        yield running


def measure(process) -> Footprint:
    return Footprint(process.popen.pid, (process.http_port, process.peer_port))


def assert_holds(site, process, footprint) -> None:
    """Checks memory, descriptors and an ordinary request beside the crowd."""
    assert process.popen.poll() is None
    assert site.http(process.http_port, "GET", "/readyz").status == 200
    body = {"model": MODEL, "prompt": "a star", "max_tokens": 4}
    answer = site.call("entry-a", "school-1", "POST", "/v1/completions", body)
    assert answer.status == 200
    footprint.sample()
    assert footprint.max_mb <= MEMORY_MB
    assert footprint.max_descriptors <= MAX_DESCRIPTORS


def crowd_in(site, name, makers, port: str = "http_port") -> None:
    """Lets callers send their pieces and checks the process beside them."""
    process = site.processes[name]
    footprint = measure(process)
    crowd = Crowd(getattr(process, port), footprint, 2 * MEMORY_MB)
    try:
        for pieces in makers:
            crowd.join(pieces)
        crowd.send_all()
        assert_holds(site, process, footprint)
    finally:
        crowd.leave()


def _head(site, framing: bytes, path: bytes = b"/v1/completions") -> bytes:
    key = site.keys["school-1"].encode()
    return (
        b"POST %b HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %b\r\n%b\r\n"
        % (path, key, framing)
    )


def body_with_length(site, path: bytes = b"/v1/completions"):
    head = _head(site, b"Content-Length: %d\r\n" % BODY_BYTES, path)
    return in_pieces(head + b" " * (BODY_BYTES - 1))


def body_in_chunks(site):
    head = _head(site, b"Transfer-Encoding: chunked\r\n")
    piece = b"%x\r\n" % 60_000 + bytes(60_000) + b"\r\n"
    return itertools.chain([head], in_pieces(piece, 130))


def long_head():
    line = b": " + b"x" * 60_000 + b"\r\n"
    lines = (b"X-%d" % number + line for number in range(99))
    return itertools.chain([b"GET /readyz HTTP/1.1\r\n"], lines)


@pytest.mark.parametrize("path", [b"/v1/completions", b"/services/booking/x"])
def test_bodies_that_stop_a_byte_short(site, path):
    # Guards against bodies that fill the memory while they stay unfinished.
    makers = [body_with_length(site, path) for _ in range(CONNECTIONS)]
    crowd_in(site, "entry-a", makers)


def test_bodies_in_chunks_that_stop_short(site):
    # Guards against bodies without a length that fill the memory.
    makers = [body_in_chunks(site) for _ in range(CONNECTIONS)]
    crowd_in(site, "entry-a", makers)


@pytest.mark.parametrize("name", _NODES)
def test_heads_of_long_lines_that_stay_unfinished(site, name):
    # Guards against heads that no limit bounds as a whole.
    crowd_in(site, name, [long_head() for _ in range(CONNECTIONS)])


def test_trailers_without_end(site):
    # Guards against trailers, which come behind the limited body.
    head = _head(site, b"Transfer-Encoding: chunked\r\n") + b"2\r\n{}\r\n0\r\n"
    pieces = [
        itertools.chain([head], in_pieces(b"abc:d\r\n" * 9000, 100))
        for _ in range(4)
    ]
    crowd_in(site, "entry-a", pieces)


@pytest.mark.parametrize("port", ["http_port", "peer_port"])
@pytest.mark.parametrize("name", _NODES)
def test_connections_beyond_the_descriptors(site, name, port):
    # Guards against connections that take the descriptors of all others.
    makers = [iter([b"G"]) for _ in range(MAX_DESCRIPTORS + 100)]
    crowd_in(site, name, makers, port)


@pytest.mark.parametrize("name", _NODES)
def test_first_frames_that_stop_a_byte_short(site, name):
    # Guards against frames of peers that have not shown the shared key.
    frame = struct.pack(">I16s", FRAME_BYTES, bytes(16))
    makers = [
        in_pieces(frame + bytes(FRAME_BYTES - 1)) for _ in range(CONNECTIONS)
    ]
    crowd_in(site, name, makers, "peer_port")


def test_whole_bodies_at_once(site):
    # Guards against complete bodies that decode to many times their size.
    prompt = json.dumps({"model": MODEL, "prompt": [{}] * 2_000_000}).encode()
    head = _head(site, b"Content-Length: %d\r\n" % len(prompt))
    makers = [in_pieces(head + prompt) for _ in range(30)]
    crowd_in(site, "entry-a", makers)


def test_services_that_do_not_exist_leave_no_metrics(site):
    # Guards against an entry for each name that callers make up.
    for number in range(200):
        path = f"/services/made-up-{number}/x"
        assert site.call("entry-a", "school-1", "GET", path).status == 404
    port = site.processes["entry-a"].http_port
    metrics = site.http(port, "GET", "/metrics").body

    assert b"made-up" not in metrics
    assert b'service="unknown"' in metrics


def _largest_body() -> bytes:
    """Returns a completion request that fills the limit with spaces."""
    body = {"model": MODEL, "prompt": "a star", "max_tokens": 4}
    return json.dumps(body).encode().ljust(BODY_BYTES)


def _status_of(site, name: str, pieces) -> bytes:
    """Sends a request in pieces and returns the start of its answer."""
    address = ("127.0.0.1", site.processes[name].http_port)
    with socket.create_connection(address, timeout=30) as caller:
        for piece in pieces:
            caller.sendall(piece)
        return caller.recv(12)


def test_largest_body_is_served_in_calm(site):
    # Guards against a limit that refuses a request of legal size.
    head = _head(site, b"Content-Length: %d\r\n" % BODY_BYTES)
    answer = _status_of(site, "entry-a", in_pieces(head + _largest_body()))
    assert answer == b"HTTP/1.1 200"


def test_largest_body_in_chunks_with_a_trailer_is_served_in_calm(site):
    # Guards against a limit that refuses a request of legal size.
    head = _head(site, b"Transfer-Encoding: chunked\r\n")
    chunks = (
        b"%x\r\n%b\r\n" % (len(piece), piece)
        for piece in in_pieces(_largest_body())
    )
    end = [b"0\r\nX-Checksum: 5\r\n\r\n"]
    pieces = itertools.chain([head], chunks, end)
    assert _status_of(site, "entry-a", pieces) == b"HTTP/1.1 200"


@pytest.mark.parametrize("name", _NODES)
def test_long_head_is_served_in_calm(site, name):
    # Guards against a limit that refuses a request of legal size.
    lines = b"".join(b"X-%d: %b\r\n" % (n, b"x" * 7000) for n in range(9))
    head = b"GET /readyz HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n"
    assert _status_of(site, name, [head]) == b"HTTP/1.1 200"
