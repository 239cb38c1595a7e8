"""Tests of account limits divided among entries, with and without a home."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from caroblug.core.limits import (
    AccountRule,
    Demand,
    EntryShares,
    HomeEntries,
    HomeShares,
)

_RULE = AccountRule(streams=24, tokens_per_minute=6000.0)
_TERM_MS = 3000
_ACCOUNT = "school-1"
_ENTRIES = ("entry-a", "entry-b", "entry-c")
_HOMES = 2
_entry = st.sampled_from(_ENTRIES)
_home = st.integers(0, _HOMES - 1)


class SharesMachine(RuleBasedStateMachine):
    """Model of three entries, two homes at once and lost messages.

    A heavy account exceeds its limit by spreading over entries: one entry is
    cut off from the home and keeps its grant, another reports to a second
    home, and each home knows only a part of the demand.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 100_000
        self.homes = [HomeShares(_TERM_MS) for _ in range(_HOMES)]
        self.entries = {}
        self.spent = 0.0
        self.began_ms = self.now_ms
        for name in _ENTRIES:
            shares = self.entries[name] = EntryShares(_TERM_MS)
            shares.on_listed(len(_ENTRIES))
            shares.touch(_ACCOUNT, _RULE, self.now_ms)
        self.open = dict.fromkeys(_ENTRIES, 0)

    @rule(entry=_entry, home=_home, wanted=st.integers(0, 40))
    def report(self, entry, home, wanted):
        self.entries[entry].touch(_ACCOUNT, _RULE, self.now_ms)
        demand = self.entries[entry].report(_ACCOUNT, self.now_ms, wanted)
        grant = self.homes[home].on_demand(
            entry, _ACCOUNT, demand, _RULE, self.now_ms
        )
        self.entries[entry].on_grant(_ACCOUNT, grant, self.now_ms)
        self.entries[entry].touch(_ACCOUNT, _RULE, self.now_ms)

    @rule(entry=_entry)
    def lose_report(self, entry):
        self.entries[entry].report(_ACCOUNT, self.now_ms)

    @rule(entry=_entry, tokens=st.floats(1.0, 500.0))
    def start(self, entry, tokens):
        shares = self.entries[entry]
        if not shares.spend(_ACCOUNT, _RULE, tokens, self.now_ms):
            return
        self.spent += tokens
        if shares.open_stream(_ACCOUNT, _RULE, self.now_ms):
            self.open[entry] += 1

    @rule(entry=_entry)
    def finish(self, entry):
        if self.open[entry]:
            self.open[entry] -= 1
            self.entries[entry].close_stream(_ACCOUNT)

    @rule(ms=st.integers(1, 4 * _TERM_MS))
    def wait(self, ms):
        self.now_ms += ms

    @invariant()
    def streams_stay_within_the_bound(self):
        allowed = [
            shares.allowed_streams(_ACCOUNT, _RULE, self.now_ms)
            for shares in self.entries.values()
        ]
        assert min(allowed) >= 0
        assert sum(allowed) <= (_HOMES + 1) * _RULE.streams

    @invariant()
    def tokens_stay_within_the_bound(self):
        minutes = (self.now_ms - self.began_ms) / 60_000
        each_way = _RULE.tokens_per_minute * (1 + minutes)
        last_requests = 500.0 * len(_ENTRIES) * (1 + minutes * 60)
        assert self.spent <= (_HOMES + 1) * each_way + last_requests

    @invariant()
    def weights_never_exceed_the_bound(self):
        total = sum(
            shares.stream_weight(_ACCOUNT, 1.0, self.now_ms) * self.open[name]
            for name, shares in self.entries.items()
        )
        assert 0 <= total <= len(_ENTRIES)


TestShares = SharesMachine.TestCase
TestShares.settings = settings(max_examples=150, stateful_step_count=40)


def _report_all(home, entries, now_ms):
    for name, shares in entries.items():
        demand = shares.report(_ACCOUNT, now_ms)
        grant = home.on_demand(name, _ACCOUNT, demand, _RULE, now_ms)
        shares.on_grant(_ACCOUNT, grant, now_ms)
        shares.touch(_ACCOUNT, _RULE, now_ms)


@given(st.lists(st.integers(0, 8), min_size=2, max_size=8))
def test_many_entries_weigh_no_more_than_one(streams):
    """A heavy account gets more service by sending through every entry."""
    home = HomeShares(_TERM_MS)
    entries = {}
    now_ms = 0
    for number, wanted in enumerate(streams):
        shares = entries[f"entry-{number}"] = EntryShares(_TERM_MS)
        shares.on_listed(len(streams))
        shares.touch(_ACCOUNT, _RULE, now_ms)
        for _ in range(wanted):
            shares.open_stream(_ACCOUNT, _RULE, now_ms)
    opened = {
        name: s.report(_ACCOUNT, 0).streams for name, s in entries.items()
    }
    for _ in range(3):
        _report_all(home, entries, now_ms)
    total = sum(
        shares.stream_weight(_ACCOUNT, 2.0, now_ms)
        * shares.report(_ACCOUNT, now_ms).streams
        for shares in entries.values()
    )
    assert total <= 2.0 + 1e-9
    assert sum(opened.values()) == 0 or total > 0


def test_only_entry_gets_the_whole_limit():
    """Streams stay unused although no other entry needs them."""
    home = HomeShares(_TERM_MS)
    shares = EntryShares(_TERM_MS)
    shares.on_listed(8)
    shares.touch(_ACCOUNT, _RULE, 0)
    taken = 0
    for now_ms in range(0, 15_000, 500):
        _report_all(home, {"entry-0": shares}, now_ms)
        while shares.open_stream(_ACCOUNT, _RULE, now_ms):
            taken += 1
    assert taken == _RULE.streams


def test_late_entry_still_gets_a_grant():
    """A light account's first request at another entry is refused.

    The first entry was granted the account's whole limit, although it has
    only one small request.
    """
    home = HomeShares(_TERM_MS)
    for number in range(8):
        grant = home.on_demand(
            f"entry-{number}", _ACCOUNT, Demand(1, 0.0), _RULE, 0
        )
        assert grant.streams >= 1
        assert grant.tokens >= 10.0


def test_idle_account_is_served_after_its_home_is_lost():
    """An account that paused is refused at every entry after its home died.

    Its last report had no open streams, the grant for that was empty, and no
    other grant can arrive.
    """
    home = HomeShares(_TERM_MS)
    shares = EntryShares(_TERM_MS)
    shares.on_listed(4)
    for now_ms, wanted in ((0, 1), (100, 0)):
        shares.touch(_ACCOUNT, _RULE, now_ms)
        demand = shares.report(_ACCOUNT, now_ms, wanted)
        grant = home.on_demand("entry-0", _ACCOUNT, demand, _RULE, now_ms)
        shares.on_grant(_ACCOUNT, grant, now_ms)
    shares.touch(_ACCOUNT, _RULE, 200)
    assert shares.open_stream(_ACCOUNT, _RULE, 200)


def test_share_decays_without_its_home():
    home = HomeShares(_TERM_MS)
    shares = EntryShares(_TERM_MS)
    shares.on_listed(4)
    shares.touch(_ACCOUNT, _RULE, 0)
    demand = shares.report(_ACCOUNT, 0, wanted=24)
    grant = home.on_demand("entry-0", _ACCOUNT, demand, _RULE, 0)
    shares.on_grant(_ACCOUNT, grant, 0)
    allowed = [
        shares.allowed_streams(_ACCOUNT, _RULE, term * _TERM_MS)
        for term in range(6)
    ]
    assert allowed == [24, 12, 6, 6, 6, 6]


def test_new_home_does_not_grant_a_used_minute_again():
    """A heavy account gets a full minute of tokens from each new home.

    The dead home's count of used tokens is lost; its successor has no record
    of the account and must not assume that it was idle.
    """
    homes = HomeEntries("entry-a", settled_ms=60_000)
    names = [f"entry-{c}" for c in "abcdef"]
    homes.on_listed(names, 0)
    homes.on_listed(names, 70_000)
    account = next(
        f"school-{n}"
        for n in range(1000)
        if homes.home_of(f"school-{n}") == "entry-b"
    )
    assert homes.home_age_ms(account, 70_000) == 60_000
    while homes.home_of(account) != "entry-a":
        names.remove(homes.home_of(account))
        homes.on_listed(names, 80_000)
    assert homes.home_age_ms(account, 81_000) == 1_000
    fresh = HomeShares(_TERM_MS)
    demand = EntryShares(_TERM_MS)
    demand.touch(account, _RULE, 81_000)
    grant = fresh.on_demand(
        "entry-c",
        account,
        demand.report(account, 81_000, wanted=1),
        _RULE,
        81_000,
        idle_ms=homes.home_age_ms(account, 81_000),
    )
    assert 0 < grant.tokens <= _RULE.tokens_per_minute / 60
    assert homes.home_age_ms(account, 141_000) == 60_000


def test_only_the_accounts_of_a_lost_entry_change_home():
    names = [f"entry-{n}" for n in range(20)]
    before, after = HomeEntries("entry-0", 1), HomeEntries("entry-0", 1)
    before.on_listed(names, 0)
    after.on_listed(names[:-1], 0)
    for number in range(500):
        account = f"school-{number}"
        if before.home_of(account) != names[-1]:
            assert after.home_of(account) == before.home_of(account)


def test_records_of_idle_accounts_are_dropped():
    source = random.Random(1)
    home = HomeShares(_TERM_MS)
    shares = EntryShares(_TERM_MS)
    for number in range(2000):
        account = f"school-{number}"
        now_ms = number * 200
        shares.touch(account, _RULE, now_ms)
        demand = shares.report(account, now_ms, wanted=1)
        home.on_demand("entry-0", account, demand, _RULE, now_ms)
        if source.random() < 0.1:
            home.forget_idle(now_ms)
            shares.due_accounts(1000, now_ms)
    home.forget_idle(600_000)
    for now_ms in (600_000, 602_000):
        for account in shares.due_accounts(1000, now_ms):
            shares.report(account, now_ms)
    assert len(home) == 0
    assert len(shares) == 0


def _spend_all(home, names, now_ms, *, report):
    """Lets each entry use its whole grant; returns all tokens granted."""
    granted = 0.0
    for name in names:
        demand = Demand(1, 0.0)
        grant = home.on_demand(name, _ACCOUNT, demand, _RULE, now_ms)
        granted += grant.tokens
        if report:
            used = Demand(1, grant.tokens)
            home.on_demand(name, _ACCOUNT, used, _RULE, now_ms)
    return granted


@given(st.integers(1, 30), st.booleans())
def test_one_minute_of_tokens_is_granted_once(entries, report):
    """An account exceeds its tokens by using one entry after the other."""
    home = HomeShares(_TERM_MS)
    names = [f"entry-{number}" for number in range(entries)]
    granted = _spend_all(home, names, 0, report=report)
    assert granted <= _RULE.tokens_per_minute


def test_tokens_of_an_entry_that_was_cut_off_count_as_used():
    """The tokens of a lost entry are granted again while it uses them."""
    home = HomeShares(_TERM_MS)
    names = ["entry-a", "entry-b"]
    first = home.on_demand("entry-a", _ACCOUNT, Demand(1, 0.0), _RULE, 0)
    left = _RULE.tokens_per_minute - first.tokens
    later = _spend_all(home, names[1:], _TERM_MS, report=False)
    refilled = _RULE.tokens_per_minute * _TERM_MS / 60_000
    assert later <= (left + refilled) / 2
