"""Tests of the quota of idempotency keys."""

import tracemalloc

import pytest

from caroblug.core.limits import KEY_BYTES, KeyQuota
from caroblug.core.state import (
    CallBatch,
    CallOutcome,
    Intent,
    IntentFold,
    IntentId,
    OutcomeKind,
    digest_parts,
    encode_batch,
)

_MAX_KEYS = 1000
_WINDOW_MS = 60_000


def _add_all_allowed(quota, account, known, now_ms):
    """Adds keys until the account may add no more and returns their number."""
    added = 0
    while not quota.wait_ms(account, known + added, now_ms, _WINDOW_MS):
        quota.on_added(account, now_ms)
        added += 1
    return added


def test_one_account_leaves_keys_to_others():
    # Guards against one client account that uses up the memory for keys.
    quota = KeyQuota(_MAX_KEYS)
    first = _add_all_allowed(quota, "greedy", 0, 0)
    second = _add_all_allowed(quota, "modest", first, 0)

    assert first == _MAX_KEYS // 2
    assert second == _MAX_KEYS // 4
    assert not quota.wait_ms("third", first + second, 0, _WINDOW_MS)


def test_accounts_never_exceed_the_memory():
    # Guards against many client accounts that use up the memory together.
    quota = KeyQuota(_MAX_KEYS)
    known = 0
    for number in range(100):
        known += _add_all_allowed(quota, f"account-{number}", known, 0)

    assert known == _MAX_KEYS


def test_account_may_add_keys_once_its_oldest_are_forgotten():
    # Guards against a refusal whose Retry-After is wrong.
    quota = KeyQuota(_MAX_KEYS)
    added = _add_all_allowed(quota, "greedy", 0, 0)
    wait_ms = quota.wait_ms("greedy", added, 5000, _WINDOW_MS)

    assert quota.wait_ms("greedy", added, 5000 + wait_ms - 1, _WINDOW_MS)
    assert not quota.wait_ms("greedy", 0, 5000 + wait_ms, _WINDOW_MS)
    assert quota.held("greedy") == 0


@pytest.mark.parametrize("known", [_MAX_KEYS, 2 * _MAX_KEYS])
def test_full_memory_refuses_accounts_without_keys(known):
    # Guards against keys that other processes have added beyond the memory.
    quota = KeyQuota(_MAX_KEYS)

    assert quota.wait_ms("modest", known, 0, _WINDOW_MS) > 0


def test_key_takes_no_more_memory_than_it_is_counted_as():
    # Guards against keys that cost more than the quota allows for.
    batches = []
    for number in range(100):
        entries = []
        for k in range(100):
            key = digest_parts(b"school-1", b"booking", b"%d-%d" % (number, k))
            intent = IntentId("side-a.0123456789ab", 100 * number + k)
            entries.append(Intent(intent, key, digest_parts(key)))
            entries.append(CallOutcome(intent, key, OutcomeKind.ANSWERED, 201))
        batch = CallBatch("side-a.0123456789ab", number, 0, tuple(entries))
        batches.append(encode_batch(batch))
    fold = IntentFold()
    tracemalloc.start()
    try:
        for offset, data in enumerate(batches):
            fold.on_record(offset, data)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()

    assert len(fold) == 10_000
    assert held <= len(fold) * KEY_BYTES
