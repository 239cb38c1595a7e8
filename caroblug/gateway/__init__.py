"""The gateway, an entry for engines that forward tokens to each other."""

from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._compression import compress_data, decompress_data
from caroblug.gateway._exchange_results import (
    ExchangeFailure,
    HttpResponse,
    ResponseHead,
)
from caroblug.gateway._gateway import Gateway, make_gateway
from caroblug.gateway._http_client import (
    Address,
    fetch,
    format_parts,
    format_request,
)
from caroblug.gateway._initial_settings import read_initial_settings
from caroblug.gateway._interfaces import (
    AnswerMetadata,
    BackendServer,
    CallerRequest,
    ConfigurationRead,
    Dialect,
    EngineReport,
    ForwardMetadata,
    Listing,
    Member,
    NoChange,
    OrderOutcome,
    PlacementLease,
    RefusedEntry,
    Registry,
    Replaced,
    RunState,
    Unavailable,
    make_listing,
)
from caroblug.gateway._kept_connection import ResponseCheck
from caroblug.gateway._kept_connections import (
    KeptConnections,
    make_kept_connections,
)
from caroblug.gateway._settings import (
    GatewaySettings,
    SettingsProblem,
    check_gateway_settings,
)

__all__ = [
    "Address",
    "AnswerMetadata",
    "BackendServer",
    "CallerRequest",
    "ConfigurationRead",
    "Dialect",
    "EngineReport",
    "ExchangeFailure",
    "ForwardMetadata",
    "Gateway",
    "GatewaySettings",
    "HttpResponse",
    "KeptConnections",
    "Listing",
    "Member",
    "NoChange",
    "OrderOutcome",
    "PlacementLease",
    "RawRequest",
    "RefusedEntry",
    "Registry",
    "Replaced",
    "ResponseCheck",
    "ResponseHead",
    "RunState",
    "SettingsProblem",
    "Unavailable",
    "check_gateway_settings",
    "compress_data",
    "decompress_data",
    "fetch",
    "format_parts",
    "format_request",
    "make_gateway",
    "make_kept_connections",
    "make_listing",
    "read_initial_settings",
]
