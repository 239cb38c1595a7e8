"""The journal of calls over a log service that loses answers."""

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


class _Log(LogService):
    """Records in memory; a read that waits is never answered."""

    def __init__(self):
        self.records = []
        self.lose = False
        self.down = False

    def append(self, stream, data):
        if self.down:
            return LogUnavailable("down")
        self.records.append(data)
        if self.lose:
            return LogUnavailable("no answer", maybe_written=True)
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


def _make(log):
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


def _verdict(journal, intent):
    with gevent.Timeout(_TIMEOUT_S):
        return journal.wait_verdict(intent)


def test_append_whose_answer_is_lost_is_read_back():
    """A booking is refused although the log holds its intent.

    The answer to the append is lost after it took effect. The journal reads
    the log before anything else, finds its batch, and appends nothing again.
    """
    log = _Log()
    journal = _make(log)
    log.lose = True
    assert _verdict(journal, _admit(journal, 1)) is Verdict.WON
    assert len(log.records) == 1


def test_append_that_fails_is_given_up_at_once():
    log = _Log()
    journal = _make(log)
    log.down = True
    assert _verdict(journal, _admit(journal, 1)) is Verdict.GIVEN_UP
    assert not journal.ready


def test_calls_at_once_share_an_append():
    log = _Log()
    journal = _make(log)
    intents = [_admit(journal, number) for number in range(50)]
    verdicts = {_verdict(journal, intent) for intent in intents}
    assert verdicts == {Verdict.WON}
    assert len(log.records) <= 2
