"""Tests of fairness bounds, work conservation and order of the queues."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from caroblug.core.limits import QUEUE_KINDS, FairQueue, make_queue

_ACCOUNTS = ("a", "b", "c", "d")
_PUTS = st.tuples(st.sampled_from(_ACCOUNTS), st.floats(0.1, 50.0))
_GET = st.none()


@given(st.lists(st.one_of(_PUTS, _GET), max_size=200))
@pytest.mark.parametrize("kind", QUEUE_KINDS)
def test_work_is_conserved_and_each_account_is_in_order(kind, operations):
    queue = make_queue(kind)
    waiting = collections.defaultdict(list)
    for number, operation in enumerate(operations):
        if operation is not None:
            account, cost = operation
            queue.put(account, (account, number), cost)
            waiting[account].append(number)
        elif len(queue):
            account, found = queue.get()
            assert waiting[account].pop(0) == found
        assert len(queue) == sum(map(len, waiting.values()))
    while len(queue):
        account, found = queue.get()
        assert waiting[account].pop(0) == found
    assert not any(waiting.values())


@given(
    st.fixed_dictionaries({a: st.floats(0.1, 10.0) for a in _ACCOUNTS}),
    st.lists(st.one_of(_PUTS, _GET), max_size=300),
)
def test_unfairness_against_the_fluid_share_is_bounded(weights, operations):
    """A light account waits behind everything that a heavy one has queued.

    For any order of arrivals, the service of two accounts that are both
    backlogged differs from the ideal fluid share, the ratio of their weights,
    by at most the largest item of each.
    """
    queue = FairQueue()
    largest = dict.fromkeys(_ACCOUNTS, 0.0)
    count = collections.Counter()
    since = {}
    for operation in operations:
        if operation is not None:
            account, cost = operation
            largest[account] = max(largest[account], cost / weights[account])
            queue.put(account, (account, cost), cost, weights[account])
            count[account] += 1
            if count[account] == 1:
                _begin_pairs(since, account, count)
            continue
        if not len(queue):
            continue
        account, cost = queue.get()
        count[account] -= 1
        for pair, served in since.items():
            if account in pair:
                served[account] += cost / weights[account]
                apart = abs(served[pair[0]] - served[pair[1]])
                assert apart <= largest[pair[0]] + largest[pair[1]] + 1e-6
        if not count[account]:
            since = {p: s for p, s in since.items() if account not in p}


def _begin_pairs(since, account, count):
    for other in _ACCOUNTS:
        if other != account and count[other]:
            pair = tuple(sorted((account, other)))
            since[pair] = collections.Counter()


def test_idle_account_accumulates_no_credit():
    """An account that was idle returns and starves the others.

    Its counter has not advanced while the others were served; it must start
    at the virtual time instead.
    """
    queue = FairQueue()
    for number in range(100):
        queue.put("busy", number, 1.0)
    for _ in range(50):
        queue.get()
    for number in range(10):
        queue.put("back", -number - 1, 1.0)
    served = [queue.get() for _ in range(10)]
    assert sum(item >= 0 for item in served) >= 4


def test_counters_of_idle_accounts_are_dropped():
    queue = FairQueue()
    for number in range(18_000):
        queue.put(f"account-{number}", number, 1.0)
        queue.get()
    assert queue.counters < 200


@given(
    st.fixed_dictionaries({a: st.floats(0.1, 10.0) for a in _ACCOUNTS}),
    st.lists(st.floats(0.5, 20.0), min_size=20, max_size=60),
)
def test_backlogged_accounts_are_served_by_weight(weights, costs):
    """Checks the fairness bound while every account stays backlogged."""
    queue = FairQueue()
    for cost in costs:
        for account in _ACCOUNTS:
            queue.put(account, (account, cost), cost, weights[account])
    served = collections.Counter()
    count = collections.Counter()
    while max(count.values(), default=0) < len(costs):
        account, cost = queue.get()
        count[account] += 1
        served[account] += cost / weights[account]
        bound = max(costs) * 2 / min(weights.values())
        assert max(served.values()) - min(served[a] for a in _ACCOUNTS) <= bound
