"""Ports for programs under test."""

from standins._ports import Ports


def test_no_port_is_handed_out_to_two_who_ask():
    # Guards against soaks side by side of which one finds its port taken.
    first, second = Ports(31000, 31040), Ports(31000, 31040)

    ports = [p.take() for _ in range(12) for p in (first, second)]

    assert len(set(ports)) == len(ports)
