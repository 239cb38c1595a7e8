"""Recovery of streams: attempts, resending, journals and reassembly."""

from caroblug.core.recovery._delivery import Delivery
from caroblug.core.recovery._effects import (
    Effect,
    FailStream,
    ForwardOpen,
    RunUnit,
    SendNeed,
    SendStates,
    SendToken,
)
from caroblug.core.recovery._entry_stream import EntryStream
from caroblug.core.recovery._stage import (
    DEFAULT_JOURNAL_POSITIONS,
    StageFailure,
    StageStream,
)

__all__ = [
    "DEFAULT_JOURNAL_POSITIONS",
    "Delivery",
    "Effect",
    "EntryStream",
    "FailStream",
    "ForwardOpen",
    "RunUnit",
    "SendNeed",
    "SendStates",
    "SendToken",
    "StageFailure",
    "StageStream",
]
