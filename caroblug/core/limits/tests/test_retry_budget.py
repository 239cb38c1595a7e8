"""Tests of the retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from caroblug.core.limits import RetryBudget, RetryRule


def test_account_that_crashes_engines_spends_its_own_budget():
    """All accounts wait while the requests of one are retried repeatedly.

    Its retries end when its own bucket is empty; another account still has
    retries.
    """
    budget = RetryBudget(
        RetryRule(2, share=0.5, per_s=1), RetryRule(10, per_s=1)
    )
    assert [budget.take("heavy", 0) for _ in range(3)] == [0, 0, 1000]
    assert budget.take("light", 0) == 0
    budget.on_success("heavy")
    assert budget.take("heavy", 500) == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.integers(0, 400),
            st.booleans(),
        ),
        max_size=120,
    )
)
def test_retries_stay_within_the_budget(events):
    """Recovery causes an overload when most requests fail.

    For any order of events, the retries of each account and of all accounts
    stay within the burst, the share of the requests that succeeded and the
    retries added over time.
    """
    account = RetryRule(3, share=0.2, per_s=0.5)
    total = RetryRule(5, share=0.2, per_s=1.0)
    budget = RetryBudget(account, total)
    now_ms, taken, succeeded = 0, {}, {}
    for name, pause_ms, succeeds in events:
        now_ms += pause_ms
        if succeeds:
            budget.on_success(name)
            succeeded[name] = succeeded.get(name, 0) + 1
        elif budget.take(name, now_ms) == 0:
            taken[name] = taken.get(name, 0) + 1
        for account_name, count in taken.items():
            earned = 0.2 * succeeded.get(account_name, 0) + 0.5 * now_ms / 1000
            assert count <= 3 + earned + 1e-6
        earned = 0.2 * sum(succeeded.values()) + now_ms / 1000
        assert sum(taken.values()) <= 5 + earned + 1e-6
