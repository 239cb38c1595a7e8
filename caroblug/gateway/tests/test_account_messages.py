"""Tests of the tokens in use that gateways report to each other."""

import json
import random

import pytest

from caroblug.core.admission import make_admission
from caroblug.gateway._account_messages import apply_accounts, encode_accounts
from caroblug.gateway._interfaces import Member
from caroblug.gateway._peers import LeaseState
from caroblug.gateway.tests.test_placement import (
    make_placement,
    receive_peer_state,
)

NOW_MS = 100_000


def make_admissions(used, short=True):
    admission = make_admission(random.Random(1))
    for account, tokens in used.items():
        admission.shares.on_admitted(0, account, tokens)
    if short:
        admission.shares.on_short(NOW_MS)
    return {"pool": admission}


def test_account_that_uses_other_gateways_yields_here():
    # Guards against an account that spreads its requests over all gateways.
    sender = make_admissions({"a": 5000, "b": 100})
    receiver = make_admissions({"a": 900, "b": 1000})

    message = json.loads(json.dumps(encode_accounts(sender, NOW_MS)))
    apply_accounts(receiver, "g2", message, NOW_MS)

    shares = receiver["pool"].shares
    assert shares.is_above(0, "a", NOW_MS)
    assert not shares.is_above(0, "b", NOW_MS)


def test_message_names_the_largest_accounts_while_room_is_short():
    # Guards against messages that grow with thousands of accounts.
    used = {f"a{n}": 1000 + n for n in range(1000)}

    message = encode_accounts(make_admissions(used), NOW_MS)

    named = {account for _, account, _ in message["pool"]}
    assert named == {f"a{n}" for n in range(984, 1000)}
    assert len(json.dumps(message)) < 600
    assert encode_accounts(make_admissions(used, short=False), NOW_MS) == {}


@pytest.mark.parametrize("tokens", [-1, 1e12, float("nan"), float("inf")])
def test_values_that_can_not_be_right_are_ignored(tokens):
    receiver = make_admissions({"a": 900, "b": 1000})

    apply_accounts(receiver, "g2", {"pool": [[0, "a", tokens]]}, NOW_MS)

    assert not receiver["pool"].shares.is_above(0, "a", NOW_MS)


def test_accounts_are_part_of_the_exchange():
    context, _, peers, _ = make_placement("g1")
    context.admissions.update(make_admissions({"a": 900, "b": 1000}))
    context.admissions["pool"].shares.on_short(context.clock.now_ms())
    peers._add_member(Member("g2", ("10.0.0.1", 1)))

    receive_peer_state(
        peers, "g2", LeaseState.NONE, accounts={"pool": [[0, "a", 5000]]}
    )

    now_ms = context.clock.now_ms()
    assert context.admissions["pool"].shares.is_above(0, "a", now_ms)
    assert peers._build_message("")["accounts"]["pool"]


def test_message_of_a_gateway_without_accounts_is_applied():
    # Guards against messages of the previous version, which are all discarded.
    context, _, peers, _ = make_placement("g1")
    context.admissions.update(make_admissions({"a": 900, "b": 1000}))

    receive_peer_state(peers, "g2", LeaseState.NONE)

    now_ms = context.clock.now_ms()
    assert not context.admissions["pool"].shares.is_above(0, "a", now_ms)
