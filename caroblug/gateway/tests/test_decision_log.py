"""Tests of the decision log: bounded, non-blocking, failures first."""

import json
import os

from caroblug.gateway._decision_log import DecisionLog
from caroblug.utils import ManualClock


def make_log():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    clock = ManualClock(5000)
    return DecisionLog("g1", clock, writer), reader, writer, clock


def read_lines(reader) -> list[dict]:
    os.set_blocking(reader, False)
    data = b""
    try:
        while piece := os.read(reader, 65536):
            data += piece
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_lines_carry_the_instance():
    log, reader, _, _ = make_log()
    log.enqueue({"message_type": "x", "request": "r1"})
    log.flush()

    assert read_lines(reader) == [
        {"message_type": "x", "request": "r1", "instance": "g1"}
    ]


def test_log_does_not_block_on_a_stalled_reader():
    # Guards against a gateway that blocks while its log is not read.
    log, reader, _, _ = make_log()
    for number in range(10_000):
        log.enqueue({"message_type": "x", "number": number, "pad": "p" * 100})
        log.flush()
    dropped = log.dropped
    assert dropped > 0
    while read_lines(reader):
        log.flush()
    log.enqueue({"message_type": "y"})
    log.flush()

    last = read_lines(reader)[-1]
    assert last["message_type"] == "y"
    assert last["left_out"] == dropped


def test_successes_are_rate_limited_and_failures_are_not():
    log, _, _, clock = make_log()
    for _ in range(300):
        log.write("request", status=200)
    assert log.dropped == 200
    for _ in range(300):
        log.write("request.failed", status=503)
    assert log.dropped == 200
    clock.advance(1000)
    log.write("request", status=200)
    assert log.dropped == 200


def test_closed_output_does_not_stop_the_gateway():
    log, reader, writer, _ = make_log()
    # A file object closes at once. os.close may be gevent's replacement, if the
    # stand-ins of other tests have patched it, and that waits for the event
    # loop.
    open(reader, "rb", buffering=0).close()
    log.enqueue({"message_type": "x"})
    log.flush()

    assert log.dropped == 1
    os.close(writer)


def test_long_texts_of_callers_do_not_fill_the_memory():
    # Guards against paths and ids of kilobytes while the log is not read.
    log, reader, _, _ = make_log()
    for number in range(5000):
        path = f"/{number}" + "\u00e9" * 16_000
        log.enqueue({"message_type": "request.denied", "path": path})
        log.flush()
    assert sum(map(len, log._lines)) <= 1_100_000
    assert log._buffered_bytes == sum(map(len, log._lines))
    assert all(len(line["path"]) <= 1024 for line in read_lines(reader)[:-1])


def test_line_of_many_texts_is_left_out():
    # Guards against lists that callers make as long as their headers.
    log, reader, _, _ = make_log()
    log.enqueue({"message_type": "x", "parts": ["p" * 20] * 2000})
    log.enqueue({"message_type": "y"})
    log.flush()

    (line,) = read_lines(reader)
    assert (line["message_type"], line["left_out"]) == ("y", 1)
