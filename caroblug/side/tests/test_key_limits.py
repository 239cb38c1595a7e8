"""Tests of what the keys of calls make a side process keep."""

from caroblug.core.limits import KeyQuota
from caroblug.core.state import CallOutcome, IntentId, OutcomeKind
from caroblug.gen.wire import ttypes as wire
from caroblug.side._at_most_once import AtMostOnceCaller
from caroblug.side._journal import JournalSettings, make_journal
from caroblug.side._plain import DirectCaller
from caroblug.side.tests.test_journal import FakeLog, start_journal
from caroblug.transport import make_log_service
from caroblug.utils import (
    ExecutionStatus,
    ManualClock,
    MonotonicClock,
    RefusalType,
    make_metrics,
)

_WINDOW_MS = 60_000
_KEYS = 8


class _Service(DirectCaller):
    """A service that answers each call at once."""

    def __init__(self):
        super().__init__("127.0.0.1", 9, 1000)
        self.calls = 0

    def call_at_most_once(self, call, may_send):
        """Counts a call and returns its reply."""
        assert may_send()
        self.calls += 1
        return wire.PlainReply(
            call=call.call, status=201, body=b"", ran=ExecutionStatus.YES
        )


def _make_call(key, account="school-1"):
    return wire.PlainCall(
        call="c",
        target="booking",
        method="POST",
        path="/book",
        headers=[],
        body=b"",
        key=key,
        repeatable=False,
        deadline_ms=5000,
        client_account=account,
    )


def _make_caller(service, max_keys):
    return AtMostOnceCaller(
        service,
        start_journal(FakeLog()),
        make_metrics(),
        10 * _WINDOW_MS,
        KeyQuota(max_keys),
        MonotonicClock(),
    )


def test_account_with_many_keys_is_refused_new_ones():
    # Guards against keys of one client account that fill the memory.
    service = _Service()
    caller = _make_caller(service, _KEYS)
    replies = [caller.call(_make_call(f"k{n}")) for n in range(_KEYS)]
    refused = [reply for reply in replies if not reply.status]

    assert len(refused) == _KEYS // 2
    assert service.calls == _KEYS // 2
    for reply in refused:
        assert reply.reason == RefusalType.LIMIT_REACHED
        assert reply.ran == ExecutionStatus.NO
        assert 0 < reply.retry_after_ms <= _WINDOW_MS + 1000


def test_keys_that_are_known_are_answered_beyond_the_quota():
    # Guards against a resend that is refused although its call has run.
    service = _Service()
    caller = _make_caller(service, _KEYS)
    for n in range(_KEYS):
        caller.call(_make_call(f"k{n}"))
    again = caller.call(_make_call("k0"))

    assert (again.status, again.ran) == (201, ExecutionStatus.YES)
    assert service.calls == _KEYS // 2


def test_other_accounts_may_use_keys_beside_a_greedy_one():
    # Guards against one client account that keeps others from booking.
    caller = _make_caller(_Service(), _KEYS)
    for n in range(_KEYS):
        caller.call(_make_call(f"k{n}"))

    assert caller.call(_make_call("k0", "school-2")).status == 201


def test_outcomes_without_a_body_leave_the_cache():
    # Guards against answers that are cached for good as they have no body.
    journal = make_journal(
        make_log_service("127.0.0.1", 9),
        "booking",
        "side-a.1",
        ManualClock(0),
        make_metrics(),
        JournalSettings(1),
        _WINDOW_MS,
    )
    for number in range(20_000):
        identity = IntentId("side-a.1", number)
        journal._cache_outcome(
            CallOutcome(identity, b"k", OutcomeKind.ANSWERED, 204)
        )

    assert len(journal._cached_outcomes) <= 4096
