"""Tests of connection attempts to engines that accept no connection.

Either the engines have lost power or the gateway's own link is full.
"""

from caroblug.gateway._connect_attempts import ConnectAttempts


def test_unreachable_engines_leave_time_for_the_first_event():
    # Guards against a late first event after attempts at two engines without
    # power.
    attempts = ConnectAttempts()
    waited_s = 0.0
    for name in ("x", "y"):
        waited_s += attempts.timeout_s
        attempts.on_connect_failed(name)

    assert waited_s < 0.4
    assert attempts.on_connected() == ["x", "y"]


def test_full_link_of_the_gateway_marks_no_engine_unreachable():
    # Guards against ejecting all engines because the gateway's own link passes
    # no data.
    attempts = ConnectAttempts()
    for name in ("w", "x", "y", "z"):
        assert not attempts.exhausted
        attempts.on_connect_failed(name)

    assert attempts.exhausted


def test_engine_is_reported_unreachable_once():
    attempts = ConnectAttempts()
    attempts.on_connect_failed("x")
    attempts.on_connected()

    assert attempts.on_connected() == []
    assert not attempts.exhausted
