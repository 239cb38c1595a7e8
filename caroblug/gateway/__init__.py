"""The gateway, an entry for engines that forward tokens to each other."""

from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._gateway import Gateway, make_gateway
from caroblug.gateway._http_client import Address, fetch, format_request
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
    Registry,
    RunState,
    Unavailable,
    make_listing,
)
from caroblug.gateway._outcomes import Answer, Broken, Head
from caroblug.gateway._settings import (
    GatewaySettings,
    SettingsProblem,
    check_gateway_settings,
)

__all__ = [
    "Address",
    "Answer",
    "AnswerMetadata",
    "BackendServer",
    "Broken",
    "CallerRequest",
    "ConfigurationRead",
    "Dialect",
    "EngineReport",
    "ForwardMetadata",
    "Gateway",
    "GatewaySettings",
    "Head",
    "Listing",
    "Member",
    "NoChange",
    "OrderOutcome",
    "PlacementLease",
    "RawRequest",
    "Registry",
    "RunState",
    "SettingsProblem",
    "Unavailable",
    "check_gateway_settings",
    "fetch",
    "format_request",
    "make_gateway",
    "make_listing",
    "read_initial_settings",
]
