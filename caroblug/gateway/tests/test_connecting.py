"""Engines of one rack without power, and a gateway whose own link is full."""

from caroblug.gateway._connecting import Connecting


def test_dark_engines_leave_time_for_the_first_event():
    # Guards against first events that are late behind two dark engines.
    connecting = Connecting()
    waited_s = 0.0
    for name in ("x", "y"):
        waited_s += connecting.bound_s
        connecting.on_unreached(name)

    assert waited_s < 0.4
    assert connecting.on_connected() == ["x", "y"]


def test_full_link_of_the_gateway_condemns_no_engine():
    # Guards against all engines avoided for a link on which nothing passes.
    connecting = Connecting()
    for name in ("w", "x", "y", "z"):
        assert not connecting.exhausted
        connecting.on_unreached(name)

    assert connecting.exhausted


def test_engine_is_condemned_once():
    connecting = Connecting()
    connecting.on_unreached("x")
    connecting.on_connected()

    assert connecting.on_connected() == []
    assert not connecting.exhausted
