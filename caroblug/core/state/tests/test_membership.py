"""Tests of the list joined with what is heard."""

from caroblug.core.state import Member, Membership, MemberView, rank_members


def _member(name, role="side"):
    return Member(name, role, "10.0.0.1", 1, "a")


def _names(membership, now_ms=0):
    return [m.instance for m in membership.view(now_ms).members]


def test_instance_that_the_list_misses_is_known_by_its_connection():
    membership = Membership(_member("own"))
    membership.on_connected(_member("new"))
    membership.on_listed([_member("own")], [])
    assert _names(membership) == ["new", "own"]


def test_dead_instance_is_left_out_while_the_list_lags():
    """Streams keep being sent to an instance that has died.

    The list shows it for some seconds more. Its lost connection counts at
    once; if the list still shows it later, it is tried again.
    """
    membership = Membership(_member("own"), retry_ms=10_000)
    membership.on_listed([_member("own"), _member("dead")], [])
    membership.on_connected(_member("dead"))
    membership.on_disconnected("dead", 1000)
    assert _names(membership, 2000) == ["own"]
    assert _names(membership, 11_000) == ["dead", "own"]
    membership.on_listed([_member("own")], [])
    assert _names(membership, 12_000) == ["own"]


def test_leaving_instances_are_left_out_by_their_own_word_and_the_lists():
    """New work reaches a server that is shutting down.

    It says so itself before the list shows it; the list may say so first
    when operators withdraw it.
    """
    membership = Membership(_member("own"))
    listed = [_member("own"), _member("b"), _member("c")]
    membership.on_listed(listed, ["c"])
    assert _names(membership) == ["b", "own"]
    membership.on_report("b", leaving=True)
    membership.on_listed(listed, [])
    assert _names(membership) == ["c", "own"]
    membership.on_report("b", leaving=False)
    assert _names(membership) == ["b", "c", "own"]


def test_withdrawn_instance_learns_it_and_stays_in_its_own_view():
    membership = Membership(_member("own"))
    membership.on_listed([_member("own")], ["own"])
    assert membership.withdrawn
    assert _names(membership) == ["own"]


def test_views_that_differ_in_one_member_agree_on_nearly_all_keys():
    """Two instances send the same account to different homes.

    Their views differ while the list lags. Only keys whose first choice is
    the member that one of them misses are placed differently.
    """
    members = [_member(f"m-{n}") for n in range(50)]
    view = MemberView(tuple(members))
    missing = members[7]
    other = [m for m in members if m is not missing]
    keys = [f"account-{n}" for n in range(1000)]
    differ = 0
    for key in keys:
        here = rank_members(key, view.members)[0]
        there = rank_members(key, other)[0]
        if here != there:
            assert here == missing
            differ += 1
    assert 5 <= differ <= 40
