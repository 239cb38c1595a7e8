"""Tests of the port allocation."""

from standins._ports import Ports


def test_two_allocators_never_return_the_same_port():
    # Guards against two concurrent soak tests that use the same port.
    first, second = Ports(31000, 31040), Ports(31000, 31040)

    ports = [p.take() for _ in range(12) for p in (first, second)]

    assert len(set(ports)) == len(ports)
