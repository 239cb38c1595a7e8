"""Admission of requests by route and API key, and choice of the service."""

from caroblug.core.access._configuration import (
    Account,
    Configuration,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    Share,
    StreamRanks,
    find_stream_ranks,
    index_routes,
)
from caroblug.core.access._decisions import (
    Admitted,
    DenialReason,
    Denied,
    admit,
)

__all__ = [
    "Account",
    "Admitted",
    "Configuration",
    "Denied",
    "DenialReason",
    "RequestLimits",
    "Route",
    "RouteKind",
    "Service",
    "Share",
    "StreamRanks",
    "admit",
    "find_stream_ranks",
    "index_routes",
]
