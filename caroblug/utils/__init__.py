"""Helpers shared by every package: time, outcomes, settings, metrics."""

from caroblug.utils._clock import Clock, ManualClock, MonotonicClock
from caroblug.utils._logging import log_state, start_logging
from caroblug.utils._metrics import Metrics, make_metrics
from caroblug.utils._outcomes import (
    CALLERS_OWN,
    Ran,
    RefusalType,
    Refused,
)
from caroblug.utils._settings import load_settings, structure_table
from caroblug.utils._settings_problems import SettingProblem, SettingsRejected
from caroblug.utils._top import TopCounter
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
    "CALLERS_OWN",
    "Clock",
    "ManualClock",
    "Metrics",
    "MonotonicClock",
    "Ran",
    "RefusalType",
    "Refused",
    "SettingProblem",
    "SettingsRejected",
    "TopCounter",
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
