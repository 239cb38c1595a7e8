"""Tests of the call journal with an unreliable log service."""

import gevent

from caroblug.core.state import Started, Verdict, digest_parts
from caroblug.side._journal import JournalSettings, make_journal
from caroblug.transport import (
    Appended,
    LogRecord,
    LogService,
    LogUnavailable,
    RecordBatch,
)
from caroblug.utils import MonotonicClock, make_metrics

_WINDOW_MS = 60_000
_TIMEOUT_S = 20


class FakeLog(LogService):
    """A log in memory; a read with a wait blocks for the whole test."""

    def __init__(self):
        self.records = []
        self.lose_responses = False
        self.down = False

    def append(self, stream, data):
        if self.down:
            return LogUnavailable("down")
        self.records.append(data)
        if self.lose_responses:
            return LogUnavailable("no response", maybe_written=True)
        return Appended(len(self.records) - 1)

    def read(self, stream, offset, limit=100, wait_ms=0):
        if self.down:
            return LogUnavailable("down")
        if wait_ms:
            gevent.sleep(_TIMEOUT_S)
        end = len(self.records)
        records = [
            LogRecord(at, self.records[at])
            for at in range(offset, min(end, offset + limit))
        ]
        return RecordBatch(tuple(records), offset + len(records), end)


def start_journal(log):
    journal = make_journal(
        log,
        "booking",
        "side-a.1",
        MonotonicClock(),
        make_metrics(),
        JournalSettings(1),
        _WINDOW_MS,
    )
    journal.start()
    with gevent.Timeout(_TIMEOUT_S):
        while not journal.ready:
            gevent.sleep(0)
    return journal


def _admit(journal, number):
    key = digest_parts(bytes([number]))
    admitted = journal.admit(key, b"request", _WINDOW_MS)
    assert isinstance(admitted, Started)
    return admitted.id


def _wait_verdict(journal, intent):
    with gevent.Timeout(_TIMEOUT_S):
        return journal.wait_verdict(intent)


def test_append_whose_response_is_lost_is_read_back():
    """Guards against a call that is refused although its intent is on the log.

    The response to a successful append is lost. The journal must read the log
    back, find its batch and not append it again.
    """
    log = FakeLog()
    journal = start_journal(log)
    log.lose_responses = True
    assert _wait_verdict(journal, _admit(journal, 1)) is Verdict.WON
    assert len(log.records) == 1


def test_intent_is_given_up_at_once_if_the_append_fails():
    log = FakeLog()
    journal = start_journal(log)
    log.down = True
    assert _wait_verdict(journal, _admit(journal, 1)) is Verdict.GIVEN_UP
    assert not journal.ready


def test_concurrent_calls_share_an_append():
    log = FakeLog()
    journal = start_journal(log)
    intents = [_admit(journal, number) for number in range(50)]
    verdicts = {_wait_verdict(journal, intent) for intent in intents}
    assert verdicts == {Verdict.WON}
    assert len(log.records) <= 2
