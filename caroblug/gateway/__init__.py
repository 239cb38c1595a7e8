"""The gateway: an entry before engines that pass tokens on themselves."""

from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._first_settings import read_first_settings
from caroblug.gateway._gateway import Gateway, make_gateway
from caroblug.gateway._http_client import Address, fetch, format_request
from caroblug.gateway._interfaces import (
    AnswerFacts,
    BackendServer,
    CallerRequest,
    ConfigurationRead,
    Dialect,
    EngineReport,
    Listing,
    Member,
    NothingNew,
    OrderOutcome,
    PlacementLease,
    Registry,
    RunState,
    Sending,
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
    "AnswerFacts",
    "BackendServer",
    "Broken",
    "CallerRequest",
    "ConfigurationRead",
    "Dialect",
    "EngineReport",
    "Gateway",
    "GatewaySettings",
    "Head",
    "Listing",
    "Member",
    "NothingNew",
    "OrderOutcome",
    "PlacementLease",
    "RawRequest",
    "Registry",
    "RunState",
    "Sending",
    "SettingsProblem",
    "Unavailable",
    "check_gateway_settings",
    "fetch",
    "format_request",
    "make_gateway",
    "make_listing",
    "read_first_settings",
]
