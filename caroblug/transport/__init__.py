"""Sockets and timers: peers by thrift, outside systems by HTTP."""

from caroblug.transport._engine import (
    EngineClient,
    EngineDescription,
    EngineFailure,
    EngineItem,
    EngineResult,
    HttpEngineClient,
    make_engine_client,
)
from caroblug.transport._engine_orders import (
    EngineOrderClient,
    OrderFailed,
    OrderFenced,
    OrderTaken,
    make_engine_order_client,
)
from caroblug.transport._framing import FrameAuthenticator, FrameError
from caroblug.transport._handler import PeerHandler
from caroblug.transport._http import HttpFailure, HttpResponse, JsonHttpClient
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
    RecordBatch,
    make_log_service,
)
from caroblug.transport._peers import (
    PeerNetwork,
    make_peer_network,
)
from caroblug.transport._sessions import SessionTiming
from caroblug.transport._suspicion_messages import (
    suspicion_from_wire,
    suspicion_to_wire,
)
from caroblug.transport._weight_store import (
    Reserved,
    WeightsBusy,
    WeightStore,
    WeightsUnavailable,
    make_weight_store,
)

__all__ = [
    "Appended",
    "EngineClient",
    "EngineDescription",
    "EngineFailure",
    "EngineItem",
    "EngineOrderClient",
    "EngineResult",
    "FrameError",
    "HttpResponse",
    "HttpEngineClient",
    "HttpFailure",
    "HttpInstanceList",
    "HttpLogService",
    "InstanceList",
    "InstanceRecord",
    "InstancesUnavailable",
    "JsonHttpClient",
    "LogRecord",
    "LogService",
    "LogUnavailable",
    "OrderFailed",
    "OrderFenced",
    "OrderTaken",
    "PeerAddress",
    "PeerHandler",
    "PeerNetwork",
    "RecordBatch",
    "SessionTiming",
    "Reserved",
    "FrameAuthenticator",
    "WeightStore",
    "WeightsBusy",
    "WeightsUnavailable",
    "make_engine_client",
    "make_engine_order_client",
    "make_instance_list",
    "make_log_service",
    "make_peer_network",
    "make_weight_store",
    "suspicion_from_wire",
    "suspicion_to_wire",
]
