"""Shared parts of entry and side: settings, bundles, HTTP and lifetime."""

from caroblug.node._bundles import BUNDLE_STREAM, BundleFollower
from caroblug.node._chunked_input import read_to_limit
from caroblug.node._fleet import Fleet, make_fleet
from caroblug.node._http import (
    NodeHttpServer,
    NodeStatus,
    add_node_routes,
    add_status_route,
    make_listener,
)
from caroblug.node._lifetime import Lifetime, run_program
from caroblug.node._reference import describe_settings
from caroblug.node._settings import Address, NodeSettings

__all__ = [
    "BUNDLE_STREAM",
    "Address",
    "BundleFollower",
    "Fleet",
    "Lifetime",
    "NodeHttpServer",
    "NodeSettings",
    "NodeStatus",
    "add_node_routes",
    "describe_settings",
    "add_status_route",
    "make_listener",
    "make_fleet",
    "read_to_limit",
    "run_program",
]
