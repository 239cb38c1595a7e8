"""What entry and side have in common: settings, bundles, lifetime."""

from caroblug.node._bundles import BUNDLE_STREAM, BundleFollower
from caroblug.node._http import NodeHttp, add_node_routes, listen
from caroblug.node._lifetime import Lifetime, run_program
from caroblug.node._reference import describe_settings
from caroblug.node._settings import Address, NodeSettings

__all__ = [
    "BUNDLE_STREAM",
    "Address",
    "BundleFollower",
    "Lifetime",
    "NodeHttp",
    "NodeSettings",
    "add_node_routes",
    "describe_settings",
    "listen",
    "run_program",
]
