"""Helpers shared by every package: time, outcomes, settings, metrics."""

from caroblug.utils._clock import Clock, ManualClock, MonotonicClock
from caroblug.utils._logging import log_state, start_logging
from caroblug.utils._metrics import Metrics, make_metrics
from caroblug.utils._outcomes import Ran, RefusalType, Refused
from caroblug.utils._settings import (
    SettingProblem,
    SettingsRejected,
    load_settings,
    structure_table,
)
from caroblug.utils._validation import (
    choice,
    count,
    duration_ms,
    name,
    number,
    port,
    secret,
    text,
)

__all__ = [
    "Clock",
    "ManualClock",
    "Metrics",
    "MonotonicClock",
    "Ran",
    "RefusalType",
    "Refused",
    "SettingProblem",
    "SettingsRejected",
    "choice",
    "count",
    "duration_ms",
    "load_settings",
    "log_state",
    "make_metrics",
    "name",
    "number",
    "port",
    "secret",
    "start_logging",
    "structure_table",
    "text",
]
