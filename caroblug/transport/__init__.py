"""Sockets and timers: peers by thrift, outside systems by HTTP."""

from caroblug.transport._engine import (
    EngineClient,
    EngineDescription,
    EngineFailed,
    EngineItem,
    EngineResult,
    HttpEngineClient,
    make_engine_client,
)
from caroblug.transport._framing import FrameError, Sealer
from caroblug.transport._handler import PeerHandler
from caroblug.transport._http import HttpAnswer, HttpFailed, JsonHttp
from caroblug.transport._instances import (
    HttpInstanceList,
    InstanceList,
    InstanceRecord,
    InstancesUnavailable,
    make_instance_list,
)
from caroblug.transport._links import PeerAddress
from caroblug.transport._log import (
    Appended,
    HttpLogService,
    LogRecord,
    LogService,
    LogUnavailable,
    Records,
    make_log_service,
)
from caroblug.transport._peers import (
    PeerNetwork,
    make_peer_network,
)
from caroblug.transport._sessions import Timing
from caroblug.transport._suspicions import (
    suspicion_from_wire,
    suspicion_to_wire,
)

__all__ = [
    "Appended",
    "EngineClient",
    "EngineDescription",
    "EngineFailed",
    "EngineItem",
    "EngineResult",
    "FrameError",
    "HttpAnswer",
    "HttpEngineClient",
    "HttpFailed",
    "HttpInstanceList",
    "HttpLogService",
    "InstanceList",
    "JsonHttp",
    "InstanceRecord",
    "InstancesUnavailable",
    "LogRecord",
    "LogService",
    "LogUnavailable",
    "PeerAddress",
    "PeerHandler",
    "PeerNetwork",
    "Records",
    "Timing",
    "Sealer",
    "make_engine_client",
    "make_instance_list",
    "make_log_service",
    "make_peer_network",
    "suspicion_from_wire",
    "suspicion_to_wire",
]
