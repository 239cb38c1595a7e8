"""Engines of one rack without power, and a gateway whose own link is full."""

from caroblug.gateway._connect_attempts import ConnectAttempts


def test_dark_engines_leave_time_for_the_first_event():
    # Guards against first events that are late behind two dark engines.
    attempts = ConnectAttempts()
    waited_s = 0.0
    for name in ("x", "y"):
        waited_s += attempts.timeout_s
        attempts.on_connect_failed(name)

    assert waited_s < 0.4
    assert attempts.on_connected() == ["x", "y"]


def test_full_link_of_the_gateway_condemns_no_engine():
    # Guards against all engines avoided for a link on which nothing passes.
    attempts = ConnectAttempts()
    for name in ("w", "x", "y", "z"):
        assert not attempts.exhausted
        attempts.on_connect_failed(name)

    assert attempts.exhausted


def test_engine_is_condemned_once():
    attempts = ConnectAttempts()
    attempts.on_connect_failed("x")
    attempts.on_connected()

    assert attempts.on_connected() == []
    assert not attempts.exhausted
