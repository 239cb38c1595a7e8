"""Tests of the retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from caroblug.core.limits import RetryBudget, RetryRule


def test_account_that_breaks_engines_spends_its_own_budget():
    """All callers wait while one account's requests are tried over and over.

    Its retries end with its own bucket; another account still has its own.
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
def test_retries_stay_within_their_share(events):
    """Recovery becomes the overload when most requests fail.

    Whatever the order, retries never exceed the burst, the share of what
    succeeded and what time alone has earned, per account and in all.
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
        for who, count in taken.items():
            earned = 0.2 * succeeded.get(who, 0) + 0.5 * now_ms / 1000
            assert count <= 3 + earned + 1e-6
        earned = 0.2 * sum(succeeded.values()) + now_ms / 1000
        assert sum(taken.values()) <= 5 + earned + 1e-6
